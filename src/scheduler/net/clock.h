// The program's clock: nanoseconds since the Unix epoch. The system clock is read once at start; from then on
// the monotonic clock advances the time, so that it never goes back when the system clock is set. Unix times
// from other machines (`started_ms`) can be compared with it directly.
#pragma once

#include <chrono>

namespace willowrill::net {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;

class Clock {
  public:
    Time now() const { return offset_ + std::chrono::steady_clock::now().time_since_epoch(); }
    // Moves the clock forward by `ahead`, as a pause of the process does. For tests.
    void jump(Duration ahead) { offset_ += ahead; }

  private:
    Duration offset_ =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch() -
                                             std::chrono::steady_clock::now().time_since_epoch());
};

} // namespace willowrill::net
