// When this member may start an election again. A member that won and could not serve would win again: it
// waits longer each time, so that others come first. One thread.
#pragma once

#include "system/replication/timing.h"

#include <optional>

namespace willowrill::replication {

class ElectionBackoff {
  public:
    explicit ElectionBackoff(const Timing& timing);

    // At the first tick: a primary that serves gets the time to be heard, unless something was set before.
    void begin(Time now);
    // No election before this time.
    void wait_until(Time at);
    // This member won and could not serve.
    void back_off(Time now);
    // This member has served.
    void reset() { backoff_ = Time{0}; }

    bool is_over(Time now) const { return !not_before_ || now >= *not_before_; }

    // Shows a visitor all that decides what happens next: `visitor(fields...)`. For searches through states
    // (src/system/verification); counters are shown as distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(not_before_, backoff_.count());
    }

  private:
    Time first_election_;
    Time first_, max_;
    std::optional<Time> not_before_;
    Time backoff_{0};
};

} // namespace willowrill::replication
