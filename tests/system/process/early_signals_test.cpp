// A program to which signals come before `main`. Guards against a SIGHUP that ends a process while it starts.
#include "system/transport/process_signals.h"

#include <chrono>
#include <csignal>
#include <cstdlib>

namespace {

constexpr int second_priority = 102; // after the signals are held back
constexpr std::chrono::seconds timeout{5};

[[gnu::constructor(second_priority)]] void receive_signals() {
    std::raise(SIGHUP);
    std::raise(SIGTERM);
}

} // namespace

int main() {
    willowrill::asio::io_context loop(1);
    willowrill::transport::ProcessSignals signals(loop);
    return signals.shutdown_requested_within(timeout) ? EXIT_SUCCESS : EXIT_FAILURE;
}
