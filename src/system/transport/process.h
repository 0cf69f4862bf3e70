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

// Runs the loop on this thread until the plane stops it. SIGHUP calls the plane's `reload_settings`, SIGTERM
// and SIGINT its `leave`, both from the loop.
template <class Plane> void run_until_shutdown(asio::io_context& loop, Plane& plane) {
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](ErrorCode error, int signal) {
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
}

} // namespace transport
} // namespace willowrill
