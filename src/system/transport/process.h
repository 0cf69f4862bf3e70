// What the processes of the system have in common: their clock, and how a signal reaches them.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <csignal>
#include <functional>

namespace willowrill {

// The steady clock, as all state machines take it.
inline std::chrono::milliseconds steady_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

namespace transport {

// Runs the loop until the plane ends it. SIGHUP has it read its settings again, SIGTERM and SIGINT have it
// leave.
template <class Plane> void run_until_it_leaves(asio::io_context& loop, Plane& plane) {
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait = [&] {
        signals.async_wait([&](ErrorCode error, int signal) {
            if (error) return;
            if (signal == SIGHUP)
                plane.reload_settings();
            else
                plane.leave();
            wait();
        });
    };
    wait();
    loop.run();
}

} // namespace transport
} // namespace willowrill
