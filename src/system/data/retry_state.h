// What the attempts of one request so far allow: whether another one may be made and why not, and what the
// client is told once none is. Knows no clock, no sockets and no workers. Pure.
//
// A request that may have run, or may be running, is sent again only where a second run harms nobody. Every
// request that a worker gets beyond the first takes from the service's retry budget.
#pragma once

#include "system/budget/retry_permit.h"
#include "system/configuration/configuration.h"
#include "system/data/attempt_result.h"
#include "system/data/request_deadline.h"
#include "system/errors/error.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace willowrill::data {

enum class RetryDecision {
    allowed,
    deadline_passed,
    attempts_exhausted,
    not_repeatable,       // it may have run, and a second run could do harm
    stream_not_resumable, // the client has events without an id to resume after
    budget_exhausted
};

// The label of the decision's metric.
const char* name_of(RetryDecision decision);

// What a decision goes by besides the attempts.
struct RetryConditions {
    routing::Time now{0};
    std::size_t schedulers = 1;       // that share the retry budget
    bool response_begun = false;      // the client has part of a response
    bool has_resume_position = false; // an event with an id was relayed
    // The request's route as of now; null where the active configuration has none.
    const configuration::Route* newest_route = nullptr;
};

// Whether another attempt may be made, and what it takes.
struct RetryAnswer {
    RetryDecision decision = RetryDecision::allowed;
    // Of an attempt that takes from the retry budget; given back with the answer if it isn't made.
    std::optional<budget::RetryPermit> permit;
};

class RetryState {
  public:
    // The route must outlive this object.
    RetryState(const configuration::Route& route, const RequestDeadline& deadline)
        : route_(route), deadline_(deadline) {}

    // A request is about to be sent.
    void note_sent();
    // It turned out that none of its bytes was sent.
    void note_nothing_sent();
    // The attempt has ended; called once for each.
    void note_result(AttemptResult result);

    // Whether an attempt may be made now, beside those that are under way. All that speaks against one is
    // asked here, but for a worker that can take it.
    RetryAnswer decide(const RetryConditions& conditions, const std::shared_ptr<budget::RetryBudget>& budget);

    // Another attempt would be allowed, for what the route says, after one that may have run.
    bool may_repeat() const { return route_.repeatable() && has_sends_left(); }
    // Likewise, after one that broke off within its stream.
    bool may_resume() const { return route_.resumable && has_sends_left(); }

    // No worker has had the request, as far as is known.
    bool nothing_sent() const { return sends_ == 0; }
    bool may_have_run() const { return may_have_run_; }
    // Why the request failed, for a client that has no part of a response.
    errors::Error final_error(routing::Time now) const;
    // Likewise, where this process ends before the request has its response.
    errors::Error shutdown_error() const;

  private:
    // Why no attempt may be made, whatever the budget has.
    RetryDecision decide_without_budget(const RetryConditions& conditions) const;
    bool still_repeatable(const configuration::Route* newest_route) const {
        return route_.repeatable() && (newest_route == nullptr || newest_route->repeatable());
    }
    bool has_sends_left(const configuration::Route* newest_route = nullptr) const {
        const bool newest_allows = newest_route == nullptr || sends_ < newest_route->max_attempts;
        return sends_ < route_.max_attempts && newest_allows;
    }

    const configuration::Route& route_;
    RequestDeadline deadline_;
    unsigned sends_ = 0;     // to workers of the service
    unsigned arrivals_ = 0;  // of these, and of those at instances that had taken a worker's address
    unsigned in_flight_ = 0; // sent, and not ended
    bool may_have_run_ = false;
};

} // namespace willowrill::data
