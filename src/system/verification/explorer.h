// Plays all histories of the model core in which it is disturbed at most so many times, at any point.
//
// Between disturbances each state has one next step (`ClusterModel::next`), so that a history is told by its
// disturbances alone: the search is exhaustive up to their number, their kinds and the time within which they
// come, all of which are printed with the result. It goes by the number of disturbances (iterative
// deepening), so that the first counterexample has the fewest. States that were reached before with as many
// disturbances left are not followed again.
#pragma once

#include "system/verification/cluster_model.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::verification {

// When disturbances come: at any step, or only when everything is done and time would go on.
enum class Granularity { every_step, every_tick };

struct ExplorationOptions {
    std::size_t max_disturbances = 1;
    Granularity granularity = Granularity::every_step;
    std::set<StepKind> kinds;       // empty for all
    int last_disturbance_tick = 28; // none comes later
    int ticks_after = 40;           // played after that, by the end of which progress is asked for
    Breaks breaks;
    std::size_t threads = 1;
    bool follow_known_states = false; // no merging: to see what merging saves
};

// A disturbance of a history, and the number of the step before which it comes.
struct Disturbance {
    std::size_t before_step = 0;
    Step step;
    bool operator==(const Disturbance&) const = default;
};

struct Counterexample {
    std::vector<Disturbance> disturbances;
    std::string violation;
    std::size_t steps = 0; // until it was seen
};

struct ExplorationResult {
    std::size_t histories = 0;       // begun
    std::size_t merged = 0;          // of these, that came to a state known already
    std::size_t states = 0;          // distinct ones
    std::size_t steps = 0;           // taken, replays not counted
    std::size_t depth = 0;           // steps of the longest history
    std::size_t disturbances = 0;    // the most that any history had
    std::set<StepKind> kinds_played; // those that were possible anywhere
    std::optional<Counterexample> counterexample;
};

using OnProgress = std::function<void(const ExplorationResult& so_far)>;

// Ends with the first counterexample. `on_progress`: now and then, on any thread, one call at a time.
ExplorationResult explore(const ExplorationOptions& options, const OnProgress& on_progress);

// The history of these disturbances, line by line, up to its violation or its end.
std::vector<std::string> trace_of(const ExplorationOptions& options,
                                  const std::vector<Disturbance>& disturbances);

// What the history of these disturbances violates; "" where all is kept.
std::string replay(const ExplorationOptions& options, const std::vector<Disturbance>& disturbances);

} // namespace willowrill::verification
