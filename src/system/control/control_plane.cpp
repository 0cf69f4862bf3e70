#include "system/control/control_plane.h"

#include "common/identity/random_identity.h"

#include "system/logging/log.h"

#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds tick_period{50};
// The following periods are multiples of `tick_period`.
constexpr std::chrono::milliseconds dial_period{100};
constexpr std::chrono::milliseconds assignment_period{250};
constexpr std::chrono::milliseconds lease_publish_period{700};
constexpr std::chrono::milliseconds announcement_period = 8 * lease_publish_period;
// Minimum duration of a shutdown, so that schedulers learn of it before the process exits.
constexpr std::chrono::milliseconds min_shutdown_duration{900};
// The process exits this long before the platform's grace period ends, when the platform would kill it.
constexpr std::chrono::milliseconds grace_margin{1000};

const char* label_of(ConnectionAcceptor::PeerKind peer) {
    return peer == ConnectionAcceptor::PeerKind::core_member ? "core" : "scheduler";
}

std::set<std::string> zones_of(const settings::Settings& settings) {
    std::set<std::string> result;
    for (const auto& [zone, region] : settings.regions)
        result.insert(zone);
    return result;
}

} // namespace

std::vector<Tcp::endpoint> addresses_of(const settings::Settings& settings) {
    std::vector<Tcp::endpoint> result{transport::endpoint_of(settings.address, settings.first_internal_port),
                                      transport::endpoint_of(settings.control.host, settings.control.port)};
    if (settings.directory.port != 0)
        result.push_back(transport::endpoint_of(settings.directory.host, settings.directory.port));
    return result;
}

ControlPlane::ControlPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                           std::uint16_t metrics_port)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      self_(settings::to_text(settings_.control)), input_memory_(settings_.memory_mb),
      node_(loop, settings_,
            {[this](const MemberId& to, const replication::Message& message) { mesh_.send(to, message); },
             [this](const replication::Position& position, const configuration::ControlState& state) {
                 on_state(position, state);
             },
             [this] { assign_zones(); }, // starting schedulers wait for the lists
             [this](protocol::Version version) { raise_cluster_version(version); }}),
      mesh_(loop, {self_, settings_.zone, settings_.region}, settings_.first_internal_port,
            input_memory_.peers, mesh_callbacks()),
      sessions_(session_callbacks()),
      leases_(
          identity::random_identity(),
          {[this](const messages::LeasesMessage& message) { mesh_.broadcast(message); },
           [this](const MemberId& to, const messages::LeasesMessage& message) { mesh_.send(to, message); },
           [this](const std::vector<membership::Lease>& leases) { sessions_.publish_members(leases); }}),
      endpoint_lists_(loop, settings_, input_memory_.requests, metrics_,
                      {[this](const messages::EndpointListMessage& message) { mesh_.broadcast(message); },
                       [this](const discovery::ZoneList& list) { sessions_.publish_zone(list); }}),
      timer_(loop), schedule_(tick_period),
      acceptor_(loop, settings_.address, settings_.first_internal_port, input_memory_.peers, *this),
      operator_api_(node_, self_, zones_of(settings_), metrics_, [this] { return upgrade_status(); }),
      control_server_(loop, settings_.control.host, settings_.control.port,
                      http_server::options_within(settings_.max_files, input_memory_.requests),
                      [this](const http_server::Request& request, const http_server::Respond& respond) {
                          operator_api_.on_request(request, respond);
                      }),
      metrics_server_(loop, settings_.address, metrics_port, metrics_, [this] { refresh_gauges(); }) {
    if (settings_.directory.port != 0)
        directory_.emplace(
            loop, settings_.directory, [this] { return leases_.leases(); },
            http_server::options_within(settings_.max_files, input_memory_.requests));
    member_locations_[self_] = {self_, settings_.zone, settings_.region};
    discover_peers();
    tick();
}

std::function<void(std::size_t)> ControlPlane::traffic_counter(const char* kind, metrics::Crossing crossing) {
    return [this, kind, crossing](std::size_t bytes) {
        metrics_.add(metrics::Total::internal_bytes, kind, metrics::name_of(crossing),
                     static_cast<double>(bytes));
        metrics_.add(metrics::Total::internal_messages, kind, metrics::name_of(crossing));
    };
}

