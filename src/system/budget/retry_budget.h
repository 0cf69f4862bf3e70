// Limits the retries of a service that this scheduler sends.
#pragma once

#include "system/budget/sliding_window.h"

#include <cstddef>

namespace willowrill::budget {

// In every window, the retries of all schedulers together must stay below `ratio` x requests + `slack`.
struct RetryLimits {
    double ratio = 0.2; // retries per request
    double slack = 0;   // retries, shared by all schedulers
    Time window{10000};
};

// This scheduler's share of a service's retry budget. Not thread-safe.
class RetryBudget {
  public:
    explicit RetryBudget(RetryLimits limits)
        : limits_(limits), requests_(limits.window), retries_(limits.window) {}

    // Records the arrival of a client request.
    void record_request(Time now) { requests_.record(now); }
    // Takes one retry from the budget. Returns false, and takes none, if this scheduler's share is used up.
    // `scheduler_count`: schedulers that share the budget.
    bool try_acquire(Time now, std::size_t scheduler_count);
    // Gives back a retry that was taken at `taken_at` and not sent.
    void give_back(Time taken_at) { retries_.remove(taken_at); }

  private:
    RetryLimits limits_;
    SlidingWindow requests_;
    SlidingWindow retries_;
};

} // namespace willowrill::budget
