// The program's single-threaded event loop: poll(2), timers, and a hook at the end of each iteration.
//
// The work of an iteration is bounded by the ready descriptors and the due timers, not by the time since the
// previous iteration: after a pause of the process, however long, each timer fires once and the loop is idle
// again within a few iterations.
#pragma once

#include "scheduler/net/timer_wheel.h"

#include <poll.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace willowrill::net {

// Receives the poll events of a descriptor.
class Pollable {
  public:
    virtual ~Pollable() = default;
    virtual void on_ready(short events) = 0; // `pollfd::revents`
};

class Loop {
  public:
    Loop() : now_(clock_.now()), timer_wheel_(now_) {}

    Time now() const { return now_; } // as of the start of this iteration
    // Moves the clock forward, as a pause of the process does. For tests.
    void jump(Duration ahead) { clock_.jump(ahead); }
    // Iterations since poll(2) last waited for its whole timeout without an event. A value that keeps growing
    // means that the loop is never idle.
    std::uint64_t iterations_since_idle() const { return iterations_since_idle_; }
    TimerWheel& timer_wheel() { return timer_wheel_; }

    // Polls `fd` for `events`; a further call for the same descriptor replaces both. `pollable` must outlive
    // the watch.
    void watch(int fd, short events, Pollable& pollable);
    void unwatch(int fd);

    // Keeps an object that may be on the call stack alive until the end of the iteration.
    void defer_destruction(std::shared_ptr<void> object) {
        pending_destruction_.push_back(std::move(object));
    }

    // `hook` runs at the end of each iteration, after all descriptors and timers have been handled.
    void set_iteration_end_hook(std::function<void()> hook) { iteration_end_hook_ = std::move(hook); }

    void run(); // until `stop`
    // Runs one iteration; waits for an event or a timer, at most `max_wait`.
    void run_once(Duration max_wait);
    void stop() { stopped_ = true; }

  private:
    Clock clock_;
    Time now_;
    TimerWheel timer_wheel_;
    std::vector<pollfd> poll_entries_;
    std::vector<Pollable*> pollables_;     // parallel to `poll_entries_`; null once unwatched
    std::vector<std::size_t> entry_by_fd_; // by descriptor: index in `poll_entries_` plus one; 0 for none
    std::vector<std::shared_ptr<void>> pending_destruction_;
    std::function<void()> iteration_end_hook_;
    std::uint64_t iterations_since_idle_ = 0;
    bool stopped_ = false, has_removed_entries_ = false;
};

} // namespace willowrill::net
