#include "control/scheduler_hub.h"

#include "discovery/codec.h"
#include "membership/codec.h"

namespace willowrill::control {

using nlohmann::json;
using transport::FrameConnection;

void SchedulerHub::adopt(const transport::FrameConnectionPtr& connection) {
    if (sessions_.size() >= membership::most_leases) return connection->close();
    send_state(connection, sessions_[connection]);
    if (members_) connection->send_frame(members_);
    for (const auto& [zone, frame] : zones_)
        connection->send_frame(frame);
}

void SchedulerHub::on_message(const transport::FrameConnectionPtr& connection, const json& message) {
    const auto session = sessions_.find(connection);
    if (session == sessions_.end() || message.at("type") != "lease") return;
    const auto lease = message.at("lease").get<membership::Lease>();
    session->second.lease = lease;
    callbacks_.renewed(lease);
    // One that came while this member was behind, or between two primaries, is owed the state.
    send_state(connection, session->second);
    const bool current = callbacks_.is_current();
    connection->send(
        {{"type", "beat"}, {"renewal", lease.renewal}, {"current", current}, {"core", callbacks_.core()}});
}

void SchedulerHub::on_closed(const transport::FrameConnectionPtr& connection) {
    const auto session = sessions_.find(connection);
    if (session == sessions_.end()) return;
    const auto lease = session->second.lease;
    sessions_.erase(session);
    if (lease) callbacks_.ended(*lease);
}

void SchedulerHub::publish_state(const replication::Position& position,
                                 const configuration::ControlState& state) {
    state_ = FrameConnection::frame_of({{"type", "state"},
                                        {"epoch", position.epoch},
                                        {"sequence", position.sequence},
                                        {"version", state.version},
                                        {"configuration", state.configuration},
                                        {"evacuated", state.evacuated_zones}});
    for (auto& [connection, session] : sessions_) {
        session.state = state_;
        connection->send_frame(state_);
    }
}

void SchedulerHub::send_state(const transport::FrameConnectionPtr& connection, Session& session) {
    if (!state_ || session.state == state_ || !callbacks_.is_current()) return;
    session.state = state_;
    connection->send_frame(state_);
}

void SchedulerHub::publish_members(const std::vector<membership::Lease>& leases) {
    json list = leases;
    for (json& lease : list)
        lease["renewal"] = 0; // only the holder's own core member needs it
    members_ = FrameConnection::frame_of({{"type", "members"}, {"members", std::move(list)}});
    push(members_);
}

void SchedulerHub::publish_zone(const discovery::ZoneList& list) {
    Frame& frame = zones_[list.zone];
    frame = FrameConnection::frame_of({{"type", "zone"}, {"list", list}});
    push(frame);
}

void SchedulerHub::push(const Frame& frame) {
    for (const auto& [connection, session] : sessions_)
        connection->send_frame(frame);
}

} // namespace willowrill::control
