// The assembled components after a pause of the process (a jump of the clock): the number of rounds until the
// event loop waits again, with few and with many connections, half of them with a job in progress.
#include "support/scheduler_fixture.h"

#include <doctest/doctest.h>

namespace willowrill::testing {
namespace {

constexpr std::array<net::Duration, 3> pauses{5s, 40s, 300s};
constexpr std::size_t few_connections = 2, many_connections = 150;
// A connection closed in one round causes events in the next ones, also at the peer, which runs on the same
// loop in this test.
constexpr int max_rounds = 12;

// The number of rounds until the loop has waited without an event.
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
            clients.push_back(
                rig.connect_client(with_job ? SchedulerFixture::job_request(std::to_string(i + 1)) : ""));
        }
        rig.run_until([&] { return rig.front.size() == connections && !rig.worker.peers.empty(); });
        rounds_until_wait(rig.loop);
    }
    int rounds_after(net::Duration pause) {
        rig.loop.jump(pause);
        return rounds_until_wait(rig.loop);
    }
    SchedulerFixture rig;
    std::vector<std::unique_ptr<Peer>> clients;
};

} // namespace

TEST_CASE("clock jump: the loop waits again within a few rounds for any pause and number of connections") {
    for (const std::size_t connections : {few_connections, many_connections}) {
        for (const net::Duration pause : pauses) {
            CAPTURE(connections);
            CAPTURE(pause.count());
            PausedRig paused(connections);
            CHECK(paused.rounds_after(pause) <= max_rounds);
        }
    }
}

TEST_CASE("clock jump: repeated pauses do not accumulate work") {
    PausedRig paused(many_connections);
    for (int repetition = 0; repetition < 5; ++repetition)
        CHECK(paused.rounds_after(40s) <= max_rounds);
}

TEST_CASE("clock jump: a client that connects after the pause is served") {
    PausedRig paused(few_connections);
    paused.rounds_after(300s);
    const std::size_t peers_before = paused.rig.worker.peers.size();
    const auto client = paused.rig.connect_client(SchedulerFixture::job_request("77"));
    REQUIRE(paused.rig.run_until([&] { return paused.rig.host.counters().admitted > few_connections / 2; }));
    CHECK(paused.rig.run_until(
        [&] { return paused.rig.worker.peers.size() > peers_before || client->has_received("HTTP/1.1 "); }));
}

} // namespace willowrill::testing
