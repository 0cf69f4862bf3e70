// Limits the requests that this scheduler sends to workers that are warming up.
#pragma once

#include "system/budget/sliding_window.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::budget {

// The requests that a worker receives from all schedulers within any second, while it warms up, must stay
// below its rate per second x `excess` + `slack`.
struct ColdLimits {
    double excess = 1.5; // factor on the rate of the worker
    double slack = 5;    // requests
};

// This scheduler's share of the limit above. If a fair share is less than one request, only the schedulers
// that come first in the worker's rendezvous order send to it. Not thread-safe.
class ColdBudget {
  public:
    explicit ColdBudget(ColdLimits limits) : limits_(limits) {}

    // Returns whether one more request may be sent to the worker at `now`. `worker_id`: instance id;
    // `rate_per_s`: requests that the worker takes per second while it warms up; `scheduler_count`:
    // schedulers that share the budget; `rank`: position of this scheduler in the worker's rendezvous order,
    // from 0.
    bool allows(Time now, const std::string& worker_id, double rate_per_s, std::size_t scheduler_count,
                std::size_t rank);
    // Records that a request was sent to the worker.
    void record_send(Time now, const std::string& worker_id);
    // Removes the state of workers that no request was sent to within the last window.
    void remove_idle_workers(Time now);

  private:
    ColdLimits limits_;
    std::map<std::string, SlidingWindow> sends_; // by instance id; bounded by the number of listed workers
};

} // namespace willowrill::budget
