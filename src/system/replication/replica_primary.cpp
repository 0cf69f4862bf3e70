// The primary: replicates proposals, confirms its leadership, and monitors the members.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {
namespace {

constexpr Time commit_notification_interval{300}; // per member that lacks the newest state
constexpr Time leadership_transfer_interval{500}; // repetition while this member shuts down

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
        // A member that accepted the record recognized this primary after the request was sent.
        if (election_.has_accepted(id)) peer.heartbeat_sent_at = election_.accept_sent_at();
    }
    finish_inherited_proposal();
    send_heartbeats();
    confirmations_.wait_for(heartbeats_.newest_number());
}

// Commits the state installed by the election, which every in-sync member of the new epoch holds, and answers
// a proposal that was pending across a membership change.
void Replica::finish_inherited_proposal() {
    commit(state_);
    if (!proposal_) return;
    if (proposal_->position == state_.position)
        actions_->emplace_back(Committed{proposal_->id});
    else
        actions_->emplace_back(OutcomeUnknown{proposal_->id});
    proposal_.reset();
}

void Replica::step_down(Epoch seen_epoch, const char* reason) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen_epoch);
    abort_client_requests();
    change_role(Role::backup, reason);
    backoff_.postpone_until(now_ + options_.timing.election_phase);
}

void Replica::abort_client_requests() {
    if (proposal_) actions_->emplace_back(OutcomeUnknown{proposal_->id});
    proposal_.reset();
    recovery_confirmations_.clear();
    for (const LeadershipConfirmations::Id id : confirmations_.take_all())
        actions_->emplace_back(OutcomeUnknown{id});
}

// Asks the first suitable in-sync member to start an election now, without waiting for the election timeout.
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

// At the first start no proposals are accepted until the core has its full number of witnesses, or until the
// time for initial growth is over.
bool Replica::has_initial_growth_ended() const {
    if (register_.decided.witnesses.size() >= full_witness_count()) return true;
    return !is_first_start_ || now_ - started_at_ >= options_.timing.initial_growth;
}

bool Replica::may_propose(const Propose& event) const {
    if (role_ != Role::primary || proposal_ || !can_vote() || !has_initial_growth_ended()) return false;
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

void Replica::execute(const CountOwnCopy& ready_action) {
    if (role_ != Role::primary || !proposal_ || proposal_->position != ready_action.position) return;
    proposal_->stored_by.insert(options_.self);
    commit_if_stored();
}

// Resends the proposed state to members that have not stored it: a broken connection may have lost the
// request.
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
    confirmations_.add(event.id, heartbeats_.newest_number(), now_);
    check_confirmations();
}

void Replica::check_confirmations() {
    const auto answered = [this](std::uint64_t heartbeat) {
        return has_quorum(register_.decided.witnesses,
                          peers_.self_and_peers_where(
                              [heartbeat](const Peer& peer) { return peer.heartbeat >= heartbeat; }));
    };
    for (const LeadershipConfirmations::Id id : confirmations_.take_answered(answered))
        actions_->emplace_back(LeadershipConfirmed{id});
    const bool is_fenced = register_.promised != register_.decided.epoch;
    for (const auto& [member, nonce] : recovery_confirmations_.take_answered(answered))
        send(member, RecoveryReply{nonce, has_register_, register_, !is_fenced});
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
    send(to, Heartbeat{.number = heartbeats_.newest_number(),
                       .record = register_.decided,
                       .committed = committed_.position,
                       .in_contact = is_current(now_),
                       .echo = peer == nullptr ? 0 : peer->reply_sent_at});
}

void Replica::on_message(const MemberId& from, const HeartbeatReply& reply) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, reply.promised);
    // A late reply from an earlier epoch does not describe the sender's current condition.
    if (reply.epoch != register_.decided.epoch) return;
    peers_.on_heartbeat_reply(from, reply, heartbeats_.sent_at(reply.number), now_);
    if (role_ != Role::primary) return;
    if (reply.promised > reply.epoch) return step_down(reply.promised, "fenced");
    Peer& peer = peers_.get(from);
    const bool is_first_reply = peer.reply_sent_at == 0;
    peer.reply_sent_at = std::max(peer.reply_sent_at, reply.sent_at);
    // A member that is recovering replies too, but does not count towards a quorum.
    if (reply.voting) {
        peer.heartbeat = std::max(peer.heartbeat, reply.number);
        peer.heartbeat_sent_at = std::max(peer.heartbeat_sent_at, heartbeats_.sent_at(reply.number));
    }
    peer.newest_committed = reply.newest_committed;
    if (is_first_reply) send_heartbeat(from); // lets it confirm its contact immediately
    notify_commit(from);
    check_confirmations();
}

// Sends the newest committed state to a member that lacks it, at a limited rate.
void Replica::notify_commit(const MemberId& to) {
    Peer& peer = peers_.get(to);
    if (peer.newest_committed >= committed_.position) return;
    const std::optional<Time> last_sent_at = peer.commit_notification_sent_at;
    if (last_sent_at && now_ - *last_sent_at < commit_notification_interval) return;
    peer.commit_notification_sent_at = now_;
    send(to, CommitNotification{register_.decided.epoch, committed_});
}

// ---- Supervision of the members --------------------------------------------------------------------------

// Periodic work of the primary. A needed change of the in-sync set or the witnesses starts a new epoch.
void Replica::run_primary_tasks() {
    if (step_down_if_unable_to_serve()) return;
    const Timing& timing = options_.timing;
    if (now_ - primary_since_ >= timing.min_service) backoff_.reset();
    expire_confirmations();
    resend_proposal();
    if (heartbeats_.is_due(now_, timing.heartbeat)) send_heartbeats();
    const std::optional<Time> transfer_sent_at = leadership_transfer_sent_at_;
    if (shutting_down_ && (!transfer_sent_at || now_ - *transfer_sent_at >= leadership_transfer_interval))
        transfer_leadership();
    if (shutting_down_ || now_ - reconfigured_at_ < timing.member_timeout) return;
    if (membership_should_change()) start_election();
}

// Steps down and returns true if this member cannot serve: its disk stalls, or no quorum of witnesses
// answers.
bool Replica::step_down_if_unable_to_serve() {
    const Timing& timing = options_.timing;
    if (!durability_.is_responsive(now_)) {
        transfer_leadership();
        backoff_.back_off(now_);
        step_down(0, "disk-silent");
        return true;
    }
    const Time timeout = timing.quorum_loss_timeout;
    if (now_ - reconfigured_at_ <= timeout || has_recent_quorum(now_, timeout)) return false;
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

// True if a witness can join the in-sync set, a member of it is lost, or one shuts down and enough others
// remain.
bool Replica::in_sync_set_should_change() const {
    const EpochRecord& record = register_.decided;
    std::size_t remaining_count = 1;
    for (const auto& [id, peer] : peers_) {
        if (!is_steady(id) || !contains(record.witnesses, id)) continue;
        if (!contains(record.in_sync, id)) return true;
        ++remaining_count;
    }
    return std::ranges::any_of(record.in_sync, [&](const MemberId& id) {
        if (id == options_.self) return false;
        const Peer* peer = peers_.find(id);
        if (peer == nullptr || !is_alive(id) || !peer->voting || !peer->complete) return true;
        return peer->shutting_down && remaining_count >= min_in_sync();
    });
}

} // namespace willowrill::replication
