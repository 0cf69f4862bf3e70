// What becomes of signals that reach a process while it starts.
#include "system/transport/process.h"

#include <criterion/criterion.h>

using namespace willowrill;

namespace {

struct Plane {
    explicit Plane(asio::io_context& l) : loop(l) {}
    void reload_settings() { ++reloads; }
    void leave() {
        ++leaves;
        loop.stop();
    }
    asio::io_context& loop;
    int reloads = 0, leaves = 0;
};

} // namespace

// Guards against a process that ends by itself: SIGHUP in the moment between its start and its loop killed
// it.
Test(process_signals, signals_during_the_start_reach_the_plane_once_it_runs) {
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    Plane plane(loop);
    signals.run_until_shutdown(loop, plane);
    cr_assert_eq(plane.leaves, 1);
}

Test(process_signals, a_series_of_signals_reaches_the_plane) {
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    Plane plane(loop);
    asio::post(loop, [] {
        std::raise(SIGHUP);
        std::raise(SIGHUP);
        std::raise(SIGTERM);
    });
    signals.run_until_shutdown(loop, plane);
    cr_assert_eq(plane.reloads, 2);
    cr_assert_eq(plane.leaves, 1);
}
