// What the primary of an epoch does: replicate, confirm that it still is the primary, watch over the members.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

void Replica::become_primary() {
    change_role(Role::primary, planned_change_ ? "membership-changed" : "elected");
    WitnessRegister next = register_;
    next.decided = planned_;
    save(next);
    if (!planned_change_) primary_since_ = now_;
    reconfigured_at_ = now_;
    primary_heard_at_ = now_;
    heard_primary_since_start_ = true;
    for (auto& [id, peer] : peers_) {
        peer.heartbeat = 0;
        // Who stored the record took this member for the primary after it was sent.
        if (accepted_by_.contains(id)) peer.heartbeat_at = accept_sent_;
    }
    // Every in-sync member holds this state.
    const bool proposed = proposal_ && proposal_->position == state_.position;
    commit(state_);
    if (proposal_) {
        if (proposed)
            actions_->emplace_back(Committed{proposal_->id});
        else
            actions_->emplace_back(OutcomeUnknown{proposal_->id});
        proposal_.reset();
    }
    heartbeat();
    for (auto& [id, waiting] : confirmations_)
        waiting.heartbeat = heartbeat_number_;
}

void Replica::step_down(Epoch seen, const char* reason) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen);
    abort_client_requests();
    change_role(Role::backup, reason);
    no_election_before_ = std::max(no_election_before_, now_ + options_.timing.phase);
}

// Asks the next in-sync member that can to take over, without waiting for the silence.
void Replica::transfer_leadership() {
    leadership_transfer_sent_ = now_;
    for (const MemberId& id : register_.decided.in_sync) {
        const auto peer = peers_.find(id);
        if (id == options_.self || peer == peers_.end() || !is_alive(id)) continue;
        if (peer->second.shutting_down || !peer->second.voting) continue;
        return send(id, LeadershipTransfer{register_.decided.epoch});
    }
}

void Replica::abort_client_requests() {
    if (proposal_) actions_->emplace_back(OutcomeUnknown{proposal_->id});
    proposal_.reset();
    for (const auto& [id, waiting] : confirmations_)
        actions_->emplace_back(OutcomeUnknown{id});
    confirmations_.clear();
}

// At the first start the core grows to the size that bears the losses tolerated before it takes anything.
bool Replica::has_grown() const {
    if (register_.decided.witnesses.size() >= full_witness_count()) return true;
    return !is_first_start_ || now_ - started_at_ >= options_.timing.initial_growth;
}