void ControlPlane::refresh_gauges() {
    metrics_.set(metrics::Level::sessions, static_cast<double>(sessions_.session_count()));
    metrics_.set(metrics::Level::is_primary, node_.is_primary() ? 1 : 0);
    metrics_.set(metrics::Level::epoch, static_cast<double>(node_.witness_register().decided.epoch));
    metrics_.set(metrics::Level::members, static_cast<double>(leases_.leases().size()));
    metrics_.set(metrics::Level::cluster_version, cluster_version_);
    metrics_.set(metrics::Level::max_version, protocol::supported_versions.max);
    metrics_.set(metrics::Level::input_bytes, static_cast<double>(input_memory_.reserved()));
}

// ---- Protocol versions -----------------------------------------------------------------------------------

void ControlPlane::raise_cluster_version(protocol::Version version) {
    if (version <= cluster_version_) return;
    cluster_version_ = version;
    logging::info("cluster-version").field("member", self_).field("version", version);
    acceptor_.refuse_incompatible_peers();
    mesh_.drop_incompatible_peers();
}

UpgradeStatus ControlPlane::upgrade_status() const {
    auto greetings = mesh_.greetings();
    greetings[self_] = greeting();
    return make_upgrade_status(cluster_version_, node_.witness_register(), greetings, leases_.leases());
}

void ControlPlane::on_refused(ConnectionAcceptor::PeerKind peer) {
    metrics_.add(metrics::Total::refused_sessions, label_of(peer), "self");
}

void ControlPlane::on_unknown_message(ConnectionAcceptor::PeerKind peer) {
    metrics_.add(metrics::Total::skipped_messages, label_of(peer));
}

void ControlPlane::on_unknown_fields(ConnectionAcceptor::PeerKind peer, std::size_t count) {
    metrics_.add(metrics::Total::unknown_fields, label_of(peer), {}, static_cast<double>(count));
}

void ControlPlane::on_missing_state_base(const MemberId& from) {
    metrics_.add(metrics::Total::missing_bases);
    mesh_.send(from, messages::StateSnapshotRequest{});
}

CoreMesh::Callbacks ControlPlane::mesh_callbacks() {
    return {
        [this](const MemberId& member) { on_peer_connected(member); },
        [this](const MemberId& member) { node_.feed(replication::PeerDisconnected{member}); },
        [this](const MemberId& member) {
            const auto location = member_locations_.find(member);
            const bool is_known = location != member_locations_.end();
            return traffic_counter("core", metrics::crossing(settings_.zone, settings_.region,
                                                             is_known ? location->second.zone : "",
                                                             is_known ? location->second.region : ""));
        },
        [this] { return greeting(); },
        [this](const MemberId&) { metrics_.add(metrics::Total::refused_sessions, "core", "peer"); },
        [this] { metrics_.add(metrics::Total::held_back); },
        [this](bool as_delta) { metrics_.add(metrics::Total::states_sent, as_delta ? "delta" : "whole"); }};
}

distribution::SchedulerSessions::Callbacks ControlPlane::session_callbacks() {
    using distribution::SessionId;
    return {[this](SessionId id, const transport::Frame& frame) {
                if (const auto found = scheduler_connections_.find(id); found != scheduler_connections_.end())
                    found->second->send_frame(frame);
            },
            [this](SessionId id) {
                if (const auto found = scheduler_connections_.find(id); found != scheduler_connections_.end())
                    found->second->close();
            },
            [this] { return node_.is_current(); },
            [this] { return reachable_members(); },
            [this](const membership::Lease& lease) { leases_.on_renewed(steady_now(), lease); },
            [this](const membership::Lease& lease) { leases_.on_disconnected(lease); }};
}

std::vector<MemberId> ControlPlane::reachable_member_ids() const {
    auto result = mesh_.connected();
    result.push_back(self_);
    return result;
}

std::vector<messages::CoreMember> ControlPlane::reachable_members() const {
    std::vector<messages::CoreMember> result;
    for (const MemberId& id : reachable_member_ids()) {
        const auto location = member_locations_.find(id);
        result.push_back(location == member_locations_.end() ? messages::CoreMember{id, "", ""}
                                                             : location->second);
    }
    return result;
}

void ControlPlane::discover_peers() {
    for (const settings::Endpoint& seed : settings_.seeds)
        mesh_.add_peer(settings::to_text(seed));
    const replication::WitnessRegister& witness_register = node_.witness_register();
    for (const auto* record : {&witness_register.accepted, &witness_register.decided}) {
        for (const MemberId& id : record->witnesses)
            mesh_.add_peer(id);
        for (const MemberId& id : record->in_sync)
            mesh_.add_peer(id);
    }
}

