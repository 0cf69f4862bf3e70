// Work of longer periods on one periodic timer: counts the timer's ticks as nominal time, so that what has a
// period falls on fixed ticks however late the timer fires. Pure; one thread.
#pragma once

#include <chrono>

namespace willowrill::transport {

class TickSchedule {
  public:
    explicit TickSchedule(std::chrono::milliseconds tick_period) : tick_period_(tick_period) {}

    // The timer has fired.
    void advance() { elapsed_ += tick_period_; }
    // Whether work with this period, a multiple of the tick's, falls on the present tick.
    bool is_due(std::chrono::milliseconds period) const {
        return elapsed_ % period == std::chrono::milliseconds::zero();
    }

  private:
    std::chrono::milliseconds tick_period_;
    std::chrono::milliseconds elapsed_{0};
};

} // namespace willowrill::transport
