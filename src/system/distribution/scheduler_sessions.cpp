#include "system/distribution/scheduler_sessions.h"

#include "system/distribution/state_messages.h"
#include "system/messages/codec.h"

#include <utility>

namespace willowrill::distribution {

using messages::frame_of;

void SchedulerSessions::add_session(SessionId id) {
    if (sessions_.size() >= membership::max_leases) return callbacks_.close(id);
    send_state(id, sessions_[id]);
    if (members_snapshot_) callbacks_.send(id, members_snapshot_);
    for (const auto& [zone, frame] : zones_)
        callbacks_.send(id, frame);
}

void SchedulerSessions::on_message(SessionId id, const messages::SchedulerMessage& message) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    if (const auto* renewal = std::get_if<messages::RenewLease>(&message))
        on_renewal(id, session->second, *renewal);
}

void SchedulerSessions::on_renewal(SessionId id, Session& session, const messages::RenewLease& renewal) {
    session.lease = renewal.lease;
    session.active_position = renewal.active_position;
    answer_resync(id, session, renewal.resync);
    callbacks_.renewed(renewal.lease);
    // A session that began while this member was behind, or between two primaries, has not got the state yet.
    send_state(id, session);
    const bool current = callbacks_.is_current();
    callbacks_.send(id, frame_of(messages::LeaseAck{renewal.lease.renewal, current, callbacks_.core()}));
}

void SchedulerSessions::on_closed(SessionId id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    const auto lease = session->second.lease;
    sessions_.erase(session);
    if (lease) callbacks_.ended(*lease);
}

void SchedulerSessions::answer_resync(SessionId id, Session& session,
                                      const messages::ResyncRequest& resync) const {
    if (resync.members && members_snapshot_) callbacks_.send(id, members_snapshot_);
    if (!resync.state) return;
    session.sent.reset();
    session.needs_snapshot = true;
}

void SchedulerSessions::publish_state(const replication::Position& position,
                                      const configuration::ControlState& state) {
    state_delta_ = nullptr;
    if (state_snapshot_)
        if (const auto delta = make_state_delta(position_, state_, position, state))
            state_delta_ = frame_of(*delta);
    base_ = position_;
    position_ = position;
    state_ = state;
    state_snapshot_ = frame_of(make_state_snapshot(position, state));
    for (auto& [id, session] : sessions_)
        send_state(id, session);
}

// The delta goes to who has its base: what was sent on a session arrives before it, or the session ends.
const Frame& SchedulerSessions::state_frame_for(const Session& session) const {
    const auto& position = session.sent ? session.sent : session.active_position;
    return state_delta_ && !session.needs_snapshot && position == base_ ? state_delta_ : state_snapshot_;
}

void SchedulerSessions::send_state(SessionId id, Session& session) const {
    if (!state_snapshot_ || session.sent == position_) return;
    const bool is_newer = session.active_position && *session.active_position < position_;
    if (!is_newer && !callbacks_.is_current()) return;
    callbacks_.send(id, state_frame_for(session));
    session.sent = position_;
    session.needs_snapshot = false;
}

void SchedulerSessions::publish_members(const std::vector<membership::Lease>& leases) {
    current_members_.clear();
    for (const membership::Lease& lease : leases) {
        membership::Lease& wanted = current_members_[lease.node];
        wanted = lease;
        wanted.renewal = 0; // only the holder's own core member needs it
    }
}

void SchedulerSessions::flush() {
    if (current_members_ == published_members_) return;
    std::vector<membership::Lease> all, changed;
    std::vector<std::string> removed;
    for (const auto& [node, lease] : current_members_) {
        const auto published = published_members_.find(node);
        if (published == published_members_.end() || published->second != lease) changed.push_back(lease);
        all.push_back(lease);
    }
    for (const auto& [node, lease] : published_members_)
        if (!current_members_.contains(node)) removed.push_back(node);
    published_members_ = current_members_;
    const bool is_first = !members_snapshot_;
    ++published_number_;
    members_snapshot_ = frame_of(messages::MembersSnapshot{published_number_, all});
    push(is_first ? members_snapshot_
                  : frame_of(messages::MembersDelta{published_number_, changed, removed}));
}

void SchedulerSessions::publish_zone(const discovery::ZoneList& list) {
    Frame& frame = zones_[list.zone];
    frame = frame_of(messages::CoreUpdate{messages::ZoneListUpdate{list}});
    push(frame);
}

void SchedulerSessions::push(const Frame& frame) const {
    for (const auto& [id, session] : sessions_)
        callbacks_.send(id, frame);
}

} // namespace willowrill::distribution
