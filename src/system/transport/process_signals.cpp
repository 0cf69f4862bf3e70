#include "system/transport/process_signals.h"

#include "system/transport/signal_mask.h"

namespace willowrill::transport {

ProcessSignals::ProcessSignals(asio::io_context& loop)
    : loop_(loop), signals_(loop, SIGTERM, SIGINT, SIGHUP) {
    wait_for_next();
    unblock_process_signals();
}

void ProcessSignals::wait_for_next() {
    signals_.async_wait([this](ErrorCode error, int signal) {
        if (error) return;
        wait_for_next();
        if (signal != SIGHUP) shutdown_requested_ = true;
        if (on_signal_) on_signal_(signal);
    });
}

// The timer alone ends the wait, early where it is cancelled: its handler is called once, whatever else is
// due in the same turn of the loop.
bool ProcessSignals::shutdown_requested_within(std::chrono::milliseconds duration) {
    bool waiting = true;
    SteadyTimer timer(loop_, shutdown_requested_ ? std::chrono::milliseconds(0) : duration);
    on_signal_ = [&](int /*signal*/) {
        if (shutdown_requested_) timer.cancel();
    };
    timer.async_wait([&](ErrorCode /*error*/) { waiting = false; });
    while (waiting)
        loop_.run_one();
    loop_.poll(); // signals that came by the same turn
    on_signal_ = nullptr;
    return shutdown_requested_;
}

} // namespace willowrill::transport
