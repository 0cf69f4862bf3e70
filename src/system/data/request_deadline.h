// The time by which a client wants its response, on the steady clock. Pure.
#pragma once

#include "system/routing/worker.h"

namespace willowrill::data {

// The response leaves this long before the client's deadline.
inline constexpr routing::Time response_margin{30};

class RequestDeadline {
  public:
    RequestDeadline(routing::Time arrived, routing::Time request_timeout) : at_(arrived + request_timeout) {}

    // Negative after the deadline.
    routing::Time remaining_time(routing::Time now) const { return at_ - now; }
    // When the response must leave at the latest.
    routing::Time response_due() const { return at_ - response_margin; }
    // There is time left to reject the request, and for nothing else.
    bool is_due(routing::Time now) const { return now >= response_due(); }

  private:
    routing::Time at_;
};

} // namespace willowrill::data
