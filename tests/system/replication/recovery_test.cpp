// Tests of a replica whose disk was lost.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(recovery, a_member_with_an_empty_disk_neither_votes_nor_stores) {
    ReplicaDriver member(options("b:1", false));
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    cr_assert_not(messages_of<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false}))[0].granted);
    cr_assert_not(
        messages_of<AcceptReply>(member.receive(1, "a:1", AcceptRequest{record(7, "a:1")}))[0].stored);
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    cr_assert_not(
        messages_of<ReplicateReply>(member.receive(2, "a:1", ReplicateRequest{7, state}))[0].stored);
    cr_assert_not(
        messages_of<HeartbeatReply>(member.receive(3, "a:1", Heartbeat{1, record(7, "a:1"), {}}))[0].voting);
}

Test(recovery, it_needs_both_other_members_and_adopts_the_highest_promise) {
    ReplicaDriver member(options("b:1", false));
    member.step(0, PeerConnected{"a:1"});
    member.step(0, PeerConnected{"c:1"});
    const auto requests = messages_of<RecoveryRequest>(member.step(1, Tick{}));
    cr_assert_eq(requests.size(), 2U);
    member.receive(2, "a:1", RecoveryReply{requests[0].nonce, true, complete_register(12, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    member.receive(3, "c:1",
                   RecoveryReply{requests[0].nonce + 1, true, complete_register(9, 9)}); // another process
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    member.receive(4, "c:1", RecoveryReply{requests[0].nonce, true, complete_register(9, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::backup));
    cr_assert_eq(member.witness_register()->promised, 12U);
    cr_assert_not(member.witness_register()->complete, "its copy is lost and must not be marked as complete");
}

// Guards against a successor that waits for witnesses that it was never one of (CONFIG: after its predecessor
// and the next machine were replaced, nobody could decide).
Test(recovery, a_member_that_no_record_names_votes_on_the_word_of_a_confirmed_primary) {
    ReplicaDriver member(options("d:1", false));
    member.step(0, PeerConnected{"a:1"});
    const std::uint64_t nonce = messages_of<RecoveryRequest>(member.step(1, Tick{}))[0].nonce;
    member.receive(2, "a:1", RecoveryReply{nonce, true, complete_register(12, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    member.receive(3, "a:1",
                   RecoveryReply{nonce + 1, true, complete_register(12, 9), true}); // another process
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    const auto replies = messages_of<HeartbeatReply>(
        member.receive(4, "a:1", RecoveryReply{nonce, true, complete_register(12, 9), true}));
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::backup));
    cr_assert_eq(member.witness_register()->promised, 12U);
    cr_assert_eq(member.witness_register()->decided.epoch, 9U);
    cr_assert_not(member.witness_register()->complete);
    cr_assert(replies.at(0).voting, "the primary is told that it may admit the member");
}

Test(recovery, a_member_that_a_record_names_needs_more_than_the_primary) {
    ReplicaDriver witness(options("b:1", false));
    witness.step(0, PeerConnected{"a:1"});
    const std::uint64_t nonce = messages_of<RecoveryRequest>(witness.step(1, Tick{}))[0].nonce;
    witness.receive(2, "a:1", RecoveryReply{nonce, true, complete_register(12, 9), true});
    cr_assert_eq(static_cast<int>(witness.replica.role()), static_cast<int>(Role::recovering));

    ReplicaDriver successor(options("d:1", false));
    successor.step(0, PeerConnected{"a:1"});
    const std::uint64_t its_nonce = messages_of<RecoveryRequest>(successor.step(1, Tick{}))[0].nonce;
    WitnessRegister naming_it = complete_register(12, 11);
    naming_it.accepted.in_sync.push_back("d:1");
    successor.receive(2, "e:1", RecoveryReply{its_nonce, true, naming_it});
    successor.receive(3, "a:1", RecoveryReply{its_nonce, true, complete_register(12, 9), true});
    cr_assert_eq(static_cast<int>(successor.replica.role()), static_cast<int>(Role::recovering));
}

Test(recovery, replies_of_a_recovering_member_do_not_count) {
    ReplicaDriver member(options("b:1", false));
    member.step(0, PeerConnected{"a:1"});
    const auto requests = messages_of<RecoveryRequest>(member.step(1, Tick{}));
    member.receive(2, "a:1", RecoveryReply{requests[0].nonce, true, complete_register(12, 9)});
    member.receive(3, "c:1", RecoveryReply{requests[0].nonce, false, complete_register(12, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
}