void ControlPlane::reload_settings() {
    auto reloaded = settings::load(settings_path_);
    if (!reloaded) {
        logging::warning("settings-unreadable").text("detail", reloaded.error().detail);
        return;
    }
    settings_.seeds = reloaded.value().seeds;
    discover_peers();
}

void ControlPlane::tick() {
    schedule_.advance();
    node_.tick();
    endpoint_lists_.tick();
    leases_.expire(steady_now());
    sessions_.flush();
    if (schedule_.is_due(dial_period)) {
        discover_peers();
        mesh_.dial_disconnected_peers();
    }
    if (schedule_.is_due(lease_publish_period)) {
        leases_.publish();
        announce_peers();
    }
    if (schedule_.is_due(assignment_period)) assign_zones();
    exit_if_possible();
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

// Announces the connected members whenever they change, and periodically for members that missed a message.
void ControlPlane::announce_peers() {
    auto connected = mesh_.connected();
    if (connected == announced_peers_ && !schedule_.is_due(announcement_period)) return;
    mesh_.broadcast(messages::CorePeers{connected});
    announced_peers_ = std::move(connected);
}

void ControlPlane::assign_zones() {
    if (!node_.is_primary()) return endpoint_lists_.stop_assigning();
    endpoint_lists_.assign(node_.witness_register().decided.epoch, reachable_member_ids());
}

void ControlPlane::on_state(const replication::Position& position, const configuration::ControlState& state) {
    raise_cluster_version(state.cluster_version);
    if (state.version > 0) sessions_.publish_state(position, state);
}

// ---- Shutdown ---------------------------------------------------------------------------------------------

void ControlPlane::leave() {
    if (shutdown_began_) return;
    shutdown_began_ = Clock::now();
    node_.feed(replication::BeginShutdown{});
}

void ControlPlane::exit_if_possible() {
    if (!shutdown_began_) return;
    const auto elapsed = Clock::now() - *shutdown_began_;
    const bool can_exit = elapsed >= min_shutdown_duration && node_.can_exit();
    if (!can_exit && elapsed < settings_.timers.grace - grace_margin) return;
    logging::info("ended").field("member", self_).field("others_do_without", can_exit);
    loop_.stop();
}

// ---- Connections -----------------------------------------------------------------------------------------

bool ControlPlane::on_core_member(const messages::CoreMember& member) {
    if (!mesh_.add_peer(member.id)) return false;
    member_locations_[member.id] = member; // bounded by the size of the mesh
    return true;
}

distribution::SessionId ControlPlane::on_scheduler(const transport::FrameConnectionPtr& connection) {
    const distribution::SessionId id = ++last_session_;
    scheduler_connections_[id] = connection;
    connection->observe_sent_frames(traffic_counter("scheduler", metrics::Crossing::unknown));
    sessions_.add_session(id);
    return id;
}

void ControlPlane::on_scheduler_message(distribution::SessionId id,
                                        const messages::SchedulerMessage& message) {
    sessions_.on_message(id, message);
}

void ControlPlane::on_scheduler_closed(distribution::SessionId id) {
    sessions_.on_closed(id);
    scheduler_connections_.erase(id);
}

void ControlPlane::on_peer_connected(const MemberId& member) {
    node_.feed(replication::PeerConnected{member});
    leases_.on_connected(member);
    for (const messages::ZoneListUpdate& update : endpoint_lists_.zone_list_updates())
        mesh_.send(member, messages::EndpointListMessage{update});
}

void ControlPlane::on_core_message(const MemberId& from, const messages::CoreMessage& message) {
    std::visit([&](const auto& one) { on(from, one); }, message);
}

void ControlPlane::on(const MemberId& /*from*/, const messages::UnknownMessage&) const {}

void ControlPlane::on(const MemberId& from, const messages::ReplicationEnvelope& envelope) {
    node_.feed(replication::Received{from, envelope.message});
}

// Not reached: the acceptor has already converted every delta into a full envelope.
void ControlPlane::on(const MemberId& /*from*/, const messages::ReplicationDelta&) const {}

void ControlPlane::on(const MemberId& from, const messages::StateSnapshotRequest&) {
    mesh_.on_state_snapshot_request(from);
}

void ControlPlane::on(const MemberId& /*from*/, const messages::CorePeers& peers) {
    for (const MemberId& id : peers.members)
        mesh_.add_peer(id);
}

void ControlPlane::on(const MemberId& from, const messages::LeasesMessage& message) {
    leases_.on_message(steady_now(), from, message);
}

void ControlPlane::on(const MemberId& /*from*/, const messages::EndpointListMessage& message) {
    endpoint_lists_.on_message(message);
}

} // namespace willowrill::control
