// What the primary of an epoch does: replicate, confirm that it still is the primary, watch over the members.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {
namespace {

constexpr Time commit_notification_interval{300}; // to a member that lacks the newest state
constexpr Time leadership_transfer_interval{500}; // while this member shuts down

} // namespace

// ---- Beginning and end -----------------------------------------------------------------------------------

void Replica::become_primary() {
    change_role(Role::primary, election_.is_membership_change() ? "membership-changed" : "elected");
    WitnessRegister next = register_;
    next.decided = election_.planned();
    save(next);
    if (!election_.is_membership_change()) primary_since_ = now_;
    reconfigured_at_ = now_;
    primary_heard_at_ = now_;
    for (auto& [id, peer] : peers_) {
        peer.heartbeat = 0;
        // Who stored the record took this member for the primary after it was sent.
        if (election_.accepted_by(id)) peer.heartbeat_sent_at = election_.accept_sent_at();
    }
    finish_inherited_proposal();
    send_heartbeats();
    confirmations_.wait_for(heartbeats_.number());
}

// Every in-sync member of the new epoch holds this state: it is committed.
void Replica::finish_inherited_proposal() {
    commit(state_);
    if (!proposal_) return;
    if (proposal_->position == state_.position)
        actions_->emplace_back(Committed{proposal_->id});
    else
        actions_->emplace_back(OutcomeUnknown{proposal_->id});
    proposal_.reset();
}

void Replica::step_down(Epoch seen, const char* reason) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen);
    abort_client_requests();
    change_role(Role::backup, reason);
    backoff_.wait_until(now_ + options_.timing.election_phase);
}

void Replica::abort_client_requests() {
    if (proposal_) actions_->emplace_back(OutcomeUnknown{proposal_->id});
    proposal_.reset();
    for (const LeadershipConfirmations::Id id : confirmations_.take_all())
        actions_->emplace_back(OutcomeUnknown{id});
}

// Asks the next in-sync member that can to take over, without waiting for the silence.
void Replica::transfer_leadership() {
    leadership_transfer_sent_at_ = now_;
    for (const MemberId& id : register_.decided.in_sync) {
        const Peer* peer = peers_.find(id);
        if (id == options_.self || peer == nullptr || !is_alive(id)) continue;
        if (peer->shutting_down || !peer->voting) continue;
        return send(id, LeadershipTransfer{register_.decided.epoch});
    }
}

// ---- Proposals -------------------------------------------------------------------------------------------

// At the first start the core grows to the size that bears the losses tolerated before it takes anything.
bool Replica::has_grown() const {
    if (register_.decided.witnesses.size() >= full_witness_count()) return true;
    return !is_first_start_ || now_ - started_at_ >= options_.timing.initial_growth;
}

bool Replica::may_propose(const Propose& event) const {
    if (role_ != Role::primary || proposal_ || !can_vote() || !has_grown()) return false;
    const bool fenced = register_.promised != register_.decided.epoch;
    const bool on_newest = event.based_on == committed_.position && state_.position == committed_.position;
    return !fenced && on_newest;
}

void Replica::on(const Propose& event) {
    if (!may_propose(event)) {
        actions_->emplace_back(OutcomeUnknown{event.id});
        return;
    }
    Position next{register_.decided.epoch, 1};
    if (state_.position.epoch == next.epoch) next.sequence = state_.position.sequence + 1;
    save(ReplicatedState{next, std::make_shared<const std::string>(event.content)});
    proposal_ = Proposal{event.id, next, now_, {}};
    for (const MemberId& id : register_.decided.in_sync)
        send(id, ReplicateRequest{next.epoch, state_});
    when_durable(CountOwnCopy{next});
}

void Replica::carry_out(const CountOwnCopy& due) {
    if (role_ != Role::primary || !proposal_ || proposal_->position != due.position) return;
    proposal_->stored_by.insert(options_.self);
    commit_if_stored();
}

// What a broken connection swallowed is sent again.
void Replica::resend_proposal() {
    if (!proposal_ || now_ - proposal_->sent_at < options_.timing.resend) return;
    proposal_->sent_at = now_;
    for (const MemberId& id : register_.decided.in_sync)
        if (!proposal_->stored_by.contains(id)) send(id, ReplicateRequest{proposal_->position.epoch, state_});
}

void Replica::on_message(const MemberId& from, const ReplicateReply& reply) {
    if (role_ != Role::primary || reply.epoch != register_.decided.epoch) return;
    if (!reply.stored) {
        if (reply.promised > reply.epoch) step_down(reply.promised, "fenced");
        return;
    }
    if (!proposal_ || proposal_->position != reply.position) return;
    proposal_->stored_by.insert(from);
    commit_if_stored();
}

void Replica::commit_if_stored() {
    const auto has_stored = [&](const MemberId& id) { return proposal_->stored_by.contains(id); };
    if (!std::ranges::all_of(register_.decided.in_sync, has_stored)) return;
    const std::uint64_t id = proposal_->id;
    proposal_.reset();
    commit(state_);
    actions_->emplace_back(Committed{id});
    send_heartbeats();
}

// ---- Confirmation of leadership --------------------------------------------------------------------------

void Replica::on(const ConfirmLeadership& event) {
    if (role_ != Role::primary || !is_current(now_)) {
        actions_->emplace_back(OutcomeUnknown{event.id});
        return;
    }
    send_heartbeats();
    confirmations_.add(event.id, heartbeats_.number(), now_);
    check_confirmations();
}

