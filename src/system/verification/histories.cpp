#include "system/verification/histories.h"

#include "system/simulation/cluster.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace willowrill::verification {
namespace {

void add(HistoriesSummary& summary, std::uint64_t seed, const simulation::Outcome& outcome) {
    ++summary.histories;
    summary.faults += outcome.faults;
    summary.epochs += outcome.epochs;
    summary.states += outcome.states;
    summary.acknowledged += outcome.acknowledged;
    summary.max_back_after = std::max(summary.max_back_after, outcome.back_after);
    if (!outcome.violations.empty()) summary.broken.push_back({seed, outcome.violations.front()});
}

} // namespace

HistoriesSummary play_histories(const simulation::Scenario& scenario, std::uint64_t first_seed,
                                std::size_t count, std::size_t threads,
                                const std::function<void(std::size_t played)>& on_progress) {
    HistoriesSummary summary;
    std::mutex guards_summary;
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < count; i = next++) {
            simulation::Scenario one = scenario;
            one.seed = first_seed + i;
            const simulation::Outcome outcome = simulation::run(one);
            const std::scoped_lock lock(guards_summary);
            add(summary, one.seed, outcome);
            on_progress(summary.histories);
        }
    };
    {
        std::vector<std::jthread> workers;
        for (std::size_t i = 0; i < std::max<std::size_t>(threads, 1); ++i)
            workers.emplace_back(work);
    }
    std::ranges::sort(summary.broken, {}, &BrokenHistory::seed);
    return summary;
}

} // namespace willowrill::verification
