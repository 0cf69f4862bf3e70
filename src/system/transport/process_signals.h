// How signals reach a process: one wait for the next signal is always under way, and hands each over to
// whoever waits at that moment. One thread, the loop's.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <csignal>
#include <functional>

namespace willowrill::transport {

// SIGTERM, SIGINT and SIGHUP, from its construction on: a process makes one before it reads its settings, so
// that none of them ends it while it starts, and none is lost. The loop has something to wait for as long as
// this object lives.
class ProcessSignals {
  public:
    explicit ProcessSignals(asio::io_context& loop);
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;

    // Waits for `duration` while the process has no plane yet, or until SIGTERM or SIGINT comes, and returns
    // whether one has come by then. A SIGHUP is done with: the settings are those of a moment ago. The loop
    // must not run meanwhile.
    bool shutdown_requested_within(std::chrono::milliseconds duration);

    // Runs the loop on this thread until the plane stops it. SIGHUP calls the plane's `reload_settings`, the
    // others its `leave`, all from the loop; a request to end that came before is handed over first.
    template <class Plane> void run_until_shutdown(Plane& plane) {
        on_signal_ = [&plane](int signal) {
            if (signal == SIGHUP)
                plane.reload_settings();
            else
                plane.leave();
        };
        if (shutdown_requested_) asio::post(loop_, [&plane] { plane.leave(); });
        loop_.run();
        on_signal_ = nullptr;
    }

  private:
    void wait_for_next();

    asio::io_context& loop_;
    asio::signal_set signals_;
    bool shutdown_requested_ = false;    // ever
    std::function<void(int)> on_signal_; // of whoever waits now
};

} // namespace willowrill::transport
