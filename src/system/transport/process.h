// What the processes of the system have in common: their clock, and how signals reach them.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <csignal>

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

    // Waits for `duration` while the process has no plane yet, or until SIGTERM or SIGINT comes, and returns
    // whether one came. A SIGHUP is done with: the settings are those of a moment ago.
    bool shutdown_requested_within(asio::io_context& loop, std::chrono::milliseconds duration) {
        bool requested = false;
        SteadyTimer timer(loop, duration);
        const auto on_signal = [&](int signal) {
            requested = signal != SIGHUP;
            if (requested) timer.cancel();
            return !requested;
        };
        wait_for_signals(on_signal);
        timer.async_wait([&](ErrorCode /*error*/) { signals_.cancel(); });
        loop.run();
        loop.restart();
        return requested;
    }

    // Runs the loop on this thread until the plane stops it. SIGHUP calls the plane's `reload_settings`, the
    // others its `leave`, all from the loop; also for signals that came before.
    template <class Plane> void run_until_shutdown(asio::io_context& loop, Plane& plane) {
        const auto on_signal = [&](int signal) {
            if (signal == SIGHUP)
                plane.reload_settings();
            else
                plane.leave();
            return true;
        };
        wait_for_signals(on_signal);
        loop.run();
        signals_.cancel();
    }

  private:
    // Hands over each signal that comes, for as long as `on_signal`, which must live until then, returns
    // true.
    template <class OnSignal> void wait_for_signals(const OnSignal& on_signal) {
        signals_.async_wait([this, &on_signal](ErrorCode error, int signal) {
            if (!error && on_signal(signal)) wait_for_signals(on_signal);
        });
    }

    asio::signal_set signals_;
};

} // namespace transport
} // namespace willowrill
