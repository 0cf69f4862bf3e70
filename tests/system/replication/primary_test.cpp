// A replica as the primary: proposals, confirmations, and what it does when it cannot serve.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(primary, an_order_is_committed_once_every_copy_is_durable_the_own_one_too) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::holds;
    const auto proposed = member.step(1010, propose(member, 1, "x"));
    const auto requests = sent<ReplicateRequest>(proposed);
    cr_assert_eq(requests.size(), 2U, "the others need not wait for this disk");
    const Position position = requests[0].state.position;
    const Epoch epoch = requests[0].epoch;
    member.receive(1020, "b:1", ReplicateReply{epoch, position, true, epoch});
    cr_assert(
        done<Committed>(member.receive(1021, "c:1", ReplicateReply{epoch, position, true, epoch})).empty());
    cr_assert_eq(done<Committed>(member.release(1030)).size(), 1U);
}

Test(primary, a_refused_save_transfers_leadership_and_leaves_the_outcome_unknown) {
    ReplicaDriver member = primary();
    answer_heartbeats(member, 1005, member.step(1300, Tick{}));
    member.mode = ReplicaDriver::DiskMode::refuses;
    const auto actions = member.step(1310, propose(member, 1, "x"));
    cr_assert_eq(done<OutcomeUnknown>(actions).size(), 1U);
    cr_assert_eq(sent<LeadershipTransfer>(actions).size(), 1U);
    cr_assert(member.replica.role() == Role::storage_failed);
}

Test(primary, a_stalled_disk_transfers_leadership_too) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::holds;
    member.step(1010, propose(member, 1, "x"));
    std::size_t transfers = 0, unknown = 0;
    for (int at = 1050; at <= 2000 && member.replica.is_primary(); at += 50) {
        const auto actions = member.step(at, Tick{});
        transfers += sent<LeadershipTransfer>(actions).size();
        unknown += done<OutcomeUnknown>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_not(member.replica.is_primary());
    cr_assert_eq(transfers, 1U);
    cr_assert_eq(unknown, 1U);
}

Test(primary, a_proposal_without_an_answer_is_sent_again) {
    ReplicaDriver member = primary();
    member.step(1010, propose(member, 1, "x"));
    std::size_t again = 0;
    for (int at = 1050; at <= 1500; at += 50) {
        const auto actions = member.step(at, Tick{});
        again += sent<ReplicateRequest>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_geq(again, 2U);
}

Test(primary, an_order_on_another_state_than_the_newest_is_not_taken) {
    ReplicaDriver member = primary();
    cr_assert_eq(done<OutcomeUnknown>(member.step(1010, Propose{1, {7, 7}, "x"})).size(), 1U);
}

Test(primary, one_that_reaches_nobody_says_so_at_once) {
    ReplicaDriver member = primary();
    cr_assert_eq(done<OutcomeUnknown>(member.step(3000, ConfirmLeadership{5})).size(), 1U);
}

Test(primary, a_confirmation_without_a_quorum_times_out) {
    ReplicaDriver member = primary();
    cr_assert(done<OutcomeUnknown>(member.step(1010, ConfirmLeadership{5})).empty());
    std::size_t timed_out = 0;
    for (int at = 1050; at <= 1800; at += 50)
        timed_out += done<OutcomeUnknown>(member.step(at, Tick{})).size();
    cr_assert_eq(timed_out, 1U);
}
