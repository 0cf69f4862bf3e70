#include "scheduler/net/timer_wheel.h"

#include <algorithm>

namespace willowrill::net {

void TimerWheel::schedule(Timer& timer, Time deadline) {
    // Never in the current tick: an action that arms a timer again must not keep `advance` from returning.
    timer.due_tick_ = std::max(current_tick_ + 1, (deadline + tick_length_ - Duration(1)) / tick_length_);
    timer.insert_before(slots_[static_cast<std::size_t>(timer.due_tick_) % slots_.size()]);
}

void TimerWheel::advance(Time now) {
    const std::int64_t now_tick = now / tick_length_;
    if (now_tick <= current_tick_) return;
    TimerNode due_timers; // a list, as an action may disarm or destroy another due timer
    const auto size = static_cast<std::int64_t>(slots_.size());
    for (std::int64_t tick = std::max(current_tick_ + 1, now_tick - size + 1); tick <= now_tick; ++tick) {
        TimerNode& slot = slots_[static_cast<std::size_t>(tick) % slots_.size()];
        for (TimerNode* node = slot.next; node != &slot;) {
            auto& timer = static_cast<Timer&>(*node);
            node = node->next;
            if (timer.due_tick_ <= now_tick) timer.insert_before(due_timers);
        }
    }
    current_tick_ = now_tick;
    while (!due_timers.is_unlinked()) {
        auto& timer = static_cast<Timer&>(*due_timers.next);
        timer.disarm();
        timer.action_();
    }
}

std::optional<Time> TimerWheel::next_wakeup() const {
    const std::int64_t end_of_rotation = current_tick_ + static_cast<std::int64_t>(slots_.size());
    bool armed = false;
    for (std::int64_t tick = current_tick_ + 1; tick <= end_of_rotation; ++tick) {
        const TimerNode& slot = slots_[static_cast<std::size_t>(tick) % slots_.size()];
        for (const TimerNode* node = slot.next; node != &slot; node = node->next) {
            if (static_cast<const Timer*>(node)->due_tick_ <= tick) return tick * tick_length_;
            armed = true; // due in a later rotation
        }
    }
    if (!armed) return std::nullopt;
    return end_of_rotation * tick_length_;
}

} // namespace willowrill::net
