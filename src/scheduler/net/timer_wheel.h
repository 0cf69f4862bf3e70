// Timers in coarse ticks on a wheel. Arming and disarming cost the same however many there are.
#pragma once

#include "scheduler/net/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace willowrill::net {

class TimerWheel;

// A node of a ring; alone, it is a ring of its own.
struct TimerNode {
    TimerNode* before = this;
    TimerNode* after = this;

    TimerNode() = default;
    ~TimerNode() { unlink(); }
    TimerNode(const TimerNode&) = delete;
    TimerNode& operator=(const TimerNode&) = delete;

    bool alone() const { return after == this; }
    void unlink() {
        before->after = after;
        after->before = before;
        before = after = this;
    }
    void insert_before(TimerNode& other) {
        unlink();
        before = other.before;
        after = &other;
        before->after = after->before = this;
    }
};

// Belongs to the object that waits; goes off once for each `arm`, and never after its destruction.
class Timer : private TimerNode {
  public:
    Timer(TimerWheel& wheel, std::function<void()> action) : wheel_(wheel), action_(std::move(action)) {}

    void arm(Time at); // replaces an earlier time
    void disarm() { unlink(); }
    bool armed() const { return !alone(); }

  private:
    friend class TimerWheel;
    TimerWheel& wheel_;
    std::function<void()> action_;
    std::int64_t due_ = 0; // in ticks
};

class TimerWheel {
  public:
    explicit TimerWheel(Time start, Duration tick = std::chrono::milliseconds(1))
        : tick_(tick), current_(start / tick) {}

    // Sets off what is due. A timer goes off at the first tick that is not before its time.
    void advance(Time now);

    // When to look next: when the first timer is due, or at the end of this turn of the wheel where that is
    // earlier; nothing while no timer is armed. Timers of later turns wake nobody before. Takes a time that
    // grows with the slots and the timers, as poll(2) does with the descriptors.
    std::optional<Time> next() const;

  private:
    friend class Timer;
    void add(Timer& timer, Time at);

    Duration tick_;
    std::int64_t current_;
    std::array<TimerNode, 1024> slots_;
};

inline void Timer::arm(Time at) { wheel_.add(*this, at); }

} // namespace willowrill::net
