// Tests of when a replica starts an election.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(election, none_starts_without_a_connected_quorum) {
    ReplicaDriver member(options("a:1", true));
    for (int at = 0; at < 20000; at += 50)
        cr_assert(messages_of<PrepareRequest>(member.step(at, Tick{})).empty());
    member.step(20000, PeerConnected{"b:1"});
    bool started_election = false;
    for (int at = 20000; at < 22000; at += 50)
        started_election = started_election || !messages_of<PrepareRequest>(member.step(at, Tick{})).empty();
    cr_assert(started_election);
}

Test(election, none_starts_while_a_primary_is_heard) {
    ReplicaDriver member(options("b:1", true));
    member.step(0, PeerConnected{"a:1"});
    member.step(0, PeerConnected{"c:1"});
    for (int at = 0; at < 10000; at += 50) {
        member.receive(at, "a:1", Heartbeat{1, record(2, "a:1"), {}});
        cr_assert(messages_of<PrepareRequest>(member.step(at, Tick{})).empty());
    }
}

// A member that won but could not serve backs off, so that other members can win.
Test(election, a_winner_that_could_not_serve_backs_off_longer_each_time) {
    ReplicaDriver member = primary();
    int at = 1010;
    std::vector<int> waits_ms;
    for (int round = 0; round < 3; ++round) {
        member.mode = ReplicaDriver::DiskMode::fails;
        member.step(at, propose(member, 1, "x"));
        member.mode = ReplicaDriver::DiskMode::completes;
        const int failed_at_ms = at;
        Epoch epoch = 0;
        for (; epoch == 0 && at < failed_at_ms + 20000; at += 50)
            for (const PrepareRequest& request : messages_of<PrepareRequest>(member.step(at, Tick{})))
                epoch = request.epoch;
        waits_ms.push_back(at - failed_at_ms);
        const WitnessRegister peer_register{epoch, record(1, "a:1"), record(1, "a:1"), true};
        for (const bool pre_vote : {true, false})
            for (const char* const from : {"b:1", "c:1"})
                member.receive(at, from, PrepareReply{epoch, pre_vote, true, false, peer_register, {}});
        for (const char* const from : {"b:1", "c:1"})
            member.receive(at, from, InstallReply{epoch, true, epoch});
        for (const char* const from : {"b:1", "c:1"})
            member.receive(at, from, AcceptReply{epoch, true, epoch});
        cr_assert(member.replica.is_primary(), "round %d", round);
    }
    cr_assert_geq(waits_ms[0], 1000);
    cr_assert_geq(waits_ms[1], 2000);
    cr_assert_geq(waits_ms[2], 4000);
}
