// What the attempts of one request so far allow: whether another one may be made and why not, and what the
// client is told once none is. Knows no clock, no sockets and no workers. Pure.
//
// A request that may have run is sent again only where a second run harms nobody. Every attempt beyond the
// first takes from the service's retry budget, except where nothing was sent.
#pragma once

#include "system/budget/retry_budget.h"
#include "system/configuration/configuration.h"
#include "system/data/attempt_result.h"
#include "system/data/request_deadline.h"
#include "system/errors/error.h"

#include <cstddef>

namespace willowrill::data {

enum class RetryDecision {
    allowed,
    deadline_passed,
    attempts_exhausted,
    not_repeatable,       // it may have run, and a second run could do harm
    stream_not_resumable, // the client has events without an id to resume after
    budget_exhausted
};

// What a decision goes by besides the attempts.
struct RetryConditions {
    routing::Time now{0};
    std::size_t schedulers = 1;       // that share the retry budget
    bool has_resume_position = false; // an event with an id was relayed
    // The request's route as of now; null where the active configuration has none.
    const configuration::Route* newest_route = nullptr;
};

class RetryState {
  public:
    // The route must outlive this object.
    RetryState(const configuration::Route& route, const RequestDeadline& deadline)
        : route_(route), deadline_(deadline) {}

    // A request is about to be sent.
    void note_sent() { ++sends_; }
    // It turned out that none of its bytes was sent.
    void note_nothing_sent() { --sends_; }
    // The attempt has ended; called once for each, before `decide`.
    void note_result(AttemptResult result);

    // Whether another attempt is allowed after one that ended so. Takes from the budget where it is.
    RetryDecision decide(AttemptResult result, const RetryConditions& conditions,
                         budget::RetryBudget& budget);

    // Another attempt would be allowed, for what the route says, after one that may have run.
    bool may_repeat() const { return route_.repeatable() && has_sends_left(); }
    // Likewise, after one that broke off within its stream.
    bool may_resume() const { return route_.resumable && has_sends_left(); }

    // Likewise, by the route as of now too: it may have become non-idempotent, or may allow fewer attempts.
    bool may_still_repeat(const configuration::Route* newest_route) const {
        return still_repeatable(newest_route) && has_sends_left(newest_route);
    }

    bool nothing_sent() const { return sends_ == 0; }
    bool first_send() const { return sends_ == 1; }
    bool may_have_run() const { return may_have_run_; }
    // Why the request failed, for a client that has no part of a response.
    errors::Error final_error(routing::Time now) const;
    // Likewise, where this process ends before the request has its response.
    errors::Error shutdown_error() const;

  private:
    bool still_repeatable(const configuration::Route* newest_route) const {
        return route_.repeatable() && (newest_route == nullptr || newest_route->repeatable());
    }
    bool has_sends_left(const configuration::Route* newest_route = nullptr) const {
        const bool newest_allows = newest_route == nullptr || sends_ < newest_route->max_attempts;
        return sends_ < route_.max_attempts && newest_allows;
    }

    const configuration::Route& route_;
    RequestDeadline deadline_;
    unsigned sends_ = 0;
    bool may_have_run_ = false;
};

} // namespace willowrill::data
