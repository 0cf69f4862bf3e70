// Tests of a replica that shuts down.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace willowrill;
using namespace willowrill::replication;

Test(shutdown, waits_until_the_member_is_no_longer_needed) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, true, 0});
    member.step(1010, BeginShutdown{});
    cr_assert_not(member.replica.is_safe_to_shut_down(Time(1010)), "it is in sync");
    const EpochRecord without_self{3, "a:1", {"a:1", "c:1"}, three_members};
    member.receive(1100, "a:1", Heartbeat{2, without_self, {}, true, 0});
    cr_assert(member.replica.is_safe_to_shut_down(Time(1100)), "there is no standby to replace the witness");
    member.step(1110, PeerConnected{"d:1"});
    cr_assert_not(member.replica.is_safe_to_shut_down(Time(1110)), "a standby can replace the witness");
    member.receive(1200, "a:1",
                   Heartbeat{3, {4, "a:1", {"a:1", "c:1", "d:1"}, {"a:1", "c:1", "d:1"}}, {}, true, 0});
    cr_assert(member.replica.is_safe_to_shut_down(Time(1200)));
    cr_assert_not(member.replica.is_safe_to_shut_down(Time(9000)), "the primary is silent");
}

Test(shutdown, the_member_leaves_the_in_sync_set_if_enough_others_remain) {
    ReplicaDriver member = primary();
    Epoch epoch = 0;
    for (int at = 1050; epoch == 0 && at < 5000; at += 50) {
        const auto actions = member.step(at, Tick{});
        for (const Action& action : actions) {
            const auto* send = std::get_if<Send>(&action);
            if (send == nullptr) continue;
            if (const auto* heartbeat = std::get_if<Heartbeat>(&send->message))
                member.receive(at, send->to,
                               HeartbeatReply{heartbeat->number, heartbeat->record.epoch,
                                              heartbeat->record.epoch, heartbeat->committed, true, true,
                                              send->to == "c:1", at});
            if (const auto* request = std::get_if<PrepareRequest>(&send->message)) epoch = request->epoch;
        }
    }
    cr_assert_gt(epoch, 0U, "a member that shuts down causes a new epoch");
    const EpochRecord known = member.replica.witness_register().decided;
    std::vector<Action> actions;
    for (const char* const from : {"b:1", "c:1"}) {
        const PrepareReply reply{epoch, false, true, from[0] == 'c', {epoch, known, known, true}, {}};
        for (const Action& action : member.receive(5000, from, reply))
            actions.push_back(action);
    }
    const auto accepts = messages_of<AcceptRequest>(actions);
    cr_assert(!accepts.empty());
    cr_assert_eq(std::ranges::count(accepts[0].record.in_sync, "c:1"), 0);
}
