// This scheduler's share of a service's retry budget, which all schedulers spend together: in every window,
// retries over all of them stay under `ratio` x requests + `slack`. Pure; one thread.
#pragma once

#include "system/budget/sliding_window.h"

#include <cstddef>

namespace willowrill::budget {

struct RetryLimits {
    double ratio = 0.2; // retries to requests
    double slack = 0;   // retries, over all schedulers
    Time window{10000};
};

class RetryBudget {
  public:
    explicit RetryBudget(RetryLimits limits)
        : limits_(limits), requests_(limits.window), retries_(limits.window) {}

    // A client's request has come.
    void record_request(Time now) { requests_.record(now); }
    // Takes one retry where the share allows it. `schedulers`: how many share the budget.
    bool try_acquire(Time now, std::size_t schedulers);

  private:
    RetryLimits limits_;
    SlidingWindow requests_;
    SlidingWindow retries_;
};

} // namespace willowrill::budget
