// Decides when this member may start another election. A member that wins an election but cannot serve would
// win again, so it waits longer each time and lets other members become primary. Not thread-safe.
#pragma once

#include "system/replication/timing.h"

#include <optional>

namespace willowrill::replication {

class ElectionBackoff {
  public:
    explicit ElectionBackoff(const Timing& timing);

    // Called on every tick. The first call delays elections until a serving primary could be heard, unless a
    // delay is already set.
    void start(Time now);
    // Prevents elections before this time.
    void postpone_until(Time at);
    // Doubles the backoff, up to its maximum: this member won an election but could not serve.
    void back_off(Time now);
    // Resets the backoff: this member has served as primary for long enough.
    void reset() { backoff_ = Time{0}; }

    bool has_elapsed(Time now) const { return !not_before_ || now >= *not_before_; }

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(not_before_, backoff_.count());
    }

  private:
    Time first_election_;
    Time initial_backoff_, max_backoff_;
    std::optional<Time> not_before_;
    Time backoff_{0};
};

} // namespace willowrill::replication
