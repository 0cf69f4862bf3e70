#include "scheduler/net/timer_wheel.h"

#include <algorithm>

namespace willowrill::net {

void TimerWheel::add(Timer& timer, Time at) {
    // A timer armed while timers go off waits for the next tick at least, so that `advance` ends.
    timer.due_ = std::max(current_ + 1, (at + tick_ - Duration(1)) / tick_);
    timer.insert_before(slots_[static_cast<std::size_t>(timer.due_) % slots_.size()]);
}

void TimerWheel::advance(Time now) {
    const std::int64_t target = now / tick_;
    if (target <= current_) return;
    TimerNode due; // a ring, since an action may disarm or destroy a timer that is due with it
    const auto size = static_cast<std::int64_t>(slots_.size());
    for (std::int64_t tick = std::max(current_ + 1, target - size + 1); tick <= target; ++tick) {
        TimerNode& slot = slots_[static_cast<std::size_t>(tick) % slots_.size()];
        for (TimerNode* link = slot.after; link != &slot;) {
            auto& timer = static_cast<Timer&>(*link);
            link = link->after;
            if (timer.due_ <= target) timer.insert_before(due);
        }
    }
    current_ = target;
    while (!due.alone()) {
        auto& timer = static_cast<Timer&>(*due.after);
        timer.disarm();
        timer.action_();
    }
}

std::optional<Time> TimerWheel::next() const {
    const std::int64_t end_of_turn = current_ + static_cast<std::int64_t>(slots_.size());
    bool armed = false;
    for (std::int64_t tick = current_ + 1; tick <= end_of_turn; ++tick) {
        const TimerNode& slot = slots_[static_cast<std::size_t>(tick) % slots_.size()];
        for (const TimerNode* link = slot.after; link != &slot; link = link->after) {
            if (static_cast<const Timer*>(link)->due_ <= tick) return tick * tick_;
            armed = true; // for a later turn of the wheel
        }
    }
    if (!armed) return std::nullopt;
    return end_of_turn * tick_;
}

} // namespace willowrill::net
