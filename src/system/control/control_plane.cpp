#include "system/control/control_plane.h"

#include "common/identity/random_identity.h"

#include "system/control/directory.h"
#include "system/messages/codec.h"

#include <fmt/format.h>

#include <utility>

namespace willowrill::control {
namespace {

using errors::ErrorKind;
using nlohmann::json;

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::uint64_t ticks_between_dials = 2;
constexpr std::uint64_t ticks_between_gossip = 14;
constexpr std::uint64_t gossips_between_cores = 8;
constexpr std::uint64_t ticks_between_assignments = 5;
constexpr std::chrono::milliseconds shortest_leave{900}; // so that schedulers hear of it
constexpr std::chrono::milliseconds grace_margin{
    1000}; // the process ends this long before the platform ends it
constexpr int resolution_ttl_s = 1;
constexpr std::size_t max_unidentified = 256;

std::string query_value(std::string_view target, std::string_view key) {
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos) return {};
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == key)
            return std::string(item.substr(equals + 1));
    }
    return {};
}

std::set<std::string> zones_of(const settings::Settings& settings) {
    std::set<std::string> out;
    for (const auto& [zone, region] : settings.regions)
        out.insert(zone);
    return out;
}

} // namespace

ControlPlane::ControlPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                           std::uint16_t metrics_port)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      self_(settings::to_text(settings_.control)),
      node_(loop, settings_,
            {[this](const MemberId& to, const replication::Message& message) {
                 mesh_.send(to, messages::ReplicationEnvelope{message});
             },
             [this](const replication::Position& position, const configuration::ControlState& state) {
                 on_state(position, state);
             },
             [this] { assign_lists(); }}), // schedulers that start wait for the list
      mesh_(loop, {self_, settings_.zone, settings_.region}, settings_.first_internal_port, mesh_callbacks()),
      sessions_(session_callbacks()),
      leases_(
          identity::random_identity(),
          {[this](const messages::LeasesMessage& message) { mesh_.broadcast(message); },
           [this](const MemberId& to, const messages::LeasesMessage& message) { mesh_.send(to, message); },
           [this](const std::vector<membership::Lease>& leases) { sessions_.publish_members(leases); }}),
      lists_(loop, settings_, metrics_,
             {[this](const messages::EndpointListMessage& message) { mesh_.broadcast(message); },
              [this](const discovery::ZoneList& list) { sessions_.publish_zone(list); }}),
      timer_(loop),
      listener_(loop, settings_.address, settings_.first_internal_port,
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }),
      operator_api_(node_, self_, zones_of(settings_), metrics_),
      control_server_(loop, settings_.control.host, settings_.control.port, {},
                      [this](const http_server::Request& request, const http_server::Respond& respond) {
                          operator_api_.on_request(request, respond);
                      }),
      metrics_server_(loop, settings_.address, metrics_port, metrics_, [this] { refresh_levels(); }) {
    if (settings_.directory.port != 0)
        directory_server_.emplace(
            loop, settings_.directory.host, settings_.directory.port, http_server::Options{},
            [this](const http_server::Request& request, const http_server::Respond& respond) {
                on_directory(request, respond);
            });
    member_locations_[self_] = {self_, settings_.zone, settings_.region};
    discover_peers();
    tick();
}

std::function<void(std::size_t)> ControlPlane::counter(const char* kind, metrics::Crossing crossing) {
    return [this, kind, crossing](std::size_t bytes) {
        metrics_.add(metrics::Total::internal_bytes, kind, metrics::name_of(crossing),
                     static_cast<double>(bytes));
        metrics_.add(metrics::Total::internal_messages, kind, metrics::name_of(crossing));
    };
}

void ControlPlane::refresh_levels() {
    metrics_.set(metrics::Level::sessions, static_cast<double>(sessions_.sessions()));
    metrics_.set(metrics::Level::is_primary, node_.is_primary() ? 1 : 0);
    metrics_.set(metrics::Level::epoch, static_cast<double>(node_.witness_register().decided.epoch));
    metrics_.set(metrics::Level::members, static_cast<double>(leases_.leases().size()));
}

