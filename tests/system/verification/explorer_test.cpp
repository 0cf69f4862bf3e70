// Every history of a small core with few disturbances keeps all promises; each deliberate break is found,
// with a trace that can be played again; and what the search leaves out by merging states loses nothing.
#include "system/verification/explorer.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace willowrill::verification;

namespace {

ExplorationResult explored(const ExplorationOptions& options) {
    return explore(options, [](const ExplorationResult&) {});
}

ExplorationOptions once_between_ticks() {
    ExplorationOptions out;
    out.granularity = Granularity::every_tick;
    out.threads = 4;
    return out;
}

// The break is found, and its counterexample replays.
void expect_found(ExplorationOptions options) {
    options.threads = 2;
    const ExplorationResult result = explored(options);
    cr_assert(result.counterexample.has_value(), "not found in %zu histories", result.histories);
    const Counterexample& found = *result.counterexample;
    cr_assert_leq(found.disturbances.size(), options.max_disturbances);
    cr_assert(replay(options, found.disturbances) == found.violation, "%s", found.violation.c_str());
    const auto trace = trace_of(options, found.disturbances);
    cr_assert(trace.back() == "violated: " + found.violation);
    options.breaks = {};
    cr_assert(replay(options, found.disturbances).empty(), "kept without the break");
}

} // namespace

Test(explorer, an_undisturbed_core_keeps_every_promise_and_does_all_that_is_asked) {
    cr_assert_eq(replay(ExplorationOptions{}, {}), "");
}

Test(explorer, every_history_with_one_disturbance_between_ticks_keeps_every_promise) {
    const ExplorationResult result = explored(once_between_ticks());
    cr_assert_not(result.counterexample.has_value(), "%s",
                  result.counterexample ? result.counterexample->violation.c_str() : "");
    cr_assert_gt(result.histories, 500U);
    cr_assert_gt(result.states, 100000U);
}

// Before every step, for as long as it takes to elect a primary and to commit the first order.
Test(explorer, every_history_with_one_disturbance_at_any_step_of_the_start_keeps_every_promise) {
    ExplorationOptions options;
    options.last_disturbance_tick = 5;
    options.threads = 4;
    const ExplorationResult result = explored(options);
    cr_assert_not(result.counterexample.has_value(), "%s",
                  result.counterexample ? result.counterexample->violation.c_str() : "");
    cr_assert_gt(result.histories, 2000U);
    constexpr std::size_t kinds_of_disturbances = 12;
    cr_assert_eq(result.kinds_played.size(), kinds_of_disturbances, "each kind was possible somewhere");
}

Test(explorer, the_result_does_not_depend_on_the_number_of_threads) {
    ExplorationOptions options = once_between_ticks();
    options.last_disturbance_tick = 8;
    const ExplorationResult several = explored(options);
    options.threads = 1;
    const ExplorationResult one = explored(options);
    cr_assert_eq(one.histories, several.histories);
    cr_assert_eq(one.states, several.states);
}

// Without merging the same breaks are found and the same histories are kept.
Test(explorer, merging_changes_no_verdict) {
    ExplorationOptions options = once_between_ticks();
    options.kinds = {StepKind::kill, StepKind::cut};
    options.last_disturbance_tick = 10;
    options.follow_known_states = true;
    cr_assert_not(explored(options).counterexample.has_value());
    options.breaks.always_current = true;
    cr_assert(explored(options).counterexample.has_value());
    options.follow_known_states = false;
    cr_assert(explored(options).counterexample.has_value());
}

Test(explorer, finds_acknowledgements_before_all_copies_are_stored) {
    ExplorationOptions options;
    options.breaks.answers_for_others = true;
    expect_found(options);
}

Test(explorer, finds_orders_that_are_not_remembered) {
    ExplorationOptions options;
    options.breaks.forgets_orders = true;
    expect_found(options);
}

Test(explorer, finds_members_that_call_an_old_state_current) {
    ExplorationOptions options = once_between_ticks();
    options.breaks.always_current = true;
    expect_found(options);
}

Test(explorer, finds_reads_that_are_not_confirmed) {
    ExplorationOptions options = once_between_ticks();
    options.kinds = {StepKind::freeze};
    options.breaks.unconfirmed_reads = true;
    expect_found(options);
}

Test(explorer, finds_fencing_tokens_that_are_used_twice) {
    ExplorationOptions options = once_between_ticks();
    options.breaks.reuses_tokens = true;
    expect_found(options);
}

Test(explorer, finds_registers_that_are_not_durable) {
    ExplorationOptions options = once_between_ticks();
    options.max_disturbances = 2;
    options.kinds = {StepKind::lose_power};
    options.breaks.forgets_registers = true;
    expect_found(options);
}
