// What becomes of signals that reach a process while it starts.
#include "system/transport/process_signals.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <vector>

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
    signals.run_until_shutdown(plane);
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
    signals.run_until_shutdown(plane);
    cr_assert_eq(plane.reloads, 2);
    cr_assert_eq(plane.leaves, 1);
}

namespace {

using std::chrono::milliseconds;

const std::vector<std::vector<int>> series_of_signals = {
    {SIGHUP}, {SIGHUP, SIGHUP}, {SIGTERM}, {SIGINT}, {SIGHUP, SIGTERM}, {SIGTERM, SIGHUP}, {SIGINT, SIGTERM}};

bool asks_to_end(const std::vector<int>& series) {
    return std::ranges::any_of(series, [](int signal) { return signal != SIGHUP; });
}

void raise_all(const std::vector<int>& series) {
    for (const int signal : series)
        std::raise(signal);
}

} // namespace

// Guards against a start that hangs: SIGHUP and the timer of the wait were due in the same turn of the loop,
// as after a standstill of the process, and nothing was left that could end the wait.
Test(process_signals, a_wait_ends_where_signals_and_its_timer_are_due_in_one_turn, .timeout = 20) {
    for (const std::vector<int>& series : series_of_signals) {
        asio::io_context loop(1);
        transport::ProcessSignals signals(loop);
        raise_all(series);
        cr_assert_eq(signals.shutdown_requested_within(milliseconds(0)), asks_to_end(series));
        cr_assert_eq(signals.shutdown_requested_within(milliseconds(0)), asks_to_end(series));
    }
}

// The same where the signals come from inside the turn, before the timer's handler and behind it.
Test(process_signals, a_wait_ends_where_signals_come_beside_its_timer, .timeout = 20) {
    for (const std::vector<int>& series : series_of_signals) {
        for (const bool before : {true, false}) {
            asio::io_context loop(1);
            transport::ProcessSignals signals(loop);
            SteadyTimer beside(loop,
                               milliseconds(before ? -1 : 1)); // due before the wait's timer, or behind it
            beside.async_wait([&](ErrorCode) { raise_all(series); });
            bool requested = false;
            for (int wait = 0; wait < 3; ++wait)
                requested = signals.shutdown_requested_within(milliseconds(wait)) || requested;
            cr_assert_eq(requested, asks_to_end(series));
        }
    }
}

// Guards against a request to end that is lost between two waits: the timer's turn handed it over.
Test(process_signals, a_request_to_end_that_came_during_a_wait_reaches_the_plane, .timeout = 20) {
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    std::raise(SIGTERM);
    signals.shutdown_requested_within(milliseconds(0));
    Plane plane(loop);
    signals.run_until_shutdown(plane);
    cr_assert_eq(plane.leaves, 1);
}

// Guards against a signal that is taken by a wait which is over.
Test(process_signals, a_plane_gets_the_signals_that_come_after_a_wait, .timeout = 20) {
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    std::raise(SIGHUP);
    cr_assert_not(signals.shutdown_requested_within(milliseconds(1)));
    Plane plane(loop);
    asio::post(loop, [] { raise_all({SIGHUP, SIGTERM}); });
    signals.run_until_shutdown(plane);
    cr_assert_eq(plane.reloads, 1);
    cr_assert_eq(plane.leaves, 1);
}
