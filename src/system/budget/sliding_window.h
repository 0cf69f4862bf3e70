// Counts the events of a recent period of time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <iterator>

namespace willowrill::budget {

using Time = std::chrono::milliseconds; // of the steady clock

// Keeps the time of each event in the window, so its memory is bounded by the number of events within one
// window. Times must not decrease from call to call. Not thread-safe.
class SlidingWindow {
  public:
    explicit SlidingWindow(Time length) : length_(length) {}

    void record(Time now) {
        remove_expired(now);
        event_times_.push_back(now);
    }
    // Removes one of the events recorded at `time`, if it is still in the window.
    void remove(Time time) {
        const auto found = std::find(event_times_.rbegin(), event_times_.rend(), time);
        if (found != event_times_.rend()) event_times_.erase(std::next(found).base());
    }
    // Returns the number of events from `now` minus the window length up to `now`, both inclusive.
    std::size_t count(Time now) {
        remove_expired(now);
        return event_times_.size();
    }
    // Returns whether the window that ends at `now` contains no event.
    bool empty_at(Time now) const { return event_times_.empty() || now - event_times_.back() > length_; }

  private:
    void remove_expired(Time now) {
        while (!event_times_.empty() && now - event_times_.front() > length_)
            event_times_.pop_front();
    }

    Time length_;
    std::deque<Time> event_times_; // oldest first
};

} // namespace willowrill::budget
