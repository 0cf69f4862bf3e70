// Tests of the primary: proposals, leadership confirmations, and stepping down when it cannot serve.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace willowrill;
using namespace willowrill::replication;

Test(primary, a_proposal_is_committed_once_every_copy_including_its_own_is_durable) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::delays;
    const auto proposed = member.step(1010, propose(member, 1, "x"));
    const auto requests = messages_of<ReplicateRequest>(proposed);
    cr_assert_eq(requests.size(), 2U, "requests are sent without waiting for this disk");
    const Position position = requests[0].state.position;
    const Epoch epoch = requests[0].epoch;
    member.receive(1020, "b:1", ReplicateReply{epoch, position, true, epoch});
    cr_assert(actions_of<Committed>(member.receive(1021, "c:1", ReplicateReply{epoch, position, true, epoch}))
                  .empty());
    cr_assert_eq(actions_of<Committed>(member.complete_delayed_saves(1030)).size(), 1U);
}

Test(primary, a_failed_save_transfers_leadership_and_leaves_the_outcome_unknown) {
    ReplicaDriver member = primary();
    answer_heartbeats(member, 1005, member.step(1300, Tick{}));
    member.mode = ReplicaDriver::DiskMode::fails;
    const auto actions = member.step(1310, propose(member, 1, "x"));
    cr_assert_eq(actions_of<OutcomeUnknown>(actions).size(), 1U);
    cr_assert_eq(messages_of<LeadershipTransfer>(actions).size(), 1U);
    cr_assert(member.replica.role() == Role::storage_failed);
}

Test(primary, a_stalled_disk_transfers_leadership_too) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::delays;
    member.step(1010, propose(member, 1, "x"));
    std::size_t transfer_count = 0, unknown_count = 0;
    for (int at = 1050; at <= 2000 && member.replica.is_primary(); at += 50) {
        const auto actions = member.step(at, Tick{});
        transfer_count += messages_of<LeadershipTransfer>(actions).size();
        unknown_count += actions_of<OutcomeUnknown>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_not(member.replica.is_primary());
    cr_assert_eq(transfer_count, 1U);
    cr_assert_eq(unknown_count, 1U);
}

Test(primary, a_proposal_without_an_answer_is_resent) {
    ReplicaDriver member = primary();
    member.step(1010, propose(member, 1, "x"));
    std::size_t resent_count = 0;
    for (int at = 1050; at <= 1500; at += 50) {
        const auto actions = member.step(at, Tick{});
        resent_count += messages_of<ReplicateRequest>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_geq(resent_count, 2U);
}

Test(primary, a_proposal_not_based_on_the_newest_state_is_rejected) {
    ReplicaDriver member = primary();
    cr_assert_eq(actions_of<OutcomeUnknown>(member.step(1010, Propose{1, {7, 7}, "x"})).size(), 1U);
}

Test(primary, a_confirmation_without_contact_fails_immediately) {
    ReplicaDriver member = primary();
    cr_assert_eq(actions_of<OutcomeUnknown>(member.step(3000, ConfirmLeadership{5})).size(), 1U);
}

Test(primary, a_confirmation_without_a_quorum_times_out) {
    ReplicaDriver member = primary();
    cr_assert(actions_of<OutcomeUnknown>(member.step(1010, ConfirmLeadership{5})).empty());
    std::size_t timed_out_count = 0;
    for (int at = 1050; at <= 1800; at += 50)
        timed_out_count += actions_of<OutcomeUnknown>(member.step(at, Tick{})).size();
    cr_assert_eq(timed_out_count, 1U);
}

namespace {

// Lets the `answering` members reply to every request among the actions, and to the requests that result.
void answer_requests(ReplicaDriver& member, int at, const std::vector<Action>& actions,
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
        if (reply) answer_requests(member, at, member.receive(at, send->to, *reply), answering);
    }
}

} // namespace

// Guards against keeping a lost witness because a replaced connection delivers its old replies late.
Test(primary, late_duplicates_of_replies_do_not_keep_a_lost_witness) {
    ReplicaDriver member = primary();
    const Epoch first_epoch = member.replica.witness_register().decided.epoch;
    answer_requests(member, 1000, member.step(1000, PeerConnected{"d:1"}), {"d:1"});
    member.step(1100, PeerDisconnected{"b:1"});
    for (int at = 1150; at <= 5500; at += 50) {
        answer_requests(member, at, member.step(at, Tick{}), {"c:1", "d:1"});
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

Test(primary, it_confirms_its_leadership_to_a_member_that_no_record_names) {
    ReplicaDriver member = primary();
    member.step(1050, PeerConnected{"d:1"});
    const std::vector<Action> actions = member.receive(1050, "d:1", RecoveryRequest{77});
    const auto at_once = messages_of<RecoveryReply>(actions);
    cr_assert_eq(at_once.size(), 1U);
    cr_assert_not(at_once[0].leadership_confirmed, "nobody has confirmed it yet");

    cr_assert_eq(messages_of<Heartbeat>(member.receive(1060, "d:1", RecoveryRequest{77})).size(), 0U,
                 "a repeated request begins no further round");
    const std::uint64_t round = messages_of<Heartbeat>(actions).at(0).number;
    const Epoch epoch = member.replica.witness_register().decided.epoch;
    const auto reply_to = [&](std::uint64_t number) {
        return HeartbeatReply{number, epoch, epoch, {}, true, true, false, 1070};
    };
    cr_assert_eq(messages_of<RecoveryReply>(member.receive(1070, "b:1", reply_to(round - 1))).size(), 0U);
    const auto confirmed = messages_of<RecoveryReply>(member.receive(1080, "b:1", reply_to(round)));
    cr_assert_eq(confirmed.size(), 1U);
    cr_assert(confirmed[0].leadership_confirmed);
    cr_assert_eq(confirmed[0].nonce, 77U);
    cr_assert_eq(confirmed[0].witness_register.decided.epoch, epoch);
}

Test(primary, it_confirms_nothing_to_a_witness_or_once_it_was_superseded) {
    ReplicaDriver member = primary();
    const std::uint64_t round = messages_of<Heartbeat>(member.step(1300, Tick{})).at(0).number;
    const Epoch epoch = member.replica.witness_register().decided.epoch;
    const HeartbeatReply current{round + 1, epoch, epoch, {}, true, true, false, 1310};
    member.receive(1310, "b:1", RecoveryRequest{77});
    cr_assert_eq(messages_of<RecoveryReply>(member.receive(1310, "c:1", current)).size(), 0U);

    member.step(1320, PeerConnected{"d:1"});
    member.receive(1320, "d:1", RecoveryRequest{78});
    HeartbeatReply of_a_later_epoch{round + 3, epoch, epoch + 1, {}, true, true, false, 1330};
    cr_assert_eq(messages_of<RecoveryReply>(member.receive(1330, "b:1", of_a_later_epoch)).size(), 0U);
    cr_assert_not(member.replica.is_primary());
    cr_assert_eq(messages_of<RecoveryReply>(member.receive(1340, "c:1", current)).size(), 0U);
}
