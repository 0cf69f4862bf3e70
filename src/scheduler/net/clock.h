// Time as the whole program sees it: nanoseconds since the Unix epoch, read once at start and from then on
// advanced by the monotonic clock. Times that other machines give as Unix time (`started_ms`) compare with it
// as they are, and it never goes back when the wall clock is set.
#pragma once

#include <chrono>

namespace willowrill::net {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;

class Clock {
  public:
    Time now() const { return offset_ + std::chrono::steady_clock::now().time_since_epoch(); }
    // From now on the clock runs this much ahead of where it was, as after a pause of the process.
    void jump(Duration ahead) { offset_ += ahead; }

  private:
    Duration offset_ =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch() -
                                             std::chrono::steady_clock::now().time_since_epoch());
};

} // namespace willowrill::net