CoreMesh::Callbacks ControlPlane::mesh_callbacks() {
    return {[this](const MemberId& member) { on_peer_connected(member); },
            [this](const MemberId& member) { node_.feed(replication::PeerDisconnected{member}); },
            [this](const MemberId& member) {
                const auto place = member_locations_.find(member);
                const bool known = place != member_locations_.end();
                return counter("core", metrics::crossing(settings_.zone, settings_.region,
                                                         known ? place->second.zone : "",
                                                         known ? place->second.region : ""));
            }};
}

distribution::SchedulerSessions::Callbacks ControlPlane::session_callbacks() {
    using distribution::SessionId;
    return {[this](SessionId id, const transport::Frame& frame) {
                if (const auto found = schedulers_.find(id); found != schedulers_.end())
                    found->second->send_frame(frame);
            },
            [this](SessionId id) {
                if (const auto found = schedulers_.find(id); found != schedulers_.end())
                    found->second->close();
            },
            [this] { return node_.current(); },
            [this] { return reached_members(); },
            [this](const membership::Lease& lease) { leases_.on_renewed(steady_now(), lease); },
            [this](const membership::Lease& lease) { leases_.on_disconnected(lease); }};
}

std::vector<MemberId> ControlPlane::reached() const {
    auto out = mesh_.connected();
    out.push_back(self_);
    return out;
}

std::vector<messages::CoreMember> ControlPlane::reached_members() const {
    std::vector<messages::CoreMember> out;
    for (const MemberId& id : reached()) {
        const auto place = member_locations_.find(id);
        out.push_back(place == member_locations_.end() ? messages::CoreMember{id, "", ""} : place->second);
    }
    return out;
}

void ControlPlane::discover_peers() {
    for (const settings::Endpoint& seed : settings_.seeds)
        mesh_.add_peer(settings::to_text(seed));
    const replication::WitnessRegister& known = node_.witness_register();
    for (const auto* record : {&known.accepted, &known.decided}) {
        for (const MemberId& id : record->witnesses)
            mesh_.add_peer(id);
        for (const MemberId& id : record->in_sync)
            mesh_.add_peer(id);
    }
}

void ControlPlane::reload_settings() {
    auto again = settings::load(settings_path_);
    if (!again) {
        fmt::print(stderr, "level=warning event=settings-unreadable detail=\"{}\"\n", again.error().detail);
        return;
    }
    settings_.seeds = again.value().seeds;
    discover_peers();
}

