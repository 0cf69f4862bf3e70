#include "system/simulation/cluster.h"

#include "system/simulation/fault_injector.h"
#include "system/simulation/machines.h"
#include "system/simulation/operators.h"
#include "system/simulation/stability_monitor.h"

namespace willowrill::simulation {
namespace {

constexpr Time settle_time{15000}; // after the last fault
constexpr Time max_recovery{8000}; // from the last fault to the next acknowledged order

Operators::Habits habits_of(const Scenario& scenario) {
    Operators::Habits out = scenario.operators;
    out.finish_upgrades = scenario.upgrades;
    out.unconfirmed_reads = scenario.break_unconfirmed_reads;
    return out;
}

Environment environment_of(const Scenario& scenario, EventQueue& queue, Network& network, History& history) {
    return {.queue = queue,
            .network = network,
            .history = history,
            .tolerated = scenario.tolerated,
            .seeds = {},
            .find = {},
            .replays = scenario.replays,
            .break_answers_for_others = scenario.break_answers_for_others,
            .break_always_current = scenario.break_always_current,
            .break_no_election_backoff = scenario.break_no_election_backoff,
            .break_unchecked_upgrade = scenario.break_unchecked_upgrade,
            .break_trusts_any_base = scenario.break_trusts_any_base,
            .break_ignores_confirmations = scenario.break_ignores_confirmations,
            .trace = scenario.trace};
}

// One run from its first start to its verdict.
class Cluster {
  public:
    explicit Cluster(const Scenario& scenario)
        : scenario_(scenario), queue_(scenario.seed), network_(queue_), history_(queue_),
          environment_(environment_of(scenario, queue_, network_, history_)),
          machines_(scenario_, environment_),
          operators_(environment_, machines_.members(), habits_of(scenario)),
          monitor_(scenario_, environment_, machines_),
          faults_(scenario_, environment_, machines_, monitor_, operators_) {
        environment_.find = [this](const MemberId& id) { return machines_.find(id); };
    }

    Outcome run() {
        start();
        queue_.run_until(scenario_.length);
        if (scenario_.final_fault) faults_.inject_final_fault();
        faults_.stop();
        faults_.heal();
        const Time calm = queue_.now();
        queue_.run_until(calm + settle_time);
        check_recovery(calm);
        read_back();
        return history_.close();
    }

  private:
    void start() {
        for (Member& member : machines_.members())
            queue_.after(Time(queue_.uniform(300)), [&member] { member.start(); });
        for (Scheduler& scheduler : machines_.schedulers())
            queue_.after(Time(queue_.uniform(300)), [&scheduler] { scheduler.start(); });
        operators_.start();
        monitor_.start();
        faults_.start();
    }

    void check_recovery(Time calm) {
        const std::optional<Time> first = history_.first_acknowledgement_after(calm);
        if (!first || *first - calm > max_recovery)
            history_.violation("no order was acknowledged in time after the last fault");
        else
            history_.outcome().back_after = *first - calm;
    }

    void read_back() {
        const std::size_t before = history_.reads();
        constexpr int tries = 20;
        constexpr Time pause{1000};
        for (int i = 0; i < tries && history_.reads() == before; ++i) {
            operators_.read_anywhere();
            queue_.run_until(queue_.now() + pause);
        }
        if (history_.reads() == before) history_.violation("the configuration could not be read back");
    }

    Scenario scenario_;
    EventQueue queue_;
    Network network_;
    History history_;
    Environment environment_;
    Machines machines_;
    Operators operators_;
    StabilityMonitor monitor_;
    FaultInjector faults_;
};

} // namespace

Outcome run(const Scenario& scenario) { return Cluster(scenario).run(); }

} // namespace willowrill::simulation
