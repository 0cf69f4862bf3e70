// The replica as a witness, which votes on epochs, and as a backup, which stores the state and follows the
// primary.
#include "system/replication/replica.h"

#include <algorithm>

namespace willowrill::replication {

// ---- Witness ---------------------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const PrepareRequest& request) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, request.epoch);
    const bool possible = can_vote() && request.epoch > register_.promised;
    PrepareReply reply{request.epoch, request.pre_vote, false, shutting_down_, register_, state_.position};
    if (request.pre_vote)
        reply.granted = possible && (!heard_primary_recently() || from == register_.decided.primary);
    if (request.pre_vote || !possible) return send(from, reply);
    WitnessRegister next = register_;
    next.promised = request.epoch;
    save(next);
    reply.granted = true;
    reply.witness_register = register_;
    if (role_ != Role::backup) step_down(request.epoch, "promised-another");
    // The candidate has its chance before this one starts an election itself.
    backoff_.wait_until(now_ + options_.timing.election_phase);
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
    // Once states of this very epoch have come, its install is over: this one is a late copy.
    const bool late = state_.position.epoch >= request.epoch;
    if (!can_vote() || late || request.epoch != register_.promised)
        return send(from, InstallReply{request.epoch, false, register_.promised});
    if (state_.position != request.state.position) save(request.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(Send{from, InstallReply{request.epoch, true, register_.promised}});
}

// An older state than the one held may come late, on a connection that was replaced meanwhile.
void Replica::on_message(const MemberId& from, const ReplicateRequest& request) {
    const Position& position = request.state.position;
    const bool possible = can_vote() && register_.complete && request.epoch >= register_.promised;
    if (!possible || position < state_.position)
        return send(from, ReplicateReply{request.epoch, position, false, register_.promised});
    if (state_.position != position) save(request.state);
    when_durable(Send{from, ReplicateReply{request.epoch, position, true, register_.promised}});
}

// ---- Following the primary -------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const Heartbeat& heartbeat) {
    const Epoch epoch = heartbeat.record.epoch;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, epoch);
    if (has_register_ && epoch >= register_.promised && from == heartbeat.record.primary) follow(heartbeat);
    send(from, heartbeat_reply(heartbeat.number, epoch));
}

void Replica::follow(const Heartbeat& heartbeat) {
    const Epoch epoch = heartbeat.record.epoch;
    const bool stood_by = role_ == Role::backup || role_ == Role::storage_failed;
    if (!stood_by && epoch >= election_.epoch()) step_down(epoch, "another-is-primary");
    adopt_decided(heartbeat.record);
    if (role_ == Role::backup || role_ == Role::storage_failed) primary_heard_at_ = now_;
    if (heartbeat.committed == state_.position) commit(state_);
    note_contact(heartbeat);
}

// A record that enough witnesses have stored may be stored anywhere, whatever was promised. Nothing rests on
// its being durable here, so a disk that fails or stalls is not asked.
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

// A message may have lain in a buffer while this process or the sender stood still. Only the echo of a reply
// of our own says how old it can be, by our own clock.
void Replica::note_contact(const Heartbeat& heartbeat) {
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
