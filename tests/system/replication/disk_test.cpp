// Tests of a replica whose disk stalls, fails to save, or holds inconsistent records at startup.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(disk, nothing_is_confirmed_before_it_is_durable) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::delays;
    cr_assert(messages_of<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty());
    cr_assert(messages_of<AcceptReply>(member.receive(1, "a:1", AcceptRequest{record(7, "a:1")})).empty());
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    cr_assert(messages_of<ReplicateReply>(member.receive(2, "a:1", ReplicateRequest{7, state})).empty());
    const auto actions = member.complete_delayed_saves(3);
    cr_assert(messages_of<PrepareReply>(actions).at(0).granted);
    cr_assert(messages_of<AcceptReply>(actions).at(0).stored);
    cr_assert(messages_of<ReplicateReply>(actions).at(0).stored);
}

Test(disk, a_stalled_disk_does_not_delay_heartbeat_replies) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::delays;
    member.receive(0, "a:1", PrepareRequest{7, false});
    const auto early_replies =
        messages_of<HeartbeatReply>(member.receive(100, "a:1", Heartbeat{1, record(7, "a:1"), {}, true, 0}));
    cr_assert_eq(early_replies.size(), 1U);
    cr_assert(early_replies[0].voting);
    const auto late_replies =
        messages_of<HeartbeatReply>(member.receive(900, "a:1", Heartbeat{2, record(7, "a:1"), {}, true, 0}));
    cr_assert_not(late_replies.at(0).voting, "saves may never become durable");
    cr_assert_not(
        messages_of<PrepareReply>(member.receive(901, "c:1", PrepareRequest{9, true})).at(0).granted);
}

Test(disk, a_stalled_disk_gets_no_more_saves) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::delays;
    for (Epoch epoch = 7; epoch < 1000; ++epoch) {
        member.receive(static_cast<int>(epoch) * 10, "a:1", PrepareRequest{epoch, false});
        member.receive(static_cast<int>(epoch) * 10, "a:1",
                       Heartbeat{epoch, record(epoch, "a:1"), {}, true, 0});
    }
    cr_assert_lt(member.delayed_saves(), 150U, "%zu saves pending", member.delayed_saves());
}

// Guards against two failures: after one failed save the member never votes again, or it wins every election
// and steps down immediately.
Test(disk, after_a_failed_save_the_member_does_not_vote_until_its_records_are_restored) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::fails;
    cr_assert(messages_of<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty(),
              "it is unknown whether the promise is stored");
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(
        messages_of<PrepareReply>(member.receive(10, "c:1", PrepareRequest{8, false})).at(0).granted);
    cr_assert_not(
        messages_of<AcceptReply>(member.receive(11, "c:1", AcceptRequest{record(8, "c:1")})).at(0).stored);
    cr_assert_not(
        messages_of<HeartbeatReply>(member.receive(12, "a:1", Heartbeat{1, record(1, "a:1"), {}, true, 0}))
            .at(0)
            .voting);
    for (int at = 50; at <= 3000; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::storage_failed);
    member.mode = ReplicaDriver::DiskMode::completes;
    for (int at = 3050; at <= 4500; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::backup);
    cr_assert_eq(member.witness_register()->promised, 7U, "the possible promise is kept");
    cr_assert_not(
        messages_of<PrepareReply>(member.receive(4501, "c:1", PrepareRequest{7, false})).at(0).granted);
    cr_assert(messages_of<PrepareReply>(member.receive(4502, "c:1", PrepareRequest{9, false})).at(0).granted);
}

Test(disk, a_record_behind_a_failed_one_is_not_confirmed) {
    ReplicaDriver member(options("b:1", true));
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    member.receive(0, "a:1", PrepareRequest{7, false});
    member.mode = ReplicaDriver::DiskMode::delays;
    member.receive(1, "a:1", InstallRequest{7, state});
    std::vector<Action> out;
    member.mode = ReplicaDriver::DiskMode::fails;
    member.receive(2, "a:1", ReplicateRequest{7, {{7, 2}, state.content}});
    cr_assert(messages_of<ReplicateReply>(member.complete_delayed_saves(3)).empty());
}

// Guards against a failed install that leaves a register marking the older state on disk as complete.
Test(disk, a_state_is_marked_complete_only_after_it_is_stored) {
    const WitnessRegister incomplete{7, record(7, "a:1"), record(7, "a:1"), false};
    const ReplicatedState old{{5, 1}, std::make_shared<const std::string>("old")};
    ReplicaDriver member(options("b:1", false), Loaded{incomplete, old});
    member.mode = ReplicaDriver::DiskMode::fails;
    member.receive(1, "a:1", InstallRequest{7, {{7, 4}, std::make_shared<const std::string>("new")}});
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(member.witness_register()->complete);
    // The disk delays all saves of the restoration.
    member.mode = ReplicaDriver::DiskMode::delays;
    for (int at = 50; member.delayed_saves() == 0 && at < 3000; at += 50)
        member.step(at, Tick{});
    cr_assert_geq(member.delayed_saves(), 3U);
    cr_assert_not(member.witness_register()->complete && member.state()->position < Position({7, 4}));
    member.complete_delayed_saves(3000);
    cr_assert(member.witness_register()->complete);
    cr_assert(member.state()->position == Position({7, 4}));
}

Test(disk, a_register_older_than_the_state_is_recovered) {
    const WitnessRegister rolled_back{4, record(4, "a:1"), record(4, "a:1"), true};
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver member(options("b:1", false), Loaded{rolled_back, state});
    cr_assert(member.replica.role() == Role::recovering);
}

Test(disk, one_ring_lost_and_the_other_kept) {
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver no_register(options("b:1", true), Loaded{std::nullopt, state});
    cr_assert(no_register.replica.role() == Role::recovering, "also with `initial_start` set");
    const ReplicaDriver no_state(options("b:1", false), Loaded{complete_register(7, 7), std::nullopt});
    cr_assert(no_state.replica.role() == Role::backup);
    cr_assert_not(no_state.witness_register()->complete);
}
