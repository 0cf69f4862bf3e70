// What the primary of an epoch does: replicate, confirm that it still is the primary, watch over the members.
#include "replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

void Replica::become_primary() {
    change_role(Role::primary);
    WitnessRegister next = register_;
    next.decided = planned_;
    save_register(next);
    reconfigured_ = now_;
    primary_heard_ = now_;
    heard_in_this_life_ = true;
    for (auto& [id, peer] : peers_) {
        peer.heartbeat = 0;
        // Who stored the record has just taken this member for the primary.
        if (accepted_by_.contains(id)) peer.heartbeat_at = now_;
    }
    // Every in-sync member holds this state.
    const bool proposed = proposal_ && proposal_->position == state_.position;
    commit(state_);
    if (proposal_) {
        if (proposed)
            actions_->emplace_back(Committed{proposal_->id});
        else
            actions_->emplace_back(Undecided{proposal_->id});
        proposal_.reset();
    }
    heartbeat();
    for (auto& [id, needed] : confirmations_)
        needed = beat_number_;
}

void Replica::step_down(Epoch seen) {
    highest_seen_ = std::max(highest_seen_, seen);
    drop_orders();
    change_role(Role::backup);
    stand_not_before_ = now_ + options_.timing.phase;
}

void Replica::drop_orders() {
    if (proposal_) actions_->emplace_back(Undecided{proposal_->id});
    proposal_.reset();
    for (const auto& [id, needed] : confirmations_)
        actions_->emplace_back(Undecided{id});
    confirmations_.clear();
}

void Replica::on(const Propose& event) {
    if (role_ != Role::primary || proposal_ || register_.promised != register_.decided.epoch) {
        actions_->emplace_back(Undecided{event.id});
        return;
    }
    Position next{register_.decided.epoch, 1};
    if (state_.position.epoch == next.epoch) next.sequence = state_.position.sequence + 1;
    if (!save_state({next, std::make_shared<const std::string>(event.content)})) {
        actions_->emplace_back(Undecided{event.id});
        return step_down(0);
    }
    proposal_ = Proposal{event.id, next, now_, {options_.self}};
    for (const MemberId& id : register_.decided.in_sync)
        send(id, ReplicateRequest{next.epoch, state_});
    check_commit();
}

void Replica::on_message(const MemberId& from, const ReplicateReply& reply) {
    if (role_ != Role::primary || reply.epoch != register_.decided.epoch) return;
    if (!reply.stored) {
        if (reply.promised > reply.epoch) step_down(reply.promised);
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

void Replica::on(const Confirm& event) {
    if (role_ != Role::primary) {
        actions_->emplace_back(Undecided{event.id});
        return;
    }
    heartbeat();
    confirmations_[event.id] = beat_number_;
    check_confirmations();
}

void Replica::check_confirmations() {
    std::erase_if(confirmations_, [&](const auto& waiting) {
        std::set<MemberId> answered{options_.self};
        for (const auto& [id, peer] : peers_)
            if (peer.heartbeat >= waiting.second) answered.insert(id);
        if (!has_quorum(register_.decided.witnesses, answered)) return false;
        actions_->emplace_back(Confirmed{waiting.first});
        return true;
    });
}

void Replica::heartbeat() {
    ++beat_number_;
    beat_sent_ = now_;
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send(id, Heartbeat{beat_number_, register_.decided, committed_.position});
}

void Replica::on_message(const MemberId& from, const HeartbeatReply& reply) {
    Peer& peer = peers_[from];
    peer.voting = reply.voting;
    peer.intact = reply.intact;
    peer.leaving = reply.leaving;
    highest_seen_ = std::max(highest_seen_, reply.promised);
    if (role_ != Role::primary || reply.epoch != register_.decided.epoch) return;
    if (reply.promised > reply.epoch) return step_down(reply.promised);
    // One that recovers answers, but its promise is worth nothing yet.
    if (reply.voting) {
        peer.heartbeat = std::max(peer.heartbeat, reply.number);
        peer.heartbeat_at = now_;
    }
    peer.holds = reply.holds;
    constexpr Time learn_again{300};
    if (peer.holds < committed_.position && !proposal_ && now_ - peer.learn_sent >= learn_again) {
        peer.learn_sent = now_;
        send(from, Learn{reply.epoch, committed_});
    }
    check_confirmations();
}

// Looks after the in-sync set and the witnesses; any change of either is a new epoch.
void Replica::supervise_members() {
    const Timing& timing = options_.timing;
    if (storage_broken_) return step_down(0);
    if (now_ - reconfigured_ > timing.primary_alone && !current(now_)) {
        std::set<MemberId> answered{options_.self};
        for (const auto& [id, peer] : peers_)
            if (now_ - peer.heartbeat_at <= timing.primary_alone) answered.insert(id);
        if (!has_quorum(register_.decided.witnesses, answered)) return step_down(0);
    }
    if (now_ - beat_sent_ >= timing.heartbeat) heartbeat();
    if (leaving_ || now_ - reconfigured_ < timing.member_silent) return;

    const EpochRecord& record = register_.decided;
    bool change = false;
    std::vector<MemberId> present{options_.self};
    for (const MemberId& id : record.in_sync) {
        const Peer& peer = peers_[id];
        if (id != options_.self)
            change = change || !alive(id) || peer.leaving || !peer.voting || !peer.intact;
    }
    for (const auto& [id, peer] : peers_) {
        if (!steady(id)) continue;
        present.push_back(id);
        const bool witness = std::ranges::count(record.witnesses, id) > 0;
        change = change || (witness && std::ranges::count(record.in_sync, id) == 0);
    }
    change = change || next_witnesses(present) != record.witnesses;
    if (change) stand(false);
}

} // namespace willowrill::replication
