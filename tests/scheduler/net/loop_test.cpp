// The loop after a pause of the process: how often timers go off, and how soon it waits again.
#include "scheduler/net/loop.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::array<net::Duration, 3> pauses{5s, 40s, 300s};

// Goes off again and again, as the program's periodic work does.
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

// All periods are within the pause, and none is shorter than half of it: however slow the machine, no timer
// is due again before the loop has waited.
TEST_CASE("loop: after a pause each timer goes off once, however long the pause was") {
    constexpr int timers = 500;
    for (const net::Duration pause : pauses) {
        net::Loop loop;
        std::deque<Periodic> periodic;
        for (int i = 0; i < timers; ++i)
            periodic.emplace_back(loop, pause / 2 + i * (pause / (2 * timers)));
        loop.run_once(0ms);
        loop.jump(pause);
        loop.run_once(0ms);
        int due = 0;
        for (const Periodic& one : periodic) {
            CHECK(one.fired <= 1);
            due += one.fired;
        }
        CHECK(due == timers);
        loop.run_once(50ms);
        CHECK(loop.iterations_since_idle() == 0);
    }
}

// They would wake the loop at each slot that holds one; on a machine where a round takes longer than the way
// from one slot to the next, it would never wait.
TEST_CASE("loop: timers that are due in a later turn of the wheel wake nobody") {
    constexpr net::Time start{0};
    net::TimerWheel wheel(start);
    int fired = 0;
    std::deque<net::Timer> timers;
    for (int i = 0; i < 500; ++i) {
        timers.emplace_back(wheel, [&] { ++fired; });
        timers.back().arm(start + 5s + i * 7ms);
    }
    int looks = 0;
    for (std::optional<net::Time> next = wheel.next_wakeup(); next && fired == 0;
         next = wheel.next_wakeup()) {
        wheel.advance(*next);
        ++looks;
    }
    CHECK(fired == 1);
    CHECK(looks == 5); // four turns of the wheel, and the first timer
    CHECK(wheel.next_wakeup() == start + 5s + 7ms);
    for (net::Timer& timer : timers)
        timer.disarm();
    CHECK_FALSE(wheel.next_wakeup().has_value());
}

TEST_CASE("loop: a timer that is armed anew for a time long past lets the loop wait in between") {
    net::Loop loop;
    net::Time due = loop.now();
    int fired = 0;
    net::Timer* self = nullptr;
    net::Timer timer(loop.timer_wheel(), [&] {
        ++fired;
        self->arm(due += 1ms); // catches up with what it missed, one period at a time
    });
    self = &timer;
    timer.arm(due);
    loop.jump(300s);
    for (int round = 0; round < 20; ++round)
        loop.run_once(1s);
    CHECK(fired <= 20);
    CHECK(loop.iterations_since_idle() <= 1);
}

} // namespace willowrill::testing
