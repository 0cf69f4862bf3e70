// How fast and at what price counts come to agree: the program's own code in virtual time, beside two simple
// ways on the same seeds, and the floor that the changed cells set.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace willowrill::lab {

struct CountsCase {
    std::size_t instances = 5, tenants = 100;
    std::uint64_t seed = 1;
    double jobs_per_second = 20; // of each instance
    double seconds = 10;         // measured, after as many to warm up
    double interval_ms = 250;
    double loss = 0;
    double delay_least_ms = 1, delay_most_ms = 10;
};

// A way's figures; the times are from a moment at which all count to that at which an instance knows all that
// was counted by then, over all instances and one such moment a second.
struct CountsResult {
    std::string way;
    double agree_p50_ms = 0, agree_p99_ms = 0;
    double bytes_per_second = 0;  // sent by an instance
    double memory_bytes = 0;      // of an instance's counts
    double cpu_us_per_update = 0; // real time of the instances' code for each cell applied
};

// The ways, in order: `ours`, `push-all` (the full state to all, each interval), `push-one` (to one at
// random), `floor` (each changed cell once to each instance, at once). Of the simple ways the spread is
// simulated by versions alone and given a full state that takes no time to send, which favours them; its size
// is that of the state that `ours` ends with, as encoded.
std::vector<CountsResult> run(const CountsCase& one, const std::function<void(const std::string&)>& progress);

} // namespace willowrill::lab
