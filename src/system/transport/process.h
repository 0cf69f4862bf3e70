// What the processes of the system have in common: their clock, and how signals reach them.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <csignal>
#include <functional>

namespace willowrill {

// The steady clock, as all state machines take it. Any thread.
inline std::chrono::milliseconds steady_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

namespace transport {

// SIGTERM, SIGINT and SIGHUP, from its construction on: a process makes one before it reads its settings, so
// that none of them ends it while it starts, and none is lost. One thread, the loop's.
class ProcessSignals {
  public:
    explicit ProcessSignals(asio::io_context& loop) : signals_(loop, SIGTERM, SIGINT, SIGHUP) {}

    // Runs the loop on this thread until the plane stops it. SIGHUP calls the plane's `reload_settings`, the
    // others its `leave`, all from the loop; also for signals that came before.
    template <class Plane> void run_until_shutdown(asio::io_context& loop, Plane& plane) {
        std::function<void()> wait_for_signal = [&] {
            signals_.async_wait([&](ErrorCode error, int signal) {
                if (error) return;
                if (signal == SIGHUP)
                    plane.reload_settings();
                else
                    plane.leave();
                wait_for_signal();
            });
        };
        wait_for_signal();
        loop.run();
        signals_.cancel();
    }

  private:
    asio::signal_set signals_;
};

} // namespace transport
} // namespace willowrill
