// Shared counts among real processes: how far each one's word is from the truth, while datagrams are lost,
// and how soon it is near after a cut.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace willowrill::lab {

struct LiveCase {
    std::string program;
    std::size_t instances = 5;
    std::uint64_t seed = 1;
    double loss = 0.2, delay_most_ms = 30;
    double jobs_per_second = 200;
    double seconds = 10, cut_seconds = 60;
};

// Writes a line for each look (ten a second) and instance: phase, seconds into it, instance, truth, low,
// estimate, high, and low's distance from the truth in per cent. Then says in one line on the table's end, as
// a comment, how long it took until all were within 2%, after the load's end and after the cut. False: some
// word was against the bounds.
bool run(const LiveCase& one, std::ostream& csv, const std::function<void(const std::string&)>& progress);

} // namespace willowrill::lab
