// This scheduler's share of what a worker bears while it warms up: over all schedulers, the requests that it
// gets in any second stay under `rate` x `excess` + `slack`. Where a fair share is less than one request,
// only some schedulers, the first in the worker's rendezvous order, send to it. Pure; one thread.
#pragma once

#include "system/budget/sliding_window.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::budget {

struct ColdLimits {
    double excess = 1.5; // factor of a worker's rate
    double slack = 5;    // requests
};

class ColdBudget {
  public:
    explicit ColdBudget(ColdLimits limits) : limits_(limits) {}

    // Whether one more request may go to the worker now. `worker`: instance id; `schedulers`: how many share
    // the budget; `rank`: this scheduler's place in the worker's order, from 0.
    bool allows(Time now, const std::string& worker, double rate_per_s, std::size_t schedulers,
                std::size_t rank);
    // A request was sent to the worker.
    void record_send(Time now, const std::string& worker);
    // Forgets workers that nothing was sent to for long.
    void remove_idle_workers(Time now);

  private:
    ColdLimits limits_;
    std::map<std::string, SlidingWindow> sends_; // by worker; bounded by the workers listed
};

} // namespace willowrill::budget
