#include "control/scheduler_hub.h"

#include "discovery/codec.h"
#include "membership/codec.h"

namespace willowrill::control {

using nlohmann::json;
using transport::FrameConnection;

void SchedulerHub::adopt(const transport::FrameConnectionPtr& connection) {
    if (sessions_.size() >= membership::most_leases) return connection->close();
    sessions_[connection] = std::nullopt;
    if (state_ && callbacks_.is_current()) connection->send_frame(state_);
    if (members_) connection->send_frame(members_);
    for (const auto& [zone, frame] : zones_)
        connection->send_frame(frame);
}

void SchedulerHub::on_message(const transport::FrameConnectionPtr& connection, const json& message) {
    const auto session = sessions_.find(connection);
    if (session == sessions_.end() || message.at("type") != "lease") return;
    const auto lease = message.at("lease").get<membership::Lease>();
    session->second = lease;
    callbacks_.renewed(lease);
    const bool current = callbacks_.is_current();
    // A scheduler that joined while this member was behind gets the state as soon as it is known to be
    // current.
    if (current && state_ && lease.phase == membership::Phase::starting) connection->send_frame(state_);
    connection->send(
        {{"type", "beat"}, {"renewal", lease.renewal}, {"current", current}, {"core", callbacks_.core()}});
}

void SchedulerHub::on_closed(const transport::FrameConnectionPtr& connection) {
    const auto session = sessions_.find(connection);
    if (session == sessions_.end()) return;
    const auto lease = session->second;
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
    push(state_);
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
    for (const auto& [connection, lease] : sessions_)
        connection->send_frame(frame);
}

} // namespace willowrill::control
