// Tests of the checker of the simulation: it must detect each deliberately injected fault.
#include "system/simulation/cluster.h"
#include "system/simulation/plans.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;
using simulation::Time;

namespace {

// The number of seeds from 1 to `seeds` whose run has violations.
int count_violating_seeds(simulation::Scenario scenario, int seeds) {
    int violating_seeds = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        violating_seeds += simulation::run(scenario).violations.empty() ? 0 : 1;
    }
    return violating_seeds;
}

} // namespace

Test(checker, sees_registers_that_are_not_durable) {
    simulation::Scenario scenario;
    scenario.break_forgets_registers = true;
    cr_assert_gt(count_violating_seeds(scenario, 10), 0);
}

Test(checker, sees_failed_saves_that_are_treated_as_successful) {
    simulation::Scenario scenario;
    scenario.break_hides_failures = true;
    scenario.fault_gap = Time(1200);
    scenario.herds = true;
    cr_assert_gt(count_violating_seeds(scenario, 60), 0);
}

Test(checker, sees_acknowledgements_before_all_copies_are_stored) {
    simulation::Scenario scenario;
    scenario.break_answers_for_others = true;
    cr_assert_gt(count_violating_seeds(scenario, 40), 0);
}

Test(checker, sees_reads_that_are_not_confirmed) {
    simulation::Scenario scenario;
    scenario.break_unconfirmed_reads = true;
    cr_assert_gt(count_violating_seeds(scenario, 120), 0);
}

Test(checker, sees_orders_that_are_lost) {
    simulation::Scenario scenario;
    scenario.break_forgets_orders = true;
    cr_assert_gt(count_violating_seeds(scenario, 10), 0);
}

Test(checker, sees_members_that_consider_an_old_state_current) {
    simulation::Scenario scenario;
    scenario.break_always_current = true;
    scenario.max_fault = Time(20000);
    scenario.length = Time(60000);
    scenario.fault_gap = Time(8000);
    cr_assert_gt(count_violating_seeds(scenario, 60), 0);
}

Test(checker, sees_a_winner_that_cannot_serve_and_does_not_back_off) {
    simulation::Scenario scenario;
    scenario.fails_as_primary = true;
    scenario.break_no_election_backoff = true;
    cr_assert_gt(count_violating_seeds(scenario, 20), 0);
}

Test(checker, sees_deltas_that_are_applied_to_another_base) {
    simulation::Scenario scenario;
    scenario.replays = 0.1;
    scenario.break_trusts_any_base = true;
    cr_assert_gt(count_violating_seeds(scenario, 20), 0);
}

Test(checker, sees_successors_that_wait_for_witnesses_of_their_predecessor) {
    simulation::Scenario scenario = simulation::find_plan("three-replaced").value();
    scenario.break_ignores_confirmations = true;
    cr_assert_gt(count_violating_seeds(scenario, 10), 0);
}

Test(checker, sees_upgrades_that_are_finished_while_older_members_run) {
    simulation::Scenario scenario;
    scenario.upgrades = true;
    scenario.fault_gap = Time(700);
    scenario.break_unchecked_upgrade = true;
    cr_assert_gt(count_violating_seeds(scenario, 40), 0);
}
