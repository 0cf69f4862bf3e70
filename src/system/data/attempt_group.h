// The attempts of one request that are under way beside each other. A worker that is silent keeps its request
// while others are asked; the first attempt that has something for the client responds, and the others are
// cancelled in the same moment, so that responses never mix. One thread.
#pragma once

#include "system/data/attempt_result.h"
#include "system/data/held_body.h"
#include "system/routing/worker.h"
#include "system/transport/asio.h"

#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::data {

class UpstreamAttempt;

// How an attempt ended.
struct EndedAttempt {
    std::string worker_id;
    AttemptResult result = AttemptResult::broken;
    bool was_silent = false;    // its worker had been silent for too long, and said nothing more
    std::exception_ptr failure; // of this process, in place of a result
};

// A worker's failure that is complete.
struct HeldFailure {
    http::response_header<> head;
    HeldBody body;
};

class AttemptGroup {
  public:
    explicit AttemptGroup(asio::io_context& loop) : loop_(loop), change_(loop) {}
    AttemptGroup(const AttemptGroup&) = delete;
    AttemptGroup& operator=(const AttemptGroup&) = delete;

    // Runs the attempt. The group must not be destroyed before it is empty, but with the loop.
    void start(const std::shared_ptr<UpstreamAttempt>& attempt);
    // Ends what is under way.
    void cancel_all();

    bool empty() const { return running_.empty(); }
    // Every worker that has the request is silent; also where none has it.
    bool all_silent() const;
    // The attempts that have ended since this was asked last.
    std::vector<EndedAttempt> take_ended();
    // Until an attempt has ended or its worker has become silent, for `max_wait` at most.
    asio::awaitable<void> wait_for_change(std::optional<routing::Time> max_wait);
    asio::awaitable<void> wait_until_empty();

    // The rest is what attempts call.

    // Gives the response to an attempt: cancels all others. False where it was cancelled itself.
    bool claim_response(const UpstreamAttempt& attempt);
    // Another attempt was sent and could still succeed.
    bool has_others(const UpstreamAttempt& attempt) const;
    void hold_failure(HeldFailure failure) { held_failure_.emplace(std::move(failure)); }
    void notify();

    // The last failure that was held, if any was.
    const std::optional<HeldFailure>& held_failure() const { return held_failure_; }

  private:
    void on_end(const std::shared_ptr<UpstreamAttempt>& attempt, AttemptResult result,
                std::exception_ptr failure);

    asio::io_context& loop_;
    std::vector<std::shared_ptr<UpstreamAttempt>> running_; // at most as many as the route allows
    std::vector<EndedAttempt> ended_;
    std::optional<HeldFailure> held_failure_;
    SteadyTimer change_;
    bool has_changed_ = false;
};

} // namespace willowrill::data
