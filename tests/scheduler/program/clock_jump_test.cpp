// The parts put together, after a pause of the process: how many rounds of the loop there are until it waits
// again, with few and with many connections, at rest and with work under way.
#include "support/rig.h"

#include <doctest/doctest.h>

namespace willowrill::testing {
namespace {

constexpr std::array<net::Duration, 3> pauses{5s, 40s, 300s};
constexpr std::size_t few = 2, many = 150;
// What a round closes is heard of in the next ones, by the other side as well, which stands on the same loop
// here.
constexpr int most_rounds = 12;

// Rounds until the loop has waited for something that did not come.
int rounds_until_wait(net::Loop& loop) {
    for (int round = 1; round <= 1000; ++round) {
        loop.run_once(20ms);
        if (loop.iterations_since_idle() == 0) return round;
    }
    return 1000;
}

struct PausedRig {
    explicit PausedRig(std::size_t connections) : rig(connections + 2, connections + 2) {
        for (std::size_t i = 0; i < connections; ++i) {
            const bool with_job = i % 2 == 0;
            clients.push_back(rig.client(with_job ? Rig::job(std::to_string(i + 1)) : ""));
        }
        rig.settle([&] { return rig.front.size() == connections && !rig.worker.peers.empty(); });
        rounds_until_wait(rig.loop);
    }
    int rounds_after(net::Duration pause) {
        rig.loop.jump(pause);
        return rounds_until_wait(rig.loop);
    }
    Rig rig;
    std::vector<std::unique_ptr<Peer>> clients;
};

} // namespace

TEST_CASE("clock jump: the loop waits again within a few rounds, whatever the pause and the connections") {
    for (const std::size_t connections : {few, many}) {
        for (const net::Duration pause : pauses) {
            CAPTURE(connections);
            CAPTURE(pause.count());
            PausedRig paused(connections);
            CHECK(paused.rounds_after(pause) <= most_rounds);
        }
    }
}

TEST_CASE("clock jump: one pause after the other does not add up") {
    PausedRig paused(many);
    for (int again = 0; again < 5; ++again)
        CHECK(paused.rounds_after(40s) <= most_rounds);
}

TEST_CASE("clock jump: a client that comes after the pause is served") {
    PausedRig paused(few);
    paused.rounds_after(300s);
    const std::size_t before = paused.rig.worker.peers.size();
    const auto client = paused.rig.client(Rig::job("77"));
    REQUIRE(paused.rig.settle([&] { return paused.rig.host.counters().admitted > few / 2; }));
    CHECK(paused.rig.settle(
        [&] { return paused.rig.worker.peers.size() > before || client->has("HTTP/1.1 "); }));
}

} // namespace willowrill::testing
