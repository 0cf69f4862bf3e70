// This scheduler's share of a service's budget for repeated requests, which all schedulers spend together: in
// every window, repeats over all of them stay under `ratio` x requests + `slack`. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace willowrill::budget {

using Time = std::chrono::milliseconds; // steady

struct RetryLimits {
    double ratio = 0.2;
    double slack = 0;
    Time window{10000};
};

class RetryBudget {
  public:
    explicit RetryBudget(RetryLimits limits) : limits_(limits) {}

    void note_request(Time now);
    // Takes one repeat where the share allows it. `schedulers`: how many share the budget.
    bool take(Time now, std::size_t schedulers);

  private:
    void forget(Time now);

    RetryLimits limits_;
    // Times within the window; bounded by what one scheduler serves in a window.
    std::deque<Time> requests_, repeats_;
};

} // namespace willowrill::budget
