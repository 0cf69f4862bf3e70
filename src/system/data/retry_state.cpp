#include "system/data/retry_state.h"

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;

bool may_have_run_after(AttemptResult result) {
    return result == AttemptResult::broken || result == AttemptResult::broken_midway;
}

bool nothing_sent_in(AttemptResult result) {
    return result == AttemptResult::unreachable || result == AttemptResult::ineligible;
}

} // namespace

void RetryState::note_result(AttemptResult result) {
    if (may_have_run_after(result)) may_have_run_ = true;
}

RetryDecision RetryState::decide(AttemptResult result, const RetryConditions& conditions,
                                 budget::RetryBudget& budget) {
    if (deadline_.is_due(conditions.now)) return RetryDecision::deadline_passed;
    if (may_have_run_ && !still_repeatable(conditions.newest_route)) return RetryDecision::not_repeatable;
    if (nothing_sent_in(result)) return RetryDecision::allowed;
    // The instance it was sent to is gone, so that no worker of the service has had it by that send; the
    // attempt counts for the budget all the same.
    if (result == AttemptResult::misdirected) --sends_;
    if (!has_sends_left(conditions.newest_route)) return RetryDecision::attempts_exhausted;
    if (result == AttemptResult::broken_midway && !conditions.has_resume_position)
        return RetryDecision::stream_not_resumable;
    if (!budget.try_acquire(conditions.now, conditions.schedulers)) return RetryDecision::budget_exhausted;
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

} // namespace willowrill::data
