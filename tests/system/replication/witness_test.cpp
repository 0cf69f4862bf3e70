// Tests of a witness: which requests it grants, what it stores, and what it keeps across a restart.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(witness, a_prepare_is_durable_before_it_is_granted) {
    ReplicaDriver member(options("b:1", true));
    const auto replies = messages_of<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false}));
    cr_assert_eq(replies.size(), 1U);
    cr_assert(replies[0].granted);
    cr_assert_eq(member.witness_register()->promised, 7U);
}

Test(witness, an_epoch_is_promised_once) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "a:1", PrepareRequest{7, false});
    cr_assert_not(messages_of<PrepareReply>(member.receive(1, "c:1", PrepareRequest{7, false}))[0].granted);
    cr_assert_not(messages_of<PrepareReply>(member.receive(2, "c:1", PrepareRequest{6, false}))[0].granted);
    cr_assert(messages_of<PrepareReply>(member.receive(3, "c:1", PrepareRequest{8, false}))[0].granted);
}

Test(witness, a_promise_survives_a_restart) {
    ReplicaDriver first(options("b:1", true));
    first.receive(0, "a:1", PrepareRequest{7, false});
    ReplicaDriver restarted(options("b:1", false), first.disk());
    cr_assert_not(
        messages_of<PrepareReply>(restarted.receive(0, "c:1", PrepareRequest{7, false}))[0].granted);
}

Test(witness, a_pre_vote_binds_nothing) {
    ReplicaDriver member(options("b:1", true));
    cr_assert(messages_of<PrepareReply>(member.receive(5000, "a:1", PrepareRequest{7, true}))[0].granted);
    cr_assert_eq(member.witness_register()->promised, 1U);
}

Test(witness, a_record_below_the_promised_epoch_is_not_stored) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "a:1", PrepareRequest{9, false});
    const auto reply = messages_of<AcceptReply>(member.receive(1, "c:1", AcceptRequest{record(8, "c:1")}))[0];
    cr_assert_not(reply.stored);
    cr_assert_eq(reply.promised, 9U);
    cr_assert_eq(member.witness_register()->accepted.epoch, 1U);
}
