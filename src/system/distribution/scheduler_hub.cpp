#include "system/distribution/scheduler_hub.h"

#include "system/distribution/state_messages.h"
#include "system/messages/codec.h"

#include <utility>

namespace willowrill::distribution {

using messages::frame_of;

void SchedulerHub::adopt(SessionId id) {
    if (sessions_.size() >= membership::most_leases) return callbacks_.close(id);
    send_state(id, sessions_[id]);
    if (members_) callbacks_.send(id, members_);
    for (const auto& [zone, frame] : zones_)
        callbacks_.send(id, frame);
}

void SchedulerHub::on_message(SessionId id, const messages::SchedulerMessage& message) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    if (const auto* renewal = std::get_if<messages::RenewLease>(&message))
        on_renewal(id, session->second, *renewal);
}

void SchedulerHub::on_renewal(SessionId id, Session& session, const messages::RenewLease& renewal) {
    session.lease = renewal.lease;
    session.holds = renewal.active_position;
    answer_resync(id, session, renewal.resync);
    callbacks_.renewed(renewal.lease);
    // A session that began while this member was behind, or between two primaries, has not got the state yet.
    send_state(id, session);
    const bool current = callbacks_.is_current();
    callbacks_.send(id, frame_of(messages::LeaseAck{renewal.lease.renewal, current, callbacks_.core()}));
}

void SchedulerHub::on_closed(SessionId id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    const auto lease = session->second.lease;
    sessions_.erase(session);
    if (lease) callbacks_.ended(*lease);
}

void SchedulerHub::answer_resync(SessionId id, Session& session,
                                 const messages::ResyncRequest& resync) const {
    if (resync.members && members_) callbacks_.send(id, members_);
    if (!resync.state) return;
    session.sent.reset();
    session.lacks_base = true;
}

void SchedulerHub::publish_state(const replication::Position& position,
                                 const configuration::ControlState& state) {
    state_change_ = nullptr;
    if (whole_state_)
        if (const auto change = make_state_delta(position_, state_, position, state))
            state_change_ = frame_of(*change);
    base_ = position_;
    position_ = position;
    state_ = state;
    whole_state_ = frame_of(make_state_snapshot(position, state));
    for (auto& [id, session] : sessions_)
        send_state(id, session);
}

// The change goes to who holds its base: what went out on a session arrives before it, or the session ends.
const Frame& SchedulerHub::state_frame_for(const Session& session) const {
    const auto& held = session.sent ? session.sent : session.holds;
    return state_change_ && !session.lacks_base && held == base_ ? state_change_ : whole_state_;
}

void SchedulerHub::send_state(SessionId id, Session& session) const {
    if (!whole_state_ || session.sent == position_) return;
    const bool is_newer = session.holds && *session.holds < position_;
    if (!is_newer && !callbacks_.is_current()) return;
    callbacks_.send(id, state_frame_for(session));
    session.sent = position_;
    session.lacks_base = false;
}

void SchedulerHub::publish_members(const std::vector<membership::Lease>& leases) {
    wanted_members_.clear();
    for (const membership::Lease& lease : leases) {
        membership::Lease& wanted = wanted_members_[lease.node];
        wanted = lease;
        wanted.renewal = 0; // only the holder's own core member needs it
    }
}

void SchedulerHub::flush() {
    if (wanted_members_ == told_members_) return;
    std::vector<membership::Lease> all, changed;
    std::vector<std::string> gone;
    for (const auto& [node, lease] : wanted_members_) {
        const auto told = told_members_.find(node);
        if (told == told_members_.end() || told->second != lease) changed.push_back(lease);
        all.push_back(lease);
    }
    for (const auto& [node, lease] : told_members_)
        if (!wanted_members_.contains(node)) gone.push_back(node);
    told_members_ = wanted_members_;
    const bool first = !members_;
    ++members_number_;
    members_ = frame_of(messages::MembersSnapshot{members_number_, all});
    push(first ? members_ : frame_of(messages::MembersDelta{members_number_, changed, gone}));
}

void SchedulerHub::publish_zone(const discovery::ZoneList& list) {
    Frame& frame = zones_[list.zone];
    frame = frame_of(messages::CoreUpdate{messages::ZoneListUpdate{list}});
    push(frame);
}

void SchedulerHub::push(const Frame& frame) const {
    for (const auto& [id, session] : sessions_)
        callbacks_.send(id, frame);
}

} // namespace willowrill::distribution
