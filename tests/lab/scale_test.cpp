// The scale run at a small size: that hollow schedulers stand for real ones, and that nothing is left behind.
#include "lab/scale/case.h"

#include <doctest/doctest.h>

#include <sys/wait.h>

#include <cmath>

namespace willowrill::lab::scale {
namespace {

using namespace std::chrono_literals;

// Hollow and real schedulers differ in what they send by at most this share (docs/CAPACITY.md).
constexpr double stated_share = 0.25;

Case small() {
    return {.schedulers = 4,
            .workers = 5,
            .real = 2,
            .program = WILLOWRILLD,
            .steady = 4000ms,
            .outage = 500ms,
            .changes = 2};
}

const Sample& sample_of(const std::vector<Sample>& all, Role role, Phase phase) {
    for (const Sample& one : all)
        if (one.role == role && one.phase == phase) return one;
    FAIL("no sample of " << name_of(role) << " in " << name_of(phase));
    return all.front();
}

std::size_t knowing(const std::vector<Sample>& all, Phase phase) {
    std::size_t out = 0;
    for (const Sample& one : all)
        out += one.role == Role::discovery && one.phase == phase && one.act_ms >= 0 ? 1 : 0;
    return out;
}

} // namespace

TEST_CASE("real and hollow schedulers send alike, and all hear of a change, an outage's end and a restart") {
    const auto all = play(
        small(), [](const std::string&) {}, [] { return false; });
    const Sample& real = sample_of(all, Role::real_scheduler, Phase::steady);
    const Sample& hollow = sample_of(all, Role::hollow_scheduler, Phase::steady);
    REQUIRE(real.messages_per_s > 0);
    CHECK(std::abs(hollow.messages_per_s / real.messages_per_s - 1) <= stated_share);
    CHECK(std::abs(hollow.bytes_per_s / real.bytes_per_s - 1) <= stated_share);
    CHECK(sample_of(all, Role::real_scheduler, Phase::load).cpu_us_per_job > 0);
    CHECK(sample_of(all, Role::discovery, Phase::steady).state_bytes > 0);
    for (const Phase phase : {Phase::change, Phase::outage, Phase::restart})
        CHECK(knowing(all, phase) == 1);
}

TEST_CASE("a size that the machine cannot hold is refused, by the limit that it would break") {
    const Machine machine{.processes = 300, .descriptors = 20000, .memory_mb = 12000};
    Case one = small();
    CHECK(refusal(one, machine).empty());
    one.schedulers = one.real = 301;
    CHECK(refusal(one, machine).find("processes: 301 needed, 300 allowed") == 0);
    one.real = 2;
    one.workers = 600;
    CHECK(refusal(one, machine).find("a list of 600 workers is longer than the 65536 bytes") == 0);
    one.schedulers = 5000;
    one.workers = 500;
    CHECK(refusal(one, machine).find("descriptors") == 0);
    one.schedulers = 4;
    one.workers = 5;
    CHECK(refusal(one, {.processes = 300, .descriptors = 20000, .memory_mb = 100}).find("megabytes") == 0);
    one.schedulers = 1;
    CHECK_FALSE(refusal(one, machine).empty()); // fewer than the real ones
    one.workers = 0;
    CHECK_FALSE(refusal(one, machine).empty());
}

TEST_CASE("a run that is cut off leaves no process") {
    int looks = 0;
    CHECK_THROWS_AS(play(
                        small(), [](const std::string&) {}, [&] { return ++looks > 3; }),
                    std::runtime_error);
    CHECK(::waitpid(-1, nullptr, WNOHANG) == -1);
}

TEST_CASE("a decision's processor time is measured beside as many workers as asked for") {
    CHECK(measure_decision(10, 20).cpu_us_per_job > 0);
}

} // namespace willowrill::lab::scale
