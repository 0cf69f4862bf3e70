#include "system/distribution/scheduler_hub.h"

#include "system/discovery/codec.h"
#include "system/membership/codec.h"

namespace willowrill::distribution {

using nlohmann::json;
using transport::frame_of;

void SchedulerHub::adopt(SessionId id) {
    if (sessions_.size() >= membership::most_leases) return callbacks_.close(id);
    send_state(id, sessions_[id]);
    if (members_) callbacks_.send(id, members_);
    for (const auto& [zone, frame] : zones_)
        callbacks_.send(id, frame);
}

void SchedulerHub::on_message(SessionId id, const json& message) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end() || message.at("type") != "lease") return;
    const auto lease = message.at("lease").get<membership::Lease>();
    session->second.lease = lease;
    session->second.holds.reset();
    if (!message.at("holds").is_null()) session->second.holds = position_in(message.at("holds"));
    answer_lacks(id, session->second, message);
    callbacks_.renewed(lease);
    // One that came while this member was behind, or between two primaries, is owed the state.
    send_state(id, session->second);
    const bool current = callbacks_.is_current();
    callbacks_.send(id, frame_of({{"type", "beat"},
                                  {"renewal", lease.renewal},
                                  {"current", current},
                                  {"core", callbacks_.core()}}));
}

void SchedulerHub::on_closed(SessionId id) {
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    const auto lease = session->second.lease;
    sessions_.erase(session);
    if (lease) callbacks_.ended(*lease);
}

void SchedulerHub::answer_lacks(SessionId id, Session& session, const json& message) const {
    const json lacks = message.value("lacks", json::array());
    for (const json& what : lacks) {
        if (what == lacks_members && members_) callbacks_.send(id, members_);
        if (what != lacks_state) continue;
        session.sent.reset();
        session.lacks_base = true;
    }
}

void SchedulerHub::publish_state(const replication::Position& position,
                                 const configuration::ControlState& state) {
    state_change_ = nullptr;
    if (whole_state_)
        if (const auto change = state_change_message(position_, state_, position, state))
            state_change_ = frame_of(*change);
    base_ = position_;
    position_ = position;
    state_ = state;
    whole_state_ = frame_of(state_message(position, state));
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
    members_ = frame_of(members_message(members_number_, all));
    push(first ? members_ : frame_of(members_change_message(members_number_, changed, gone)));
}

void SchedulerHub::publish_zone(const discovery::ZoneList& list) {
    Frame& frame = zones_[list.zone];
    frame = frame_of({{"type", "zone"}, {"list", list}});
    push(frame);
}

void SchedulerHub::push(const Frame& frame) const {
    for (const auto& [id, session] : sessions_)
        callbacks_.send(id, frame);
}

} // namespace willowrill::distribution
