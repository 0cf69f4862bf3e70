// Whether another attempt is allowed, and what the client is told where none is: each reason by itself.
#include "system/data/retry_state.h"

#include <criterion/criterion.h>

#include <initializer_list>
#include <memory>

using namespace willowrill;
using namespace willowrill::data;
using configuration::RouteClass;
using errors::ErrorKind;
using routing::Time;

namespace {

constexpr Time arrived{1000};
constexpr Time timeout{500};
constexpr Time in_time = arrived + Time(10);
constexpr Time late = arrived + timeout - response_margin;

configuration::Route route_of(RouteClass route_class, unsigned max_attempts, bool resumable = false) {
    configuration::Route route;
    route.route_class = route_class;
    route.max_attempts = max_attempts;
    route.resumable = resumable;
    return route;
}

// A route, its retry state and a budget with room for a number of retries.
struct Request {
    explicit Request(const configuration::Route& its_route, double retries = 10)
        : route(its_route),
          budget(std::make_shared<budget::RetryBudget>(budget::RetryLimits{0, retries, Time(10000)})) {
        conditions.now = in_time;
    }
    Request(const Request&) = delete;
    Request& operator=(const Request&) = delete;

    // Another attempt that is allowed is made.
    RetryDecision decide() {
        RetryAnswer answer = state.decide(conditions, budget);
        if (answer.permit) answer.permit->spend();
        return answer.decision;
    }
    RetryDecision decide_after(AttemptResult result) {
        state.note_result(result);
        if (result == AttemptResult::broken_midway) conditions.response_begun = true;
        return decide();
    }
    RetryDecision send_and_decide(AttemptResult result) {
        state.note_sent();
        return decide_after(result);
    }

    configuration::Route route;
    RetryState state{route, RequestDeadline(arrived, timeout)};
    RetryConditions conditions;
    std::shared_ptr<budget::RetryBudget> budget;
};

constexpr auto every_failure = {AttemptResult::not_executed, AttemptResult::misdirected,
                                AttemptResult::unreachable,  AttemptResult::ineligible,
                                AttemptResult::broken,       AttemptResult::broken_midway};

} // namespace

Test(retry_state, what_has_not_run_is_sent_again_whatever_its_class) {
    for (const RouteClass route_class :
         {RouteClass::safe, RouteClass::non_idempotent, RouteClass::streaming}) {
        Request request(route_of(route_class, 2));
        cr_assert(request.send_and_decide(AttemptResult::not_executed) == RetryDecision::allowed);
        cr_assert_not(request.state.may_have_run());
    }
}

Test(retry_state, what_may_have_run_is_sent_again_on_a_safe_route_only) {
    Request safe(route_of(RouteClass::safe, 2));
    cr_assert(safe.send_and_decide(AttemptResult::broken) == RetryDecision::allowed);
    for (const RouteClass route_class : {RouteClass::non_idempotent, RouteClass::streaming}) {
        Request request(route_of(route_class, 2));
        cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::not_repeatable);
        cr_assert(request.state.may_have_run());
    }
}

// Guards against rule TWICE: a decision by the configuration that the request began with, after a newer one
// said that it may run once only.
Test(retry_state, what_a_newer_configuration_calls_non_idempotent_is_not_sent_again) {
    const configuration::Route once = route_of(RouteClass::non_idempotent, 2);
    Request safe(route_of(RouteClass::safe, 2));
    safe.conditions.newest_route = &once;
    cr_assert(safe.send_and_decide(AttemptResult::broken) == RetryDecision::not_repeatable);
    const configuration::Route not_resumable = route_of(RouteClass::streaming, 2);
    Request stream(route_of(RouteClass::streaming, 2, true));
    stream.conditions.newest_route = &not_resumable;
    stream.conditions.has_resume_position = true;
    cr_assert(stream.send_and_decide(AttemptResult::broken_midway) == RetryDecision::not_repeatable);
    // What has not run may go on, and a newer class allows nothing that the request's own did not.
    Request rejected(route_of(RouteClass::safe, 2));
    rejected.conditions.newest_route = &once;
    cr_assert(rejected.send_and_decide(AttemptResult::not_executed) == RetryDecision::allowed);
    const configuration::Route now_safe = route_of(RouteClass::safe, 2);
    Request began_as_once(route_of(RouteClass::non_idempotent, 2));
    began_as_once.conditions.newest_route = &now_safe;
    cr_assert(began_as_once.send_and_decide(AttemptResult::broken) == RetryDecision::not_repeatable);
}

