// Schedulers that failed as publishers of load reports and are not preferred for a while. Pure; one thread.
#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace willowrill::data {

class SchedulerBackoff {
  public:
    using Clock = std::chrono::steady_clock;

    // `node`: a scheduler's node name.
    void back_off(const std::string& node, Clock::time_point now) { failed_at_[node] = now; }
    // The names of those that failed a short time ago.
    std::set<std::string> backed_off(Clock::time_point now);

  private:
    std::map<std::string, Clock::time_point> failed_at_; // by node name
};

} // namespace willowrill::data
