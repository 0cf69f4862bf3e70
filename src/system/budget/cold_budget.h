// This scheduler's share of what a cold worker bears: over all schedulers, the requests that it gets in any
// second stay under `rate` x `excess` + `slack`. Where a fair share is less than one request, only some
// schedulers, the first in the worker's rendezvous order, send to it. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace willowrill::budget {

using Time = std::chrono::milliseconds; // steady

struct ColdLimits {
    double excess = 1.5;
    double slack = 5;
};

class ColdBudget {
  public:
    explicit ColdBudget(ColdLimits limits) : limits_(limits) {}

    // Whether one more request may go to the worker now. `rank`: this scheduler's place in the worker's
    // order.
    bool allows(Time now, const std::string& worker, double rate_per_s, std::size_t schedulers,
                std::size_t rank);
    void note_send(Time now, const std::string& worker);
    // Forgets workers that nothing was sent to for long.
    void sweep(Time now);

  private:
    ColdLimits limits_;
    std::map<std::string, std::deque<Time>>
        sends_; // within the last second or so; bounded by the workers listed
};

} // namespace willowrill::budget
