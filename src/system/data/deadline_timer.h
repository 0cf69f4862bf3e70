// Ends something that is under way at a given time. Safe by construction: destroying, restarting or
// cancelling the timer forgets the callback, also where the time has passed and the loop has not run the
// handler yet. So a callback may capture `this` of the timer's owner. One thread, the loop's.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <functional>
#include <memory>

namespace willowrill::data {

class DeadlineTimer {
  public:
    explicit DeadlineTimer(asio::io_context& loop);
    ~DeadlineTimer() { cancel(); }
    DeadlineTimer(const DeadlineTimer&) = delete;
    DeadlineTimer& operator=(const DeadlineTimer&) = delete;

    // Calls `on_expiry` once from the loop, after this time or as soon as possible where it is not positive.
    // Replaces what was started before.
    void start(std::chrono::milliseconds after, std::function<void()> on_expiry);
    void cancel();

  private:
    // Shared with the handler that waits in the loop, which may outlive the timer.
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace willowrill::data
