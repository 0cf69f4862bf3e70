#include "system/verification/explorer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace willowrill::verification {
namespace {

struct HashOfHash {
    std::size_t operator()(const StateHash& hash) const { return hash.low; }
};

// The states seen, each with the most disturbances that were left when it was. Any thread.
class KnownStates {
  public:
    // Whether this state is new, or was seen only with fewer left.
    bool add(const StateHash& hash, std::size_t left) {
        Shard& shard = shards_[hash.high % shards_.size()];
        const std::scoped_lock lock(shard.guard);
        const auto [known, fresh] = shard.states.try_emplace(hash, left);
        if (fresh) return true;
        if (known->second >= left) return false;
        known->second = left;
        return true;
    }
    std::size_t size() {
        std::size_t out = 0;
        for (Shard& shard : shards_) {
            const std::scoped_lock lock(shard.guard);
            out += shard.states.size();
        }
        return out;
    }

  private:
    struct Shard {
        std::mutex guard;
        std::unordered_map<StateHash, std::size_t, HashOfHash> states;
    };
    std::array<Shard, 64> shards_;
};

class Search {
  public:
    Search(const ExplorationOptions& options, const OnProgress& on_progress)
        : options_(options), on_progress_(on_progress) {}

    ExplorationResult run() {
        for (std::size_t most = 0; most <= options_.max_disturbances && !found_; ++most)
            run_up_to(most);
        result_.states = known_->size();
        return result_;
    }

  private:
    // One history as it is played.
    struct History {
        ClusterModel model;
        std::vector<Disturbance> disturbances;
        std::size_t step = 0;
    };

    int end_tick() const { return options_.last_disturbance_tick + options_.ticks_after; }

    bool may_disturb(const ClusterModel& model) const {
        if (model.ticks() > options_.last_disturbance_tick || model.ticks() == 0) return false;
        return options_.granularity == Granularity::every_step || model.next().kind == StepKind::tick;
    }

    // The first disturbance of a history comes before one of the steps of the undisturbed one: these are
    // shared out among the threads.
    void run_up_to(std::size_t most) {
        known_ = std::make_unique<KnownStates>();
        std::atomic<std::size_t> next_branch{0};
        const auto work = [&] {
            History history{ClusterModel(options_.breaks), {}, 0};
            std::size_t branch = next_branch++;
            while (!found_ && !is_over(history)) {
                if (history.step == branch) {
                    if (most > 0) disturb(history, most);
                    branch = next_branch++;
                }
                step(history);
            }
            if (!found_ && history.step <= branch) judge_end(history);
        };
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, options_.threads); ++i)
            threads.emplace_back(work);
        threads.clear();
    }

    bool is_over(const History& history) {
        if (!history.model.violation().empty()) {
            report(history, history.model.violation());
            return true;
        }
        return history.model.ticks() >= end_tick();
    }

    void step(History& history) {
        history.model.apply(history.model.next());
        ++history.step;
    }

    void judge_end(const History& history) {
        const std::string missing = history.model.missing_progress();
        if (!missing.empty()) report(history, missing);
    }

    // All histories that go on with a disturbance here.
    void disturb(const History& at, std::size_t left) {
        if (!may_disturb(at.model)) return;
        for (const Step& step : at.model.disturbances(options_.kinds)) {
            if (found_) return;
            History next = at;
            next.disturbances.push_back({at.step, step});
            next.model.apply(step);
            note_begun(next, step.kind);
            play(std::move(next), left - 1);
        }
    }

    void play(History history, std::size_t left) {
        std::size_t steps = 0;
        bool merged = false;
        while (!found_ && !is_over(history)) {
            if (!options_.follow_known_states && !known_->add(history.model.hash(), left)) {
                merged = true;
                break;
            }
            if (left > 0) disturb(history, left);
            step(history);
            ++steps;
        }
        if (!merged && !found_) judge_end(history);
        note_ended(history, steps, merged);
    }

    void note_begun(const History& history, StepKind kind) {
        const std::scoped_lock lock(guards_result_);
        ++result_.histories;
        result_.kinds_played.insert(kind);
        result_.disturbances = std::max(result_.disturbances, history.disturbances.size());
    }

    void note_ended(const History& history, std::size_t steps, bool merged) {
        const std::scoped_lock lock(guards_result_);
        result_.steps += steps;
        result_.merged += merged ? 1 : 0;
        result_.depth = std::max(result_.depth, history.step);
        constexpr std::size_t progress_period = 4096;
        if (result_.histories % progress_period != 0) return;
        result_.states = known_->size();
        on_progress_(result_);
    }

    // Of several threads the first one with the fewest steps counts.
    void report(const History& history, const std::string& violation) {
        const std::scoped_lock lock(guards_result_);
        found_ = true;
        auto& known = result_.counterexample;
        if (!known || history.step < known->steps)
            known = Counterexample{history.disturbances, violation, history.step};
    }

    const ExplorationOptions& options_;
    const OnProgress& on_progress_;
    std::unique_ptr<KnownStates> known_ = std::make_unique<KnownStates>();
    std::mutex guards_result_;
    ExplorationResult result_;
    std::atomic<bool> found_ = false;
};

// Plays one history; calls back before each step, with whether it is a disturbance.
std::string play_one(const ExplorationOptions& options, const std::vector<Disturbance>& disturbances,
                     const std::function<void(const ClusterModel&, const Step&, bool disturbs)>& before) {
    ClusterModel model(options.breaks);
    auto next = disturbances.begin();
    for (std::size_t step = 0; model.ticks() < options.last_disturbance_tick + options.ticks_after; ++step) {
        for (; next != disturbances.end() && next->before_step == step; ++next) {
            before(model, next->step, true);
            model.apply(next->step);
        }
        if (!model.violation().empty()) return model.violation();
        const Step expected = model.next();
        before(model, expected, false);
        model.apply(expected);
        if (!model.violation().empty()) return model.violation();
    }
    return model.missing_progress();
}

} // namespace

ExplorationResult explore(const ExplorationOptions& options, const OnProgress& on_progress) {
    return Search(options, on_progress).run();
}

std::string replay(const ExplorationOptions& options, const std::vector<Disturbance>& disturbances) {
    return play_one(options, disturbances, [](const ClusterModel&, const Step&, bool) {});
}

std::vector<std::string> trace_of(const ExplorationOptions& options,
                                  const std::vector<Disturbance>& disturbances) {
    std::vector<std::string> out;
    std::string described;
    const std::string violation =
        play_one(options, disturbances, [&](const ClusterModel& model, const Step& step, bool disturbs) {
            std::string now = model.describe();
            if (now != described) out.push_back(fmt::format("tick {}: {}", model.ticks(), now));
            described = std::move(now);
            if (disturbs) out.push_back(fmt::format("tick {}: *** {}", model.ticks(), to_text(step)));
        });
    out.push_back("violated: " + (violation.empty() ? "nothing" : violation));
    return out;
}

} // namespace willowrill::verification
