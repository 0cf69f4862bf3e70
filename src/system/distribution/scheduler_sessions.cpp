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
    for (const auto& [zone, frame] : zone_frames_)
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
    handle_resync_request(id, session, renewal.resync);
    callbacks_.on_lease_renewed(renewal.lease);
    // A session that started while this member was behind, or while there was no primary, has not received
    // the state yet.
    send_state(id, session);
    const bool current = callbacks_.is_current();
    callbacks_.send(id,
                    frame_of(messages::LeaseAck{renewal.lease.renewal, current, callbacks_.core_members()}));
}

void SchedulerSessions::on_closed(SessionId id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    const auto lease = session->second.lease;
    sessions_.erase(session);
    if (lease) callbacks_.on_lease_ended(*lease);
}

void SchedulerSessions::handle_resync_request(SessionId id, Session& session,
                                              const messages::ResyncRequest& resync) const {
    if (resync.members && members_snapshot_) callbacks_.send(id, members_snapshot_);
    if (!resync.state) return;
    session.last_sent_position.reset();
    session.needs_snapshot = true;
}

void SchedulerSessions::publish_state(const replication::Position& position,
                                      const configuration::ControlState& state) {
    state_delta_ = nullptr;
    if (state_snapshot_)
        if (const auto delta = make_state_delta(state_position_, state_, position, state))
            state_delta_ = frame_of(*delta);
    base_position_ = state_position_;
    state_position_ = position;
    state_ = state;
    state_snapshot_ = frame_of(make_state_snapshot(position, state));
    for (auto& [id, session] : sessions_)
        send_state(id, session);
}

// Returns the delta if the scheduler has its base, else the snapshot. Messages of a session arrive in order
// or the session ends, so a state that was sent counts as received.
const Frame& SchedulerSessions::state_frame_for(const Session& session) const {
    const auto& position = session.last_sent_position ? session.last_sent_position : session.active_position;
    return state_delta_ && !session.needs_snapshot && position == base_position_ ? state_delta_
                                                                                 : state_snapshot_;
}

void SchedulerSessions::send_state(SessionId id, Session& session) const {
    if (!state_snapshot_ || session.last_sent_position == state_position_) return;
    const bool is_newer = session.active_position && *session.active_position < state_position_;
    if (!is_newer && !callbacks_.is_current()) return;
    callbacks_.send(id, state_frame_for(session));
    session.last_sent_position = state_position_;
    session.needs_snapshot = false;
}

void SchedulerSessions::publish_members(const std::vector<membership::Lease>& leases) {
    current_members_.clear();
    for (const membership::Lease& lease : leases) {
        membership::Lease& member_lease = current_members_[lease.node];
        member_lease = lease;
        member_lease.renewal = 0; // only the core member that serves the holder needs it
    }
}

void SchedulerSessions::flush() {
    if (current_members_ == published_members_) return;
    std::vector<membership::Lease> all_leases, changed_leases;
    std::vector<std::string> removed_nodes;
    for (const auto& [node, lease] : current_members_) {
        const auto published = published_members_.find(node);
        if (published == published_members_.end() || published->second != lease)
            changed_leases.push_back(lease);
        all_leases.push_back(lease);
    }
    for (const auto& [node, lease] : published_members_)
        if (!current_members_.contains(node)) removed_nodes.push_back(node);
    published_members_ = current_members_;
    const bool is_first = !members_snapshot_;
    ++members_list_number_;
    members_snapshot_ = frame_of(messages::MembersSnapshot{members_list_number_, all_leases});
    broadcast(is_first
                  ? members_snapshot_
                  : frame_of(messages::MembersDelta{members_list_number_, changed_leases, removed_nodes}));
}

void SchedulerSessions::publish_zone(const discovery::ZoneList& list) {
    Frame& frame = zone_frames_[list.zone];
    frame = frame_of(messages::CoreUpdate{messages::ZoneListUpdate{list}});
    broadcast(frame);
}

void SchedulerSessions::broadcast(const Frame& frame) const {
    for (const auto& [id, session] : sessions_)
        callbacks_.send(id, frame);
}

} // namespace willowrill::distribution
