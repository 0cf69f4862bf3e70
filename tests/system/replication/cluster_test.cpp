// Random simulation runs of the core, checked by what operators and schedulers observed.
#include "system/simulation/cluster.h"
#include "system/simulation/plans.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;

namespace {

simulation::Scenario find_scenario(const char* name) { return simulation::find_plan(name).value(); }

void expect_no_violations(simulation::Scenario scenario, int from, int to) {
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

Test(cluster, three_members) { expect_no_violations(find_scenario("three"), 1, 80); }

Test(cluster, six_members_that_tolerate_two_losses) { expect_no_violations(find_scenario("six"), 1, 30); }

Test(cluster, five_members_that_tolerate_one_loss) { expect_no_violations(find_scenario("five"), 1, 20); }

Test(cluster, faults_at_short_intervals) { expect_no_violations(find_scenario("three-frequent"), 1, 40); }

Test(cluster, hundreds_of_orders_by_five_operators) {
    expect_no_violations(find_scenario("three-many"), 1, 30);
}

Test(cluster, long_network_partitions) { expect_no_violations(find_scenario("three-long-cuts"), 1, 30); }

// Guards against a successor that is not taken in while it does not reach one zone: the next replacement
// would then leave nobody who could decide.
Test(cluster, replacements_beside_a_cut) { expect_no_violations(find_scenario("three-replaced"), 1, 30); }

// A late delta whose base is no longer the receiver's newest state makes the receiver get the whole state.
Test(cluster, states_are_transferred_as_deltas) {
    simulation::Scenario scenario = find_scenario("three");
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

// Upgrades are rolled out and back at random and finished in some of the runs.
Test(cluster, members_that_change_their_version) {
    simulation::Scenario scenario = find_scenario("three-upgrades");
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

// Guards against a member that wins every election but cannot serve and so blocks the other members.
Test(cluster, a_member_that_fails_whenever_it_is_the_primary) {
    expect_no_violations(find_scenario("three-failing-primary"), 1, 40);
}

Test(cluster, the_same_seed_reproduces_a_run) {
    simulation::Scenario scenario;
    scenario.seed = 77;
    const auto first = simulation::run(scenario), second = simulation::run(scenario);
    cr_assert_eq(first.acknowledged, second.acknowledged);
    cr_assert_eq(first.reads, second.reads);
    cr_assert_eq(first.epochs, second.epochs);
    cr_assert_eq(first.pushes, second.pushes);
    cr_assert_gt(first.acknowledged, 0U);
}
