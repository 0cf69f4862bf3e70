// The one loop of the program: poll(2), timers, and a hook at the end of each round.
//
// The work of a round is bounded by the descriptors that are ready and the timers that are due, and not by
// the time that has passed since the round before: after a pause of the process, however long, each timer
// goes off once and the loop waits again within a few rounds.
#pragma once

#include "scheduler/net/timer_wheel.h"

#include <poll.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace willowrill::net {

class Pollable {
  public:
    virtual ~Pollable() = default;
    virtual void on_ready(short events) = 0;
};

class Loop {
  public:
    Loop() : now_(clock_.now()), wheel_(now_) {}

    Time now() const { return now_; } // of this round
    // For tests: lets the clock jump ahead, as it seems to do after a pause of the process.
    void jump(Duration ahead) { clock_.jump(ahead); }
    // Rounds since poll(2) last waited to its end without any event: work that did not let go of the
    // processor.
    std::uint64_t iterations_since_idle() const { return rounds_since_wait_; }
    TimerWheel& timer_wheel() { return wheel_; }

    void watch(int fd, short events, Pollable& pollable); // again: changes the events
    void unwatch(int fd);

    // Keeps an object that may be on the call stack alive to the end of the round.
    void defer_destruction(std::shared_ptr<void> object) { buried_.push_back(std::move(object)); }

    // Called at the end of each round, when all that came in has been read.
    void set_iteration_end_hook(std::function<void()> hook) { round_end_ = std::move(hook); }

    void run();
    void run_once(Duration at_most);
    void stop() { stopped_ = true; }

  private:
    Clock clock_;
    Time now_;
    TimerWheel wheel_;
    std::vector<pollfd> polled_;
    std::vector<Pollable*> pollables_;  // beside `polled_`; null once forgotten
    std::vector<std::size_t> position_; // by descriptor: place in `polled_`, plus one
    std::vector<std::shared_ptr<void>> buried_;
    std::function<void()> round_end_;
    std::uint64_t rounds_since_wait_ = 0;
    bool stopped_ = false, holes_ = false;
};

} // namespace willowrill::net