void Replica::check_confirmations() {
    const auto answered = [this](std::uint64_t heartbeat) {
        return has_quorum(register_.decided.witnesses, peers_.self_and([heartbeat](const Peer& peer) {
            return peer.heartbeat >= heartbeat;
        }));
    };
    for (const LeadershipConfirmations::Id id : confirmations_.take_answered(answered))
        actions_->emplace_back(LeadershipConfirmed{id});
}

void Replica::expire_confirmations() {
    for (const LeadershipConfirmations::Id id :
         confirmations_.take_expired(now_, options_.timing.confirmation_timeout))
        actions_->emplace_back(OutcomeUnknown{id});
}

// ---- Heartbeats ------------------------------------------------------------------------------------------

void Replica::send_heartbeats() {
    heartbeats_.add(now_);
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send_heartbeat(id);
}

void Replica::send_heartbeat(const MemberId& to) {
    const Peer* peer = peers_.find(to);
    send(to, Heartbeat{.number = heartbeats_.number(),
                       .record = register_.decided,
                       .committed = committed_.position,
                       .in_contact = is_current(now_),
                       .echo = peer == nullptr ? 0 : peer->reply_sent_at});
}

void Replica::on_message(const MemberId& from, const HeartbeatReply& reply) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, reply.promised);
    // A late copy from an epoch that is over says nothing of what its sender is like now.
    if (reply.epoch != register_.decided.epoch) return;
    peers_.on_heartbeat_reply(from, reply, heartbeats_.sent_at(reply.number), now_);
    if (role_ != Role::primary) return;
    if (reply.promised > reply.epoch) return step_down(reply.promised, "fenced");
    Peer& peer = peers_.get(from);
    const bool first = peer.reply_sent_at == 0;
    peer.reply_sent_at = std::max(peer.reply_sent_at, reply.sent_at);
    // One that recovers answers, but its promise is worth nothing yet.
    if (reply.voting) {
        peer.heartbeat = std::max(peer.heartbeat, reply.number);
        peer.heartbeat_sent_at = std::max(peer.heartbeat_sent_at, heartbeats_.sent_at(reply.number));
    }
    peer.newest_committed = reply.newest_committed;
    if (first) send_heartbeat(from); // so that it knows at once how fresh this is
    notify_commit(from);
    check_confirmations();
}

// Gives the newest committed state to a member that lacks it.
void Replica::notify_commit(const MemberId& to) {
    Peer& peer = peers_.get(to);
    if (peer.newest_committed >= committed_.position) return;
    const std::optional<Time> last = peer.commit_notification_sent_at;
    if (last && now_ - *last < commit_notification_interval) return;
    peer.commit_notification_sent_at = now_;
    send(to, CommitNotification{register_.decided.epoch, committed_});
}

// ---- Supervision of the members --------------------------------------------------------------------------

// Looks after the in-sync set and the witnesses; any change of either is a new epoch.
void Replica::supervise() {
    if (lost_leadership()) return;
    const Timing& timing = options_.timing;
    if (now_ - primary_since_ >= timing.min_service) backoff_.reset();
    expire_confirmations();
    resend_proposal();
    if (heartbeats_.is_due(now_, timing.heartbeat)) send_heartbeats();
    const std::optional<Time> transferred = leadership_transfer_sent_at_;
    if (shutting_down_ && (!transferred || now_ - *transferred >= leadership_transfer_interval))
        transfer_leadership();
    if (shutting_down_ || now_ - reconfigured_at_ < timing.member_timeout) return;
    if (membership_should_change()) start_election();
}

// Steps down where this member cannot serve: its disk stalls, or too few witnesses answer.
bool Replica::lost_leadership() {
    const Timing& timing = options_.timing;
    if (!durability_.answers(now_)) {
        transfer_leadership();
        backoff_.back_off(now_);
        step_down(0, "disk-silent");
        return true;
    }
    const Time timeout = timing.quorum_loss_timeout;
    if (now_ - reconfigured_at_ <= timeout || quorum_answered(now_, timeout)) return false;
    if (now_ - primary_since_ < timing.min_service) backoff_.back_off(now_);
    step_down(0, "no-quorum");
    return true;
}

bool Replica::membership_should_change() const {
    if (in_sync_set_should_change()) return true;
    std::set<MemberId> present{options_.self};
    for (const auto& [id, peer] : peers_)
        if (is_steady(id)) present.insert(id);
    return plan_witnesses(present) != register_.decided.witnesses;
}

// A witness could join it, a member of it is lost, or one shuts down and enough others stay.
bool Replica::in_sync_set_should_change() const {
    const EpochRecord& record = register_.decided;
    std::size_t staying = 1;
    for (const auto& [id, peer] : peers_) {
        if (!is_steady(id) || !contains(record.witnesses, id)) continue;
        if (!contains(record.in_sync, id)) return true;
        ++staying;
    }
    return std::ranges::any_of(record.in_sync, [&](const MemberId& id) {
        if (id == options_.self) return false;
        const Peer* peer = peers_.find(id);
        if (peer == nullptr || !is_alive(id) || !peer->voting || !peer->complete) return true;
        return peer->shutting_down && staying >= min_in_sync();
    });
}

} // namespace willowrill::replication
