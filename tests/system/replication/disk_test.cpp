// A replica whose disk stalls, refuses, or was found in doubt.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(disk, nothing_is_vouched_for_before_it_is_durable) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    cr_assert(sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty());
    cr_assert(sent<AcceptReply>(member.receive(1, "a:1", AcceptRequest{record(7, "a:1")})).empty());
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    cr_assert(sent<ReplicateReply>(member.receive(2, "a:1", ReplicateRequest{7, state})).empty());
    const auto released = member.release(3);
    cr_assert(sent<PrepareReply>(released).at(0).granted);
    cr_assert(sent<AcceptReply>(released).at(0).stored);
    cr_assert(sent<ReplicateReply>(released).at(0).stored);
}

Test(disk, a_stalled_one_holds_up_no_heartbeat) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    member.receive(0, "a:1", PrepareRequest{7, false});
    const auto soon =
        sent<HeartbeatReply>(member.receive(100, "a:1", Heartbeat{1, record(7, "a:1"), {}, true, 0}));
    cr_assert_eq(soon.size(), 1U);
    cr_assert(soon[0].voting);
    const auto late =
        sent<HeartbeatReply>(member.receive(900, "a:1", Heartbeat{2, record(7, "a:1"), {}, true, 0}));
    cr_assert_not(late.at(0).voting, "what it is given may never be durable");
    cr_assert_not(sent<PrepareReply>(member.receive(901, "c:1", PrepareRequest{9, true})).at(0).granted);
}

Test(disk, a_stalled_one_is_asked_for_nothing_more) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    for (Epoch epoch = 7; epoch < 1000; ++epoch) {
        member.receive(static_cast<int>(epoch) * 10, "a:1", PrepareRequest{epoch, false});
        member.receive(static_cast<int>(epoch) * 10, "a:1",
                       Heartbeat{epoch, record(epoch, "a:1"), {}, true, 0});
    }
    cr_assert_lt(member.held(), 150U, "%zu saves wait", member.held());
}

// The fault of the first version: one refused save, and the member took no part for the rest of its life, or
// won each election and stepped down at once.
Test(disk, a_refused_save_takes_the_member_out_until_the_disk_returns_records) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::refuses;
    cr_assert(sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty(),
              "its fate is unknown");
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(sent<PrepareReply>(member.receive(10, "c:1", PrepareRequest{8, false})).at(0).granted);
    cr_assert_not(sent<AcceptReply>(member.receive(11, "c:1", AcceptRequest{record(8, "c:1")})).at(0).stored);
    cr_assert_not(sent<HeartbeatReply>(member.receive(12, "a:1", Heartbeat{1, record(1, "a:1"), {}, true, 0}))
                      .at(0)
                      .voting);
    for (int at = 50; at <= 3000; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::storage_failed);
    member.mode = ReplicaDriver::DiskMode::answers;
    for (int at = 3050; at <= 4500; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::backup);
    cr_assert_eq(member.witness_register()->promised, 7U, "what it may have promised is kept");
    cr_assert_not(sent<PrepareReply>(member.receive(4501, "c:1", PrepareRequest{7, false})).at(0).granted);
    cr_assert(sent<PrepareReply>(member.receive(4502, "c:1", PrepareRequest{9, false})).at(0).granted);
}

Test(disk, what_came_behind_a_refused_record_is_not_believed) {
    ReplicaDriver member(options("b:1", true));
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    member.receive(0, "a:1", PrepareRequest{7, false});
    member.mode = ReplicaDriver::DiskMode::holds;
    member.receive(1, "a:1", InstallRequest{7, state});
    std::vector<Action> out;
    member.mode = ReplicaDriver::DiskMode::refuses;
    member.receive(2, "a:1", ReplicateRequest{7, {{7, 2}, state.content}});
    cr_assert(sent<ReplicateReply>(member.release(3)).empty());
}

// An install whose state was refused must not leave a register behind that calls the older state complete.
Test(disk, a_state_is_called_complete_only_behind_it) {
    const WitnessRegister incomplete{7, record(7, "a:1"), record(7, "a:1"), false};
    const ReplicatedState old{{5, 1}, std::make_shared<const std::string>("old")};
    ReplicaDriver member(options("b:1", false), Loaded{incomplete, old});
    member.mode = ReplicaDriver::DiskMode::refuses;
    member.receive(1, "a:1", InstallRequest{7, {{7, 4}, std::make_shared<const std::string>("new")}});
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(member.witness_register()->complete);
    // The disk takes the first of the records that restore it, and no more.
    member.mode = ReplicaDriver::DiskMode::holds;
    for (int at = 50; member.held() == 0 && at < 3000; at += 50)
        member.step(at, Tick{});
    cr_assert_geq(member.held(), 3U);
    cr_assert_not(member.witness_register()->complete && member.state()->position < Position({7, 4}));
    member.release(3000);
    cr_assert(member.witness_register()->complete);
    cr_assert(member.state()->position == Position({7, 4}));
}

Test(disk, a_register_older_than_the_state_beside_it_is_not_believed) {
    const WitnessRegister rolled_back{4, record(4, "a:1"), record(4, "a:1"), true};
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver member(options("b:1", false), Loaded{rolled_back, state});
    cr_assert(member.replica.role() == Role::recovering);
}

Test(disk, one_ring_lost_and_the_other_kept) {
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver no_register(options("b:1", true), Loaded{std::nullopt, state});
    cr_assert(no_register.replica.role() == Role::recovering,
              "also where the settings speak of a first start");
    const ReplicaDriver no_state(options("b:1", false), Loaded{voted(7, 7), std::nullopt});
    cr_assert(no_state.replica.role() == Role::backup);
    cr_assert_not(no_state.witness_register()->complete);
}
