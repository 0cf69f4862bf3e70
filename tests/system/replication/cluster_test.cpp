// Random histories of the simulated core, judged by what operators and schedulers saw.
#include "system/simulation/cluster.h"
#include "system/simulation/plans.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;

namespace {

simulation::Scenario plan(const char* name) { return simulation::find_plan(name).value(); }

void expect_kept(simulation::Scenario scenario, int from, int to) {
    std::size_t acknowledged = 0, faults = 0;
    for (int seed = from; seed < to; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const auto outcome = simulation::run(scenario);
        cr_assert(outcome.violations.empty(), "seed %d: %s", seed, outcome.violations.front().c_str());
        acknowledged += outcome.acknowledged;
        faults += outcome.faults;
    }
    cr_assert_gt(acknowledged, static_cast<std::size_t>(20 * (to - from)), "%zu orders acknowledged",
                 acknowledged);
    cr_assert_gt(faults, static_cast<std::size_t>(to - from), "%zu faults", faults);
}

} // namespace

Test(cluster, three_members_keep_every_promise) { expect_kept(plan("three"), 1, 80); }

Test(cluster, six_members_two_of_whom_may_be_lost) { expect_kept(plan("six"), 1, 30); }

Test(cluster, five_members_one_of_whom_may_be_lost) { expect_kept(plan("five"), 1, 20); }

Test(cluster, faults_at_short_intervals) { expect_kept(plan("three-frequent"), 1, 40); }

Test(cluster, hundreds_of_orders_by_five_operators) { expect_kept(plan("three-many"), 1, 30); }

Test(cluster, long_cuts) { expect_kept(plan("three-long-cuts"), 1, 30); }

// Late copies meet bases that have moved on: the state is had whole, and nothing else changes.
Test(cluster, states_travel_as_deltas) {
    simulation::Scenario scenario = plan("three");
    scenario.replays = 0.05;
    std::size_t deltas = 0, missing_bases = 0;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        scenario.seed = seed;
        const auto outcome = simulation::run(scenario);
        cr_assert(outcome.violations.empty(), "seed %d: %s", static_cast<int>(seed),
                  outcome.violations.front().c_str());
        deltas += outcome.deltas;
        missing_bases += outcome.missing_bases;
    }
    cr_assert_gt(deltas, 100U, "%zu deltas", deltas);
    cr_assert_gt(missing_bases, 10U, "%zu missing bases", missing_bases);
}

// Rolled out and back at random, and finished in a part of the histories.
Test(cluster, members_that_change_their_version) {
    simulation::Scenario scenario = plan("three-upgrades");
    std::size_t upgraded = 0;
    for (std::uint64_t seed = 1; seed < 60; ++seed) {
        scenario.seed = seed;
        const auto outcome = simulation::run(scenario);
        cr_assert(outcome.violations.empty(), "seed %d: %s", static_cast<int>(seed),
                  outcome.violations.front().c_str());
        upgraded += outcome.upgraded ? 1 : 0;
    }
    cr_assert_gt(upgraded, 5U, "%zu upgraded", upgraded);
    cr_assert_lt(upgraded, 59U, "%zu upgraded", upgraded);
}

// The first fault of this kind: who wins each election and cannot serve must not hold up the others.
Test(cluster, a_member_that_fails_whenever_it_is_the_primary) {
    expect_kept(plan("three-failing-primary"), 1, 40);
}

Test(cluster, one_seed_replays_a_run) {
    simulation::Scenario scenario;
    scenario.seed = 77;
    const auto first = simulation::run(scenario), again = simulation::run(scenario);
    cr_assert_eq(first.acknowledged, again.acknowledged);
    cr_assert_eq(first.reads, again.reads);
    cr_assert_eq(first.epochs, again.epochs);
    cr_assert_eq(first.pushes, again.pushes);
    cr_assert_gt(first.acknowledged, 0U);
}
