// One process of the control plane: connects the core member, the operator API, leases, endpoint lists and
// the directory to sockets and timers. The replica store has its own thread; everything else runs on the
// event loop's thread.
#pragma once

#include "system/budget/input_memory.h"
#include "system/control/connection_acceptor.h"
#include "system/control/core_mesh.h"
#include "system/control/core_node.h"
#include "system/control/directory_service.h"
#include "system/control/endpoint_list_service.h"
#include "system/control/lease_replicator.h"
#include "system/control/operator_api.h"
#include "system/distribution/scheduler_sessions.h"
#include "system/http_server/server.h"
#include "system/metrics/metrics_server.h"
#include "system/settings/settings.h"
#include "system/transport/frame_connection.h"
#include "system/transport/frame_listener.h"
#include "system/transport/tick_schedule.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace willowrill::control {

// Where a process of the control plane listens, but for its metrics. Throws where an address is malformed.
std::vector<Tcp::endpoint> addresses_of(const settings::Settings& settings);

class ControlPlane : private ConnectionAcceptor::Handler {
  public:
    // `settings_path`: file that `reload_settings` reads the seeds from.
    // `metrics_port`: 0 disables the metrics endpoint.
    ControlPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                 std::uint16_t metrics_port = 0);

    // Starts a graceful shutdown: hands over the primary role and stops the event loop once the other members
    // no longer depend on this one, or shortly before the platform's grace period ends.
    void leave();
    // Re-reads the settings file and connects to its seeds. An unreadable file is logged and ignored.
    void reload_settings();

  private:
    using Clock = std::chrono::steady_clock;

    void tick();
    void assign_zones();
    void announce_peers();
    void exit_if_possible();
    void discover_peers();
    std::vector<MemberId> reachable_member_ids() const;
    std::vector<messages::CoreMember> reachable_members() const;

    // ConnectionAcceptor::Handler
    bool on_core_member(const messages::CoreMember& member) override;
    void on_core_message(const MemberId& from, const messages::CoreMessage& message) override;
    distribution::SessionId on_scheduler(const transport::FrameConnectionPtr& connection) override;
    void on_scheduler_message(distribution::SessionId id, const messages::SchedulerMessage& message) override;
    void on_scheduler_closed(distribution::SessionId id) override;
    protocol::Greeting greeting() const override {
        return protocol::own_greeting(cluster_version_, protocol::supported_features());
    }
    void on_refused(ConnectionAcceptor::PeerKind peer) override;
    void on_unknown_message(ConnectionAcceptor::PeerKind peer) override;
    void on_unknown_fields(ConnectionAcceptor::PeerKind peer, std::size_t count) override;
    void on_missing_state_base(const MemberId& from) override;

    void on(const MemberId& from, const messages::UnknownMessage&) const;
    void on(const MemberId& from, const messages::ReplicationEnvelope& envelope);
    void on(const MemberId& from, const messages::ReplicationDelta& delta) const;
    void on(const MemberId& from, const messages::StateSnapshotRequest&);
    void on(const MemberId& from, const messages::CorePeers& peers);
    void on(const MemberId& from, const messages::LeasesMessage& message);
    void on(const MemberId& from, const messages::EndpointListMessage& message);
    void raise_cluster_version(protocol::Version version);
    UpgradeStatus upgrade_status() const;
    void on_peer_connected(const MemberId& member);
    void on_state(const replication::Position& position, const configuration::ControlState& state);
    CoreMesh::Callbacks mesh_callbacks();
    distribution::SchedulerSessions::Callbacks session_callbacks();

    std::function<void(std::size_t)> traffic_counter(const char* kind, metrics::Crossing crossing);
    void refresh_gauges();

    asio::io_context& loop_;
    metrics::Metrics metrics_;
    settings::Settings settings_;
    std::string settings_path_;
    MemberId self_;
    budget::InputMemory input_memory_; // of all that comes in to this process
    // The highest cluster version seen since the process started; never decreases.
    protocol::Version cluster_version_ = protocol::initial_cluster_version;
    CoreNode node_;
    CoreMesh mesh_;
    distribution::SchedulerSessions sessions_;
    std::map<MemberId, messages::CoreMember> member_locations_; // as announced by the members
    std::map<distribution::SessionId, transport::FrameConnectionPtr> scheduler_connections_;
    distribution::SessionId last_session_ = 0;
    LeaseReplicator leases_;
    std::vector<MemberId> announced_peers_;
    EndpointListService endpoint_lists_;
    SteadyTimer timer_;
    transport::TickSchedule schedule_;
    std::optional<Clock::time_point> shutdown_began_;
    ConnectionAcceptor acceptor_;
    OperatorApi operator_api_;
    http_server::Server control_server_;
    std::optional<DirectoryService> directory_; // empty if the settings give no directory port
    metrics::MetricsServer metrics_server_;
};

} // namespace willowrill::control
