#include "room/slots.h"

#include <doctest/doctest.h>

namespace willowrill::room {
namespace {

using namespace std::chrono_literals;

RunTimes taught(Duration run) { // all jobs run about as long
    RunTimes times({run}, 1);
    for (int i = 0; i < 100; ++i)
        times.add(0, 1, 0, run);
    return times;
}

TEST_CASE("own jobs take slots from their sending to their end, reported or not") {
    Slots slots(4);
    CHECK(slots.free(0s) == 4);
    slots.sent(1, 0, 1, 0s);
    slots.sent(2, 0, 2, 0s);
    CHECK(slots.free(0s) == 1);
    slots.report(1, 100ms);
    CHECK(slots.free(100ms) == 1);
    slots.ended(2);
    CHECK(slots.free(100ms) == 3);
    slots.ended(2); // twice changes nothing
    slots.ended(9);
    CHECK(slots.free(100ms) == 3);
    CHECK(slots.own() == 1);
}

TEST_CASE("what a report shows beyond our own jobs is others', and fades to their mean") {
    Slots slots(4);
    for (int i = 0; i < 60; ++i)
        slots.report(3, i * 100ms); // others have one slot in work as a rule
    slots.report(0, 6s);            // and all four just now
    CHECK(slots.free(6s) < 0.1);
    CHECK(slots.free(7s) > 1);
    CHECK(slots.free(60s) > 2.4);
    CHECK(slots.free(60s) <= 3);
    CHECK(slots.stale(9s));
    CHECK_FALSE(slots.stale(7s));
}

TEST_CASE("a report against all reason stays within the worker") {
    Slots slots(4);
    slots.report(100, 0s);
    CHECK(slots.free(0s) == 4);
    slots.report(-3, 0s);
    CHECK(slots.free(0s) == 0);
    for (JobId job = 0; job < 10; ++job)
        slots.sent(job, 0, 1, 0s);
    CHECK(slots.free(0s) == 0);
}

TEST_CASE("slots are free when our jobs are over with the share asked for") {
    const RunTimes times = taught(1s);
    Slots slots(4);
    slots.sent(1, 0, 2, 0s);
    slots.sent(2, 0, 2, 500ms);
    CHECK(slots.free_at(500ms, 0.9, times, 0, 500ms) == 0);
    CHECK(slots.free_at(1200ms, 0.9, times, 0, 500ms) == 2);
    CHECK(slots.free_at(1800ms, 0.9, times, 0, 500ms) == 4);
    const auto two = slots.free_from(2, 10s, 0.9, times, 0, 500ms),
               four = slots.free_from(4, 10s, 0.9, times, 0, 500ms);
    REQUIRE(two);
    REQUIRE(four);
    CHECK(*two >= 900ms);
    CHECK(*two <= 1300ms);
    CHECK(*four > *two);
    CHECK(*four <= 1800ms);
    CHECK_FALSE(slots.free_from(4, 1s, 0.9, times, 0, 500ms));  // not that soon
    CHECK_FALSE(slots.free_from(5, 10s, 0.9, times, 0, 500ms)); // no worker of four has five
}

TEST_CASE("a job that overruns its estimate ten times does not free its slots on paper") {
    const RunTimes times = taught(1s);
    Slots slots(4);
    slots.sent(1, 0, 4, 0s);
    CHECK(slots.free_at(1500ms, 0.9, times, 0, 500ms) == 4);
    CHECK(slots.free_at(11s, 0.9, times, 0, 10s) == 0);
    CHECK_FALSE(slots.free_from(4, 12s, 0.9, times, 0, 10s));
}

TEST_CASE("a restart voids what others were seen to have, not our own jobs") {
    Slots slots(4);
    slots.sent(1, 0, 1, 0s);
    slots.report(0, 0s);
    CHECK(slots.free(0s) == 0);
    slots.restarted();
    CHECK(slots.free(0s) == 3);
    CHECK(slots.stale(0s));
    slots.ended(1);
    CHECK(slots.free(0s) == 4);
}

} // namespace
} // namespace willowrill::room
