// The checker of the random histories must notice each deliberate break; otherwise its silence says nothing.
#include "system/simulation/cluster.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;
using simulation::Time;

namespace {

std::string first_violation(const simulation::Plan& plan) {
    const auto outcome = simulation::run(plan);
    return outcome.violations.empty() ? "" : outcome.violations.front();
}

// How many of the first seeds break a promise.
int broken(simulation::Plan plan, int seeds) {
    int out = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        plan.seed = static_cast<std::uint64_t>(seed);
        out += first_violation(plan).empty() ? 0 : 1;
    }
    return out;
}

} // namespace

Test(checker, sees_registers_that_are_not_durable) {
    simulation::Plan plan;
    plan.break_forgets_registers = true;
    cr_assert_gt(broken(plan, 10), 0);
}

Test(checker, sees_refused_saves_that_are_taken_for_done) {
    simulation::Plan plan;
    plan.break_hides_failures = true;
    plan.fault_gap = Time(1200);
    plan.herds = true;
    cr_assert_gt(broken(plan, 60), 0);
}

Test(checker, sees_acknowledgements_before_all_copies_are_stored) {
    simulation::Plan plan;
    plan.break_answers_for_others = true;
    cr_assert_gt(broken(plan, 40), 0);
}

Test(checker, sees_reads_that_are_not_confirmed) {
    simulation::Plan plan;
    plan.break_unconfirmed_reads = true;
    cr_assert_gt(broken(plan, 120), 0);
}

Test(checker, sees_orders_that_are_not_remembered) {
    simulation::Plan plan;
    plan.break_forgets_orders = true;
    cr_assert_gt(broken(plan, 10), 0);
}

Test(checker, sees_members_that_call_an_old_state_current) {
    simulation::Plan plan;
    plan.break_always_current = true;
    plan.longest_fault = Time(20000);
    plan.length = Time(60000);
    plan.fault_gap = Time(8000);
    cr_assert_gt(broken(plan, 60), 0);
}

Test(checker, sees_a_member_that_wins_again_and_again_and_cannot_serve) {
    simulation::Plan plan;
    plan.fails_as_primary = true;
    plan.break_no_turns = true;
    cr_assert_gt(broken(plan, 20), 0);
}