Test(retry_state, a_resumable_stream_that_has_begun_needs_an_event_with_an_id) {
    Request request(route_of(RouteClass::streaming, 3, true));
    cr_assert(request.send_and_decide(AttemptResult::broken_midway) == RetryDecision::stream_not_resumable);
    request.conditions.has_resume_position = true;
    cr_assert(request.send_and_decide(AttemptResult::broken_midway) == RetryDecision::allowed);
}

Test(retry_state, sends_are_bounded_by_the_route) {
    Request request(route_of(RouteClass::safe, 2));
    cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::allowed);
    cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::attempts_exhausted);
}

// Guards against rule BUDGET: attempts counted against the number that the route had when the request began.
Test(retry_state, sends_are_bounded_by_what_a_newer_configuration_allows) {
    const configuration::Route fewer = route_of(RouteClass::safe, 1);
    Request request(route_of(RouteClass::safe, 3));
    cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::allowed);
    request.conditions.newest_route = &fewer;
    cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::attempts_exhausted);
    cr_assert(request.decide() == RetryDecision::attempts_exhausted);
    const configuration::Route more = route_of(RouteClass::safe, 9);
    Request own_bound(route_of(RouteClass::safe, 1));
    own_bound.conditions.newest_route = &more;
    cr_assert(own_bound.send_and_decide(AttemptResult::broken) == RetryDecision::attempts_exhausted);
}

Test(retry_state, a_worker_that_nothing_was_sent_to_costs_neither_a_send_nor_budget) {
    Request request(route_of(RouteClass::non_idempotent, 1), 0);
    for (int i = 0; i < 5; ++i)
        for (const AttemptResult result : {AttemptResult::unreachable, AttemptResult::ineligible})
            cr_assert(request.decide_after(result) == RetryDecision::allowed);
    cr_assert(request.state.nothing_sent());
}

Test(retry_state, a_send_of_which_no_byte_went_out_does_not_count) {
    Request request(route_of(RouteClass::non_idempotent, 1));
    request.state.note_sent();
    request.state.note_nothing_sent();
    cr_assert(request.decide_after(AttemptResult::unreachable) == RetryDecision::allowed);
    cr_assert(request.state.nothing_sent());
}

Test(retry_state, a_misdirected_send_does_not_count_but_takes_from_the_budget) {
    Request request(route_of(RouteClass::non_idempotent, 1), 2);
    cr_assert(request.send_and_decide(AttemptResult::misdirected) == RetryDecision::allowed);
    cr_assert(request.state.nothing_sent());
    while (request.send_and_decide(AttemptResult::misdirected) == RetryDecision::allowed)
        ;
    cr_assert(request.send_and_decide(AttemptResult::misdirected) == RetryDecision::budget_exhausted);
}

Test(retry_state, an_empty_budget_allows_no_retry) {
    Request request(route_of(RouteClass::safe, 2), 0);
    cr_assert(request.send_and_decide(AttemptResult::not_executed) == RetryDecision::budget_exhausted);
}

Test(retry_state, a_retry_that_is_not_allowed_takes_nothing_from_the_budget) {
    Request request(route_of(RouteClass::non_idempotent, 2), 1);
    budget::RetryBudget untouched({0, 1, Time(10000)});
    cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::not_repeatable);
    cr_assert_eq(request.budget->try_acquire(in_time, 1), untouched.try_acquire(in_time, 1));
}

Test(retry_state, nothing_is_sent_once_the_response_is_due) {
    for (const AttemptResult result : every_failure) {
        Request request(route_of(RouteClass::safe, 3));
        request.conditions.now = late;
        cr_assert(request.send_and_decide(result) == RetryDecision::deadline_passed);
        Request earlier(route_of(RouteClass::safe, 3));
        earlier.conditions.now = late - Time(1);
        earlier.conditions.has_resume_position = true;
        cr_assert(earlier.send_and_decide(result) == RetryDecision::allowed);
    }
}

Test(retry_state, further_attempts_are_foreseen_while_sends_are_left) {
    Request request(route_of(RouteClass::streaming, 2, true));
    request.state.note_sent();
    cr_assert_not(request.state.nothing_sent());
    cr_assert(request.state.may_repeat() && request.state.may_resume());
    request.state.note_sent();
    cr_assert_not(request.state.may_repeat() || request.state.may_resume());
}