void Replica::on(const Propose& event) {
    const bool possible = role_ == Role::primary && !proposal_ && can_vote() && has_grown();
    if (!possible || register_.promised != register_.decided.epoch || event.based_on != committed_.position ||
        state_.position != committed_.position) {
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

void Replica::carry_out(const CountOwnCopy& copy) {
    if (role_ != Role::primary || !proposal_ || proposal_->position != copy.position) return;
    proposal_->stored.insert(options_.self);
    check_commit();
}

// What a broken connection swallowed is sent again.
void Replica::resend_proposal() {
    if (!proposal_ || now_ - proposal_->sent < options_.timing.resend) return;
    proposal_->sent = now_;
    for (const MemberId& id : register_.decided.in_sync)
        if (!proposal_->stored.contains(id)) send(id, ReplicateRequest{proposal_->position.epoch, state_});
}

void Replica::on_message(const MemberId& from, const ReplicateReply& reply) {
    if (role_ != Role::primary || reply.epoch != register_.decided.epoch) return;
    if (!reply.stored) {
        if (reply.promised > reply.epoch) step_down(reply.promised, "fenced");
        return;
    }
    if (!proposal_ || proposal_->position != reply.position) return;
    proposal_->stored.insert(from);
    check_commit();
}

void Replica::check_commit() {
    const auto has_stored = [&](const MemberId& id) { return proposal_->stored.contains(id); };
    if (!std::ranges::all_of(register_.decided.in_sync, has_stored)) return;
    const std::uint64_t id = proposal_->id;
    proposal_.reset();
    commit(state_);
    actions_->emplace_back(Committed{id});
    heartbeat();
}

void Replica::on(const ConfirmLeadership& event) {
    if (role_ != Role::primary || !current(now_)) {
        actions_->emplace_back(OutcomeUnknown{event.id});
        return;
    }
    heartbeat();
    confirmations_[event.id] = {heartbeat_number_, now_};
    check_confirmations();
}

void Replica::check_confirmations() {
    std::erase_if(confirmations_, [&](const auto& waiting) {
        std::set<MemberId> answered{options_.self};
        for (const auto& [id, peer] : peers_)
            if (peer.heartbeat >= waiting.second.heartbeat) answered.insert(id);
        if (!has_quorum(register_.decided.witnesses, answered)) return false;
        actions_->emplace_back(LeadershipConfirmed{waiting.first});
        return true;
    });
}

void Replica::expire_confirmations() {
    std::erase_if(confirmations_, [&](const auto& waiting) {
        if (now_ - waiting.second.since <= options_.timing.confirm) return false;
        actions_->emplace_back(OutcomeUnknown{waiting.first});
        return true;
    });
}

void Replica::heartbeat() {
    constexpr std::size_t max_remembered = 256;
    ++heartbeat_number_;
    heartbeat_sent_at_ = now_;
    sent_heartbeats_.emplace_back(heartbeat_number_, now_);
    if (sent_heartbeats_.size() > max_remembered) sent_heartbeats_.pop_front();
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send_heartbeat(id);
}

void Replica::send_heartbeat(const MemberId& to) {
    const auto peer = peers_.find(to);
    const std::int64_t echo = peer == peers_.end() ? 0 : peer->second.reply_sent_at;
    send(to, Heartbeat{heartbeat_number_, register_.decided, committed_.position, current(now_), echo});
}

// When the heartbeat of this number was sent; long ago where that is not remembered.
Time Replica::sent_at(std::uint64_t number) const {
    const auto beat = std::ranges::find(sent_heartbeats_, number, &std::pair<std::uint64_t, Time>::first);
    return beat == sent_heartbeats_.end() ? Time{-1'000'000} : beat->second;
}

void Replica::on_message(const MemberId& from, const HeartbeatReply& reply) {
    Peer& peer = peers_[from];
    if (reply.voting && !peer.voting) peer.steady_since = now_;
    if (reply.voting) peer.voting_at = now_;
    peer.voting = reply.voting;
    peer.complete = reply.complete;
    peer.shutting_down = reply.shutting_down;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, reply.promised);
    if (role_ != Role::primary || reply.epoch != register_.decided.epoch) return;
    if (reply.promised > reply.epoch) return step_down(reply.promised, "fenced");
    const bool first = peer.reply_sent_at == 0;
    peer.reply_sent_at = std::max(peer.reply_sent_at, reply.sent_at);
    // One that recovers answers, but its promise is worth nothing yet.
    if (reply.voting) {
        peer.heartbeat = std::max(peer.heartbeat, reply.number);
        peer.heartbeat_at = std::max(peer.heartbeat_at, sent_at(reply.number));
    }
    peer.holds = reply.holds;
    if (first) send_heartbeat(from); // so that it knows at once how fresh this is
    constexpr Time commit_notification_interval{300};
    if (peer.holds < committed_.position &&
        now_ - peer.commit_notification_sent >= commit_notification_interval) {
        peer.commit_notification_sent = now_;
        send(from, CommitNotification{reply.epoch, committed_});
    }
    check_confirmations();
}

// Looks after the in-sync set and the witnesses; any change of either is a new epoch.
void Replica::supervise_members() {
    const Timing& timing = options_.timing;
    constexpr Time leadership_transfer_interval{500};
    if (!disk_answers()) {
        transfer_leadership();
        back_off_election();
        return step_down(0, "disk-silent");
    }
    if (now_ - reconfigured_at_ > timing.quorum_loss_timeout &&
        !quorum_answered(now_, timing.quorum_loss_timeout)) {
        if (now_ - primary_since_ < timing.min_service) back_off_election();
        return step_down(0, "no-quorum");
    }
    if (now_ - primary_since_ >= timing.min_service) election_backoff_ = Time{0};
    expire_confirmations();
    resend_proposal();
    if (now_ - heartbeat_sent_at_ >= timing.heartbeat) heartbeat();
    if (shutting_down_ && now_ - leadership_transfer_sent_ >= leadership_transfer_interval)
        transfer_leadership();
    if (shutting_down_ || now_ - reconfigured_at_ < timing.member_timeout) return;
    if (membership_should_change()) start_election();
}

bool Replica::membership_should_change() const {
    const EpochRecord& record = register_.decided;
    std::vector<MemberId> present{options_.self};
    std::size_t staying = 1;
    for (const auto& [id, peer] : peers_) {
        if (!is_steady(id)) continue;
        present.push_back(id);
        const bool witness = std::ranges::count(record.witnesses, id) > 0;
        if (witness && std::ranges::count(record.in_sync, id) == 0) return true;
        staying += witness ? 1 : 0;
    }
    for (const MemberId& id : record.in_sync) {
        if (id == options_.self) continue;
        const auto peer = peers_.find(id);
        if (peer == peers_.end() || !is_alive(id) || !peer->second.voting || !peer->second.complete)
            return true;
        if (peer->second.shutting_down && staying >= min_in_sync()) return true;
    }
    return next_witnesses(present) != record.witnesses;
}

} // namespace willowrill::replication
