#include "system/data/retry_state.h"

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;

bool may_have_run_after(AttemptResult result) {
    switch (result) {
    case AttemptResult::answered:
    case AttemptResult::failure_held:
    case AttemptResult::cancelled:
    case AttemptResult::broken:
    case AttemptResult::broken_midway:
        return true;
    case AttemptResult::not_executed:
    case AttemptResult::misdirected:
    case AttemptResult::unreachable:
    case AttemptResult::ineligible:
    case AttemptResult::unused:
        break;
    }
    return false;
}

bool was_sent(AttemptResult result) {
    return result != AttemptResult::unreachable && result != AttemptResult::ineligible &&
           result != AttemptResult::unused;
}

} // namespace

void RetryState::note_sent() {
    ++sends_;
    ++arrivals_;
    ++in_flight_;
}

void RetryState::note_nothing_sent() {
    --sends_;
    --arrivals_;
    --in_flight_;
}

void RetryState::note_result(AttemptResult result) {
    if (was_sent(result)) --in_flight_;
    if (may_have_run_after(result)) may_have_run_ = true;
    // The instance it was sent to is gone, so that no worker of the service has had it by that send.
    if (result == AttemptResult::misdirected) --sends_;
}

RetryAnswer RetryState::decide(const RetryConditions& conditions,
                               const std::shared_ptr<budget::RetryBudget>& budget) {
    const RetryDecision decision = decide_without_budget(conditions);
    if (decision != RetryDecision::allowed || arrivals_ == 0) return {decision, std::nullopt};
    auto permit = budget::RetryPermit::acquire(budget, conditions.now, conditions.schedulers);
    if (!permit) return {RetryDecision::budget_exhausted, std::nullopt};
    return {RetryDecision::allowed, std::move(permit)};
}

RetryDecision RetryState::decide_without_budget(const RetryConditions& conditions) const {
    if (deadline_.is_due(conditions.now)) return RetryDecision::deadline_passed;
    if (!has_sends_left(conditions.newest_route)) return RetryDecision::attempts_exhausted;
    const bool may_run_twice = may_have_run_ || in_flight_ > 0;
    if (may_run_twice && !still_repeatable(conditions.newest_route)) return RetryDecision::not_repeatable;
    if (conditions.response_begun && !conditions.has_resume_position)
        return RetryDecision::stream_not_resumable;
    return RetryDecision::allowed;
}

Error RetryState::final_error(routing::Time now) const {
    const bool late = deadline_.is_due(now);
    if (!may_have_run_)
        return late ? Error{ErrorKind::deadline_passed_unsent, "no worker took it in time"}
                    : Error{ErrorKind::overloaded, "no worker can take it now"};
    return late ? Error{ErrorKind::deadline_passed, "the worker did not answer in time"}
                : Error{ErrorKind::worker_failed, "the worker broke off"};
}

Error RetryState::shutdown_error() const {
    if (may_have_run_) return {ErrorKind::shutting_down, "the scheduler ends while a worker has the request"};
    return {ErrorKind::shutting_down_unsent, "the scheduler ends before a worker has the request"};
}

const char* name_of(RetryDecision decision) {
    switch (decision) {
    case RetryDecision::allowed:
        return "allowed";
    case RetryDecision::deadline_passed:
        return "deadline_passed";
    case RetryDecision::attempts_exhausted:
        return "attempts_exhausted";
    case RetryDecision::not_repeatable:
        return "not_repeatable";
    case RetryDecision::stream_not_resumable:
        return "stream_not_resumable";
    case RetryDecision::budget_exhausted:
        break;
    }
    return "budget_exhausted";
}

} // namespace willowrill::data
