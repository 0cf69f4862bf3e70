// A replica as the primary: proposals, confirmations, and what it does when it cannot serve.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <vector>

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

namespace {

// The members named answer all that is asked of them, and what is asked in return.
void answer_all(ReplicaDriver& member, int at, const std::vector<Action>& actions,
                const std::vector<MemberId>& answering) {
    for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        if (send == nullptr || std::ranges::find(answering, send->to) == answering.end()) continue;
        const WitnessRegister& known = member.replica.witness_register();
        std::optional<Message> reply;
        if (const auto* heartbeat = std::get_if<Heartbeat>(&send->message))
            reply = HeartbeatReply{heartbeat->number,
                                   heartbeat->record.epoch,
                                   heartbeat->record.epoch,
                                   heartbeat->committed,
                                   true,
                                   true,
                                   false,
                                   at};
        if (const auto* prepare = std::get_if<PrepareRequest>(&send->message))
            reply = PrepareReply{
                prepare->epoch, prepare->pre_vote, true, false, known, member.replica.state().position};
        if (const auto* install = std::get_if<InstallRequest>(&send->message))
            reply = InstallReply{install->epoch, true, install->epoch};
        if (const auto* accept = std::get_if<AcceptRequest>(&send->message))
            reply = AcceptReply{accept->record.epoch, true, accept->record.epoch};
        if (reply) answer_all(member, at, member.receive(at, send->to, *reply), answering);
    }
}

} // namespace

// A connection that was replaced may deliver what its sender, which is gone by now, said long ago.
Test(primary, late_copies_of_replies_do_not_keep_a_lost_witness) {
    ReplicaDriver member = primary();
    const Epoch first_epoch = member.replica.witness_register().decided.epoch;
    answer_all(member, 1000, member.step(1000, PeerConnected{"d:1"}), {"d:1"});
    member.step(1100, PeerDisconnected{"b:1"});
    for (int at = 1150; at <= 5500; at += 50) {
        answer_all(member, at, member.step(at, Tick{}), {"c:1", "d:1"});
        const Epoch epoch = member.replica.witness_register().decided.epoch;
        if (at % 500 == 0) {
            member.receive(at, "b:1",
                           HeartbeatReply{1, first_epoch, first_epoch, {}, true, true, false, 900});
            member.receive(at, "b:1", HeartbeatReply{1, epoch, epoch, {}, true, true, false, 900});
        }
    }
    const std::vector<MemberId> expected{"a:1", "c:1", "d:1"};
    cr_assert(member.replica.witness_register().decided.witnesses == expected);
}
