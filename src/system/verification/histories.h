// Plays many random histories of the simulated core on several threads, and counts what they saw.
#pragma once

#include "system/simulation/history.h"
#include "system/simulation/scenario.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace willowrill::verification {

// A history in which a promise was broken.
struct BrokenHistory {
    std::uint64_t seed = 0;
    std::string violation; // the first one
};

// What the histories of one plan came to.
struct HistoriesSummary {
    std::size_t histories = 0;
    std::size_t faults = 0;
    std::size_t epochs = 0;
    std::size_t states = 0; // distinct ones that were committed, over all histories
    std::size_t acknowledged = 0;
    simulation::Time max_back_after{0}; // longest time from the last fault to the next acknowledgement
    std::vector<BrokenHistory> broken;  // by seed
};

// Plays the histories of seeds `first_seed` to `first_seed + count - 1` on `threads` threads, each history on
// one of them. `on_progress` is called now and then with the number of histories played, on any thread, one
// call at a time. The summary does not depend on the number of threads.
HistoriesSummary play_histories(const simulation::Scenario& scenario, std::uint64_t first_seed,
                                std::size_t count, std::size_t threads,
                                const std::function<void(std::size_t played)>& on_progress);

} // namespace willowrill::verification
