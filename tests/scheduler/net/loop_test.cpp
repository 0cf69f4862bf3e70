// The loop after a pause of the process: how often timers fire, and how soon the loop is idle again.
#include "scheduler/net/loop.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::array<net::Duration, 3> pause_lengths{5s, 40s, 300s};

// A timer that rearms itself, as the program's periodic tasks do.
struct Periodic {
    Periodic(net::Loop& loop, net::Duration period)
        : loop(loop), period(period), timer(loop.timer_wheel(), [this] { fire(); }) {
        timer.arm(loop.now() + period);
    }
    void fire() {
        ++fired;
        timer.arm(loop.now() + period);
    }
    net::Loop& loop;
    net::Duration period;
    net::Timer timer;
    int fired = 0;
};

} // namespace

// All periods are between half of the pause and the whole pause, so that even on a slow machine no timer is
// due again before the loop is idle.
TEST_CASE("loop: after a pause each timer fires once, however long the pause was") {
    constexpr int timer_count = 500;
    for (const net::Duration pause : pause_lengths) {
        net::Loop loop;
        std::deque<Periodic> periodic_timers;
        for (int i = 0; i < timer_count; ++i)
            periodic_timers.emplace_back(loop, pause / 2 + i * (pause / (2 * timer_count)));
        loop.run_once(0ms);
        loop.jump(pause);
        loop.run_once(0ms);
        int total_fired = 0;
        for (const Periodic& timer : periodic_timers) {
            CHECK(timer.fired <= 1);
            total_fired += timer.fired;
        }
        CHECK(total_fired == timer_count);
        loop.run_once(50ms);
        CHECK(loop.iterations_since_idle() == 0);
    }
}

// Guards against a wakeup at each slot that holds a timer of a later rotation: on a machine where an
// iteration takes longer than the time between two such slots, the loop would never be idle.
TEST_CASE("loop: timers that are due in a later rotation of the wheel cause no wakeup") {
    constexpr net::Time start{0};
    net::TimerWheel wheel(start);
    int fired = 0;
    std::deque<net::Timer> timers;
    for (int i = 0; i < 500; ++i) {
        timers.emplace_back(wheel, [&] { ++fired; });
        timers.back().arm(start + 5s + i * 7ms);
    }
    int wakeups = 0;
    for (std::optional<net::Time> next = wheel.next_wakeup(); next && fired == 0;
         next = wheel.next_wakeup()) {
        wheel.advance(*next);
        ++wakeups;
    }
    CHECK(fired == 1);
    CHECK(wakeups == 5); // four rotations of the wheel, and the first timer
    CHECK(wheel.next_wakeup() == start + 5s + 7ms);
    for (net::Timer& timer : timers)
        timer.disarm();
    CHECK_FALSE(wheel.next_wakeup().has_value());
}

TEST_CASE("loop: a timer that is rearmed for a past time lets the loop become idle in between") {
    net::Loop loop;
    net::Time due_at = loop.now();
    int fired = 0;
    net::Timer* timer_pointer = nullptr;
    net::Timer timer(loop.timer_wheel(), [&] {
        ++fired;
        timer_pointer->arm(due_at += 1ms); // catches up one missed period at a time
    });
    timer_pointer = &timer;
    timer.arm(due_at);
    loop.jump(300s);
    for (int iteration = 0; iteration < 20; ++iteration)
        loop.run_once(1s);
    CHECK(fired <= 20);
    CHECK(loop.iterations_since_idle() <= 1);
}

} // namespace willowrill::testing
