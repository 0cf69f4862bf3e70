// One process of the control plane, a member of the core: wires replication, orders, leases, the platform's
// list and the directory to sockets, timers and the disk. Everything runs on the one thread of the loop.
#pragma once

#include "control/core_mesh.h"
#include "control/disk.h"
#include "control/order_queue.h"
#include "control/platform_reader.h"
#include "control/scheduler_hub.h"
#include "discovery/instances.h"
#include "http/server.h"
#include "membership/lease_table.h"
#include "ownership/ownership.h"
#include "replication/replica.h"
#include "settings/settings.h"
#include "transport/frame_connection.h"

#include <deque>
#include <memory>
#include <optional>

namespace willowrill::control {

class ControlPlane {
  public:
    // `settings_path` is read again whenever seeds are needed, as they may change without a signal.
    ControlPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                 std::unique_ptr<Disk> disk);

    // Hands the primary's role on and ends the loop soon after.
    void leave();
    void reload_settings();

  private:
    using Clock = std::chrono::steady_clock;
    struct PublishedZone {
        std::vector<discovery::Instance> instances;
        Clock::time_point at;
    };

    void tick();
    void feed(replication::Event event);
    void carry_out(const replication::Action& action);
    void accept(const transport::FrameConnectionPtr& connection);
    void on_core_message(const MemberId& from, const nlohmann::json& message);
    void on_peer_connected(const MemberId& member);
    void know_members();
    void on_lease_renewed(const membership::Lease& lease);
    void on_lease_ended(const membership::Lease& lease);
    void members_changed();
    void gossip();
    void assign();
    void take_assignments(const nlohmann::json& message);
    void on_own_list(const discovery::ZoneList& list);
    void take_list(const discovery::ZoneList& list);
    void on_state_changed();

    void on_control(const http_server::Request& request, const http_server::Respond& respond);
    void on_order(const http_server::Request& request, const http_server::Respond& respond,
                  configuration::Order order);
    void on_directory(const http_server::Request& request, const http_server::Respond& respond);
    bool redirect(const http_server::Request& request, const http_server::Respond& respond);

    asio::io_context& loop_;
    settings::Settings settings_;
    std::string settings_path_;
    MemberId self_;
    std::unique_ptr<Disk> disk_;
    replication::Replica replica_;
    std::deque<replication::Event> events_;
    bool feeding_ = false;
    replication::Role last_role_ = replication::Role::backup;
    OrderQueue orders_;
    CoreMesh mesh_;
    SchedulerHub hub_;
    membership::LeaseTable leases_;
    std::map<std::string, membership::Lease> held_here_; // leases whose holders renew at this member
    discovery::Catalogue catalogue_;
    std::map<std::string, PublishedZone> published_;
    PlatformReader reader_;
    std::optional<ownership::Assigner> assigner_;
    std::uint64_t assigner_epoch_ = 0;
    std::map<std::string, Clock::time_point> told_;   // when a zone's whole list was last sent to the core
    std::set<transport::FrameConnectionPtr> unnamed_; // accepted, and have not said who they are
    SteadyTimer timer_;
    std::uint64_t ticks_ = 0;
    transport::FrameListener listener_;
    http_server::Server control_server_;
    std::optional<http_server::Server> directory_server_;
};

} // namespace willowrill::control
