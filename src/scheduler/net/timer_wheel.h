// A hashed timer wheel with coarse ticks. Arming and disarming a timer takes constant time.
#pragma once

#include "scheduler/net/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace willowrill::net {

class TimerWheel;

// A node of a circular doubly linked list; an unlinked node links to itself.
struct TimerNode {
    TimerNode* prev = this;
    TimerNode* next = this;

    TimerNode() = default;
    ~TimerNode() { unlink(); }
    TimerNode(const TimerNode&) = delete;
    TimerNode& operator=(const TimerNode&) = delete;

    bool is_unlinked() const { return next == this; }
    void unlink() {
        prev->next = next;
        next->prev = prev;
        prev = next = this;
    }
    void insert_before(TimerNode& other) {
        unlink();
        prev = other.prev;
        next = &other;
        prev->next = next->prev = this;
    }
};

// Runs its action once for each `arm`, and never after its destruction. `wheel` must outlive it.
class Timer : private TimerNode {
  public:
    Timer(TimerWheel& wheel, std::function<void()> action) : wheel_(wheel), action_(std::move(action)) {}

    void arm(Time deadline); // replaces an earlier deadline
    void disarm() { unlink(); }
    bool armed() const { return !is_unlinked(); }

  private:
    friend class TimerWheel;
    TimerWheel& wheel_;
    std::function<void()> action_;
    std::int64_t due_tick_ = 0;
};

class TimerWheel {
  public:
    explicit TimerWheel(Time start, Duration tick = std::chrono::milliseconds(1))
        : tick_length_(tick), current_tick_(start / tick) {}

    // Fires the timers that are due: a timer fires at the first tick that is not before its deadline.
    void advance(Time now);

    // When to call `advance` next: when the first timer is due or this rotation of the wheel ends, whichever
    // is earlier; nothing if no timer is armed. Timers that are due in later rotations cause no earlier
    // wakeup. Takes time linear in the number of slots and timers, like poll(2) in the number of descriptors.
    std::optional<Time> next_wakeup() const;

  private:
    friend class Timer;
    void schedule(Timer& timer, Time deadline);

    Duration tick_length_;
    std::int64_t current_tick_;
    std::array<TimerNode, 1024> slots_;
};

inline void Timer::arm(Time deadline) { wheel_.schedule(*this, deadline); }

} // namespace willowrill::net