Test(retry_state, a_safe_route_repeats_but_does_not_resume) {
    const Request request(route_of(RouteClass::safe, 2));
    cr_assert(request.state.may_repeat());
    cr_assert_not(request.state.may_resume());
}

Test(retry_state, the_final_error_says_whether_it_may_have_run) {
    Request not_run(route_of(RouteClass::non_idempotent, 1));
    not_run.send_and_decide(AttemptResult::not_executed);
    cr_assert(not_run.state.final_error(in_time).kind == ErrorKind::overloaded);
    cr_assert(not_run.state.final_error(late).kind == ErrorKind::deadline_passed_unsent);

    Request ran(route_of(RouteClass::non_idempotent, 1));
    ran.send_and_decide(AttemptResult::broken);
    cr_assert(ran.state.final_error(in_time).kind == ErrorKind::worker_failed);
    cr_assert(ran.state.final_error(late).kind == ErrorKind::deadline_passed);
}

Test(retry_state, the_error_at_shutdown_says_whether_it_may_have_run) {
    Request not_run(route_of(RouteClass::non_idempotent, 1));
    not_run.send_and_decide(AttemptResult::not_executed);
    cr_assert(not_run.state.shutdown_error().kind == ErrorKind::shutting_down_unsent);
    Request ran(route_of(RouteClass::non_idempotent, 1));
    ran.send_and_decide(AttemptResult::broken);
    cr_assert(ran.state.shutdown_error().kind == ErrorKind::shutting_down);
}

Test(retry_state, that_it_may_have_run_is_not_forgotten_by_a_later_attempt) {
    Request request(route_of(RouteClass::safe, 3));
    request.send_and_decide(AttemptResult::broken);
    request.send_and_decide(AttemptResult::not_executed);
    cr_assert(request.state.may_have_run());
    cr_assert(request.state.final_error(in_time).kind == ErrorKind::worker_failed);
}

// Guards against rule TWICE: what came of the last attempt alone decided whether the class was looked at.
Test(retry_state, what_may_have_run_is_not_sent_again_after_an_attempt_that_has_not) {
    const configuration::Route once = route_of(RouteClass::non_idempotent, 9);
    for (const AttemptResult last : {AttemptResult::not_executed, AttemptResult::misdirected,
                                     AttemptResult::unreachable, AttemptResult::ineligible}) {
        Request request(route_of(RouteClass::safe, 9));
        cr_assert(request.send_and_decide(AttemptResult::broken) == RetryDecision::allowed);
        request.conditions.newest_route = &once;
        cr_assert(request.send_and_decide(last) == RetryDecision::not_repeatable);
    }
}

// Guards against rule TWICE: an attempt beside one that is under way, and may run.
Test(retry_state, what_is_under_way_is_sent_beside_it_on_a_repeatable_route_only) {
    for (const RouteClass route_class :
         {RouteClass::safe, RouteClass::non_idempotent, RouteClass::streaming}) {
        Request request(route_of(route_class, 2));
        request.state.note_sent();
        const bool allowed = request.decide() == RetryDecision::allowed;
        cr_assert_eq(allowed, route_class == RouteClass::safe);
    }
}

// Guards against rule BUDGET: the first send takes no retry, and each one beside it does.
Test(retry_state, an_attempt_beside_another_one_takes_from_the_budget) {
    Request request(route_of(RouteClass::safe, 3), 1.5);
    cr_assert_not(request.state.decide(request.conditions, request.budget).permit.has_value());
    request.state.note_sent();
    cr_assert(request.state.decide(request.conditions, request.budget).permit.has_value());
    cr_assert(request.decide() == RetryDecision::allowed, "what was not sent went back");
    request.state.note_sent();
    cr_assert(request.decide() == RetryDecision::budget_exhausted);
}

Test(retry_state, a_cancelled_attempt_may_have_run) {
    Request request(route_of(RouteClass::non_idempotent, 2));
    cr_assert(request.send_and_decide(AttemptResult::cancelled) == RetryDecision::not_repeatable);
    Request unused(route_of(RouteClass::non_idempotent, 2));
    cr_assert(unused.decide_after(AttemptResult::unused) == RetryDecision::allowed);
}
