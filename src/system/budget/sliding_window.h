// Counts events of the recent past. Pure; one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace willowrill::budget {

using Time = std::chrono::milliseconds; // steady

// Bounded by the events that come within one window.
class SlidingWindow {
  public:
    explicit SlidingWindow(Time length) : length_(length) {}

    // Times must not go back from call to call.
    void record(Time now) {
        forget_older(now);
        times_.push_back(now);
    }
    // Events from `length` before `now` on, both ends included.
    std::size_t count(Time now) {
        forget_older(now);
        return times_.size();
    }
    // Whether the window that ends `now` has no event.
    bool empty_at(Time now) const { return times_.empty() || now - times_.back() > length_; }

  private:
    void forget_older(Time now) {
        while (!times_.empty() && now - times_.front() > length_)
            times_.pop_front();
    }

    Time length_;
    std::deque<Time> times_; // oldest first
};

} // namespace willowrill::budget
