// The witness, which votes on epochs, and the backup, which stores the state and follows the primary.
#include "system/replication/replica.h"

#include <algorithm>

namespace willowrill::replication {

// ---- Witness ---------------------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const PrepareRequest& request) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, request.epoch);
    const bool is_eligible = can_vote() && request.epoch > register_.promised;
    PrepareReply reply{request.epoch, request.pre_vote, false, shutting_down_, register_, state_.position};
    if (request.pre_vote)
        reply.granted = is_eligible && (!heard_primary_recently() || from == register_.decided.primary);
    if (request.pre_vote || !is_eligible) return send(from, reply);
    WitnessRegister next = register_;
    next.promised = request.epoch;
    save(next);
    reply.granted = true;
    reply.witness_register = register_;
    if (role_ != Role::backup) step_down(request.epoch, "promised-another");
    // Gives the candidate time to finish before this member starts an election itself.
    backoff_.postpone_until(now_ + options_.timing.election_phase);
    when_durable(Send{from, reply});
}

void Replica::on_message(const MemberId& from, const AcceptRequest& request) {
    const Epoch epoch = request.record.epoch;
    if (!can_vote() || epoch < register_.promised || epoch < register_.accepted.epoch)
        return send(from, AcceptReply{epoch, false, register_.promised});
    WitnessRegister next = register_;
    next.promised = epoch;
    next.accepted = request.record;
    save(next);
    if (role_ != Role::backup && epoch > election_.epoch()) step_down(epoch, "accepted-another");
    when_durable(Send{from, AcceptReply{epoch, true, register_.promised}});
}

// ---- Copy of the state -----------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const FetchRequest& request) {
    if (register_.promised != request.epoch || !register_.complete) return;
    send(from, FetchReply{request.epoch, state_});
}

void Replica::on_message(const MemberId& from, const InstallRequest& request) {
    // A state of the requested epoch has already been replicated, so its install phase is over and this
    // request is a late duplicate.
    const bool is_late_copy = state_.position.epoch >= request.epoch;
    if (!can_vote() || is_late_copy || request.epoch != register_.promised)
        return send(from, InstallReply{request.epoch, false, register_.promised});
    if (state_.position != request.state.position) save(request.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(Send{from, InstallReply{request.epoch, true, register_.promised}});
}

// Rejects states older than the stored one, which may arrive late on a connection that has been replaced.
void Replica::on_message(const MemberId& from, const ReplicateRequest& request) {
    const Position& position = request.state.position;
    const bool is_eligible = can_vote() && register_.complete && request.epoch >= register_.promised;
    if (!is_eligible || position < state_.position)
        return send(from, ReplicateReply{request.epoch, position, false, register_.promised});
    if (state_.position != position) save(request.state);
    when_durable(Send{from, ReplicateReply{request.epoch, position, true, register_.promised}});
}

// ---- Following the primary -------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const Heartbeat& heartbeat) {
    const Epoch epoch = heartbeat.record.epoch;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, epoch);
    if (has_register_ && epoch >= register_.promised && from == heartbeat.record.primary)
        follow_primary(heartbeat);
    send(from, heartbeat_reply(heartbeat.number, epoch));
}

void Replica::follow_primary(const Heartbeat& heartbeat) {
    const Epoch epoch = heartbeat.record.epoch;
    const bool was_following = role_ == Role::backup || role_ == Role::storage_failed;
    if (!was_following && epoch >= election_.epoch()) step_down(epoch, "another-is-primary");
    adopt_decided(heartbeat.record);
    if (role_ == Role::backup || role_ == Role::storage_failed) primary_heard_at_ = now_;
    if (heartbeat.committed == state_.position) commit(state_);
    update_contact_time(heartbeat);
}

// Adopts a record accepted by a quorum of witnesses, which is safe regardless of this member's promises. The
// record need not be durable here, so it is only kept in memory while the disk fails or stalls.
void Replica::adopt_decided(const EpochRecord& record) {
    if (record.epoch <= register_.decided.epoch) return;
    WitnessRegister next = register_;
    next.decided = record;
    if (record.epoch > next.accepted.epoch) next.accepted = record;
    next.promised = std::max(next.promised, record.epoch);
    if (can_vote()) return save(next);
    register_ = next;
    register_unsaved_ = true;
}

// A heartbeat may have been buffered while this process or the sender was suspended. The echoed send time of
// this member's own reply is a lower bound, by its own clock, for when the heartbeat was sent.
void Replica::update_contact_time(const Heartbeat& heartbeat) {
    const Time at{heartbeat.echo};
    if (!heartbeat.in_contact || heartbeat.echo <= 0 || at > now_) return;
    if (committed_.position < heartbeat.committed) return;
    contact_at_ = std::max(contact_at_, std::optional(at));
}

HeartbeatReply Replica::heartbeat_reply(std::uint64_t number, Epoch epoch) const {
    return {.number = number,
            .epoch = epoch,
            .promised = register_.promised,
            .newest_committed = committed_.position,
            .voting = can_vote(),
            .complete = register_.complete,
            .shutting_down = shutting_down_,
            .sent_at = now_.count()};
}

void Replica::on_message(const MemberId& from, const CommitNotification& notification) {
    if (notification.epoch < register_.promised || from != register_.decided.primary) return;
    commit(notification.state);
}

void Replica::on_message(const MemberId& from, const LeadershipTransfer& transfer) {
    if (role_ != Role::backup || !can_vote() || shutting_down_) return;
    if (from == register_.decided.primary && transfer.epoch == register_.decided.epoch) start_election();
}

} // namespace willowrill::replication
