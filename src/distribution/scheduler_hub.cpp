#include "distribution/scheduler_hub.h"

#include "discovery/codec.h"
#include "membership/codec.h"

namespace willowrill::distribution {

using nlohmann::json;
using transport::frame_of;

json lease_message(const membership::Lease& lease, const std::optional<replication::Position>& holds) {
    json message{{"type", "lease"}, {"lease", lease}, {"holds", nullptr}};
    if (holds) message["holds"] = {holds->epoch, holds->sequence};
    return message;
}

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
    const json& holds = message.at("holds");
    session->second.holds.reset();
    if (!holds.is_null())
        session->second.holds =
            replication::Position{holds.at(0).get<std::uint64_t>(), holds.at(1).get<std::uint64_t>()};
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

void SchedulerHub::publish_state(const replication::Position& position,
                                 const configuration::ControlState& state) {
    position_ = position;
    state_ = frame_of({{"type", "state"},
                       {"epoch", position.epoch},
                       {"sequence", position.sequence},
                       {"version", state.version},
                       {"configuration", state.configuration},
                       {"evacuated", state.evacuated_zones}});
    for (auto& [id, session] : sessions_)
        send_state(id, session);
}

void SchedulerHub::send_state(SessionId id, Session& session) const {
    if (!state_ || session.state == state_) return;
    const bool is_newer = session.holds && *session.holds < position_;
    if (!is_newer && !callbacks_.is_current()) return;
    session.state = state_;
    callbacks_.send(id, state_);
}

void SchedulerHub::publish_members(const std::vector<membership::Lease>& leases) {
    json list = leases;
    for (json& lease : list)
        lease["renewal"] = 0; // only the holder's own core member needs it
    members_ = frame_of({{"type", "members"}, {"members", std::move(list)}});
    push(members_);
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