void ControlPlane::tick() {
    ++ticks_;
    node_.tick();
    lists_.tick();
    leases_.expire(steady_now());
    sessions_.flush();
    if (ticks_ % ticks_between_dials == 0) {
        discover_peers();
        mesh_.maintain();
    }
    if (ticks_ % ticks_between_gossip == 0) {
        leases_.publish();
        announce_peers();
    }
    if (ticks_ % ticks_between_assignments == 0) assign_lists();
    end_if_possible();
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

// Whom this member reaches: at a change, and now and then for those that missed it.
void ControlPlane::announce_peers() {
    auto connected = mesh_.connected();
    const bool due = ticks_ % (ticks_between_gossip * gossips_between_cores) == 0;
    if (connected == announced_peers_ && !due) return;
    mesh_.broadcast(messages::CorePeers{connected});
    announced_peers_ = std::move(connected);
}

void ControlPlane::assign_lists() {
    if (!node_.is_primary()) return lists_.stop_assigning();
    lists_.assign(node_.witness_register().decided.epoch, reached());
}

void ControlPlane::on_state(const replication::Position& position, const configuration::ControlState& state) {
    if (state.version > 0) sessions_.publish_state(position, state);
}

// ---- The end ---------------------------------------------------------------------------------------------

void ControlPlane::leave() {
    if (left_at_) return;
    left_at_ = Clock::now();
    node_.feed(replication::BeginShutdown{});
}

void ControlPlane::end_if_possible() {
    if (!left_at_) return;
    const auto since = Clock::now() - *left_at_;
    const bool done = since >= shortest_leave && node_.may_end();
    if (!done && since < settings_.timers.grace - grace_margin) return;
    fmt::print(stderr, "level=info event=ended member={} others_do_without={}\n", self_, done);
    loop_.stop();
}

// ---- Connections -----------------------------------------------------------------------------------------

void ControlPlane::accept(const transport::FrameConnectionPtr& connection) {
    if (unidentified_.size() >= max_unidentified) return connection->close();
    unidentified_.insert(connection);
    auto member = std::make_shared<std::optional<MemberId>>(); // who it said it is
    auto session = std::make_shared<std::optional<distribution::SessionId>>();
    const auto on_message = [this, connection = std::weak_ptr(connection), member,
                             session](const json& message) {
        const auto self = connection.lock();
        if (!self) return;
        if (*session) return sessions_.on_message(**session, messages::decode_scheduler_message(message));
        if (*member) return on_core_message(**member, messages::decode_core_message(message));
        unidentified_.erase(self);
        const auto hello = messages::decode_hello(message);
        if (!hello) return self->close();
        if (const auto* core = std::get_if<messages::CoreHello>(&*hello)) {
            if (!mesh_.add_peer(core->member.id)) return self->close();
            member_locations_[core->member.id] = core->member; // bounded, as the mesh is
            *member = core->member.id;
        } else {
            *session = ++last_session_;
            adopt_scheduler(self, **session);
        }
    };
    connection->start(on_message, [this, connection = std::weak_ptr(connection), session] {
        if (const auto self = connection.lock()) unidentified_.erase(self);
        if (!*session) return;
        sessions_.on_closed(**session);
        schedulers_.erase(**session);
    });
}

void ControlPlane::adopt_scheduler(const transport::FrameConnectionPtr& connection,
                                   distribution::SessionId id) {
    schedulers_[id] = connection;
    connection->count_into(counter("scheduler", metrics::Crossing::unknown));
    sessions_.adopt(id);
}

void ControlPlane::on_peer_connected(const MemberId& member) {
    node_.feed(replication::PeerConnected{member});
    leases_.on_connected(member);
    for (const messages::ZoneListUpdate& update : lists_.zone_list_updates())
        mesh_.send(member, messages::EndpointListMessage{update});
}

void ControlPlane::on_core_message(const MemberId& from, const messages::CoreMessage& message) {
    std::visit([&](const auto& one) { on(from, one); }, message);
}

void ControlPlane::on(const MemberId& /*from*/, const messages::UnknownMessage&) const {}

void ControlPlane::on(const MemberId& from, const messages::ReplicationEnvelope& envelope) {
    node_.feed(replication::Received{from, envelope.message});
}

void ControlPlane::on(const MemberId& /*from*/, const messages::CorePeers& peers) {
    for (const MemberId& id : peers.members)
        mesh_.add_peer(id);
}

void ControlPlane::on(const MemberId& from, const messages::LeasesMessage& message) {
    leases_.on_message(steady_now(), from, message);
}

void ControlPlane::on(const MemberId& /*from*/, const messages::EndpointListMessage& message) {
    lists_.on_message(message);
}

// ---- The directory ---------------------------------------------------------------------------------------

void ControlPlane::on_directory(const http_server::Request& request,
                                const http_server::Respond& respond) const {
    const std::string target(request.target());
    if (!target.starts_with("/-/resolution"))
        return respond(http_server::error_response(request, {ErrorKind::unknown_resource, target}));
    const auto addresses =
        resolve(leases_.leases(), query_value(target, "region"), query_value(target, "zone"));
    if (addresses.empty())
        return respond(http_server::error_response(request, {ErrorKind::not_ready, "no scheduler is ready"}));
    const json body{{"addresses", addresses}, {"ttlS", resolution_ttl_s}};
    respond(http_server::json_response(request, 200, body.dump()));
}

} // namespace willowrill::control
