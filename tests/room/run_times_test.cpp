#include "room/run_times.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <cmath>

namespace willowrill::room {
namespace {

using namespace std::chrono_literals;

double in_s(Duration span) { return std::chrono::duration<double>(span).count(); }

// Log-normal about one second: sigma 0.5.
Duration draw(pcg32& random) {
    double sum = 0;
    for (int i = 0; i < 12; ++i)
        sum += static_cast<double>(random()) / 4294967296.0;
    return Duration(static_cast<std::int64_t>(std::exp((sum - 6) * 0.5) * 1e9));
}

TEST_CASE("nothing known: the prior, and wide bounds") {
    const RunTimes times({300ms, 2s}, 2);
    const Estimate one = times.quantile(1, 4, 0, 0.9);
    CHECK(one.value == 2s);
    CHECK(one.low == 0s);
    CHECK(one.high == 8s);
    CHECK(one.samples == 0);
    CHECK(times.quantile(9, 1, 0, 0.5).value == 0s); // no such class
}

TEST_CASE("a quantile is found, and its uncertainty shrinks with what is known") {
    RunTimes times({300ms}, 1, 100'000);
    pcg32 random(5);
    double before = 1e9;
    for (const int samples : {20, 200, 2000}) {
        for (int i = 0; i < samples; ++i)
            times.add(0, 1, 0, draw(random));
        const Estimate one = times.quantile(0, 1, 0, 0.9);
        const double truth = std::exp(1.2816 * 0.5);
        CHECK(one.low <= one.value);
        CHECK(one.value <= one.high);
        CHECK(in_s(one.low) <= truth * 1.12);
        CHECK(in_s(one.high) >= truth / 1.12);
        const double width = in_s(one.high) / in_s(one.low);
        CHECK(width < before);
        before = width;
    }
    CHECK(in_s(times.quantile(0, 1, 0, 0.5).value) == doctest::Approx(1).epsilon(0.13));
}

TEST_CASE("the bounds hold the true quantile about as often as they say") {
    pcg32 random(77);
    int held = 0;
    constexpr int runs = 400;
    for (int run = 0; run < runs; ++run) {
        RunTimes times({300ms}, 1, 1'000'000);
        for (int i = 0; i < 40; ++i)
            times.add(0, 1, 0, draw(random));
        const Estimate one = times.quantile(0, 1, 0, 0.75);
        const double truth = std::exp(0.6745 * 0.5);
        held += in_s(one.low) <= truth && truth <= in_s(one.high) ? 1 : 0;
    }
    CHECK(held >= runs * 85 / 100);
}

TEST_CASE("widths and kinds are told apart once each has enough, and lean on the class before") {
    RunTimes times({300ms}, 2);
    for (int i = 0; i < 50; ++i)
        times.add(0, 1, 0, 100ms);
    CHECK(times.quantile(0, 4, 1, 0.5).samples > 40); // nothing of its own: what the class has
    CHECK(in_s(times.quantile(0, 4, 1, 0.5).value) < 0.13);
    for (int i = 0; i < 15; ++i)
        times.add(0, 4, 1, 2s);
    CHECK(in_s(times.quantile(0, 1, 0, 0.5).value) < 0.13);
    CHECK(in_s(times.quantile(0, 2, 1, 0.5).value) > 1.9); // the kind's
    for (int i = 0; i < 15; ++i)
        times.add(0, 4, 1, 2s);
    CHECK(in_s(times.quantile(0, 4, 1, 0.5).value) > 1.9); // its own
}

TEST_CASE("a worker grown slow is believed after some samples, not after thousands") {
    RunTimes times({300ms}, 1, 100);
    for (int i = 0; i < 5000; ++i)
        times.add(0, 1, 0, 100ms);
    for (int i = 0; i < 150; ++i)
        times.add(0, 1, 0, 1s);
    CHECK(in_s(times.quantile(0, 1, 0, 0.5).value) > 0.9);
}

TEST_CASE("a job that overruns all that is known is not taken to end soon") {
    RunTimes times({300ms}, 1);
    for (int i = 0; i < 100; ++i)
        times.add(0, 1, 0, 1s);
    CHECK(times.over_within(0, 1, 0, 0s, 2s) > 0.99);
    CHECK(times.over_within(0, 1, 0, 0s, 500ms) < 0.01);
    CHECK(times.over_within(0, 1, 0, 10s, 1s) < 0.1); // ten times its estimate
    CHECK(times.over_within(0, 1, 0, 10s, 10s) == doctest::Approx(0.5));
}

} // namespace
} // namespace willowrill::room
