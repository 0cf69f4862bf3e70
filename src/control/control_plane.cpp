#include "control/control_plane.h"

#include "control/directory.h"
#include "discovery/codec.h"
#include "membership/codec.h"
#include "replication/codec.h"

#include <fmt/format.h>

#include <charconv>
#include <random>
#include <utility>

namespace willowrill::control {
namespace {

using errors::Error;
using errors::ErrorKind;
using nlohmann::json;

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::uint64_t ticks_between_dials = 2;
constexpr std::uint64_t ticks_between_gossip = 14;
constexpr std::uint64_t ticks_between_assignments = 5;
constexpr std::chrono::milliseconds lease_duration{2200};
constexpr std::chrono::milliseconds owner_patience{1600};
constexpr std::chrono::milliseconds retell_period{800};
constexpr std::chrono::milliseconds leave_time{900};
constexpr int resolution_ttl_s = 1;

replication::Time steady_now() {
    return std::chrono::duration_cast<replication::Time>(std::chrono::steady_clock::now().time_since_epoch());
}

std::uint64_t draw_seed(const std::string& name) {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device() ^ std::hash<std::string>()(name);
}

replication::Options options_of(const settings::Settings& settings) {
    replication::Options out;
    out.self = settings::to_text(settings.control);
    out.initial_start = settings.initial_start;
    for (const settings::Endpoint& seed : settings.seeds)
        out.seeds.push_back(settings::to_text(seed));
    out.tolerated = settings.tolerated_members;
    out.random_seed = draw_seed(settings.node_name);
    return out;
}

const char* name_of(replication::Role role) {
    using replication::Role;
    switch (role) {
    case Role::recovering:
        return "recovering";
    case Role::backup:
        return "backup";
    case Role::canvassing:
        return "canvassing";
    case Role::collecting:
        return "collecting";
    case Role::fetching:
        return "fetching";
    case Role::installing:
        return "installing";
    case Role::accepting:
        return "accepting";
    case Role::primary:
        return "primary";
    }
    return "unknown";
}

std::string joined(const std::vector<MemberId>& ids) { return fmt::format("{}", fmt::join(ids, ",")); }

std::optional<configuration::Version> version_in(std::string_view text) {
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
    configuration::Version out = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc() || stop != text.data() + text.size()) return std::nullopt;
    return out;
}

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

} // namespace

ControlPlane::ControlPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                           std::unique_ptr<Disk> disk)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      self_(settings::to_text(settings_.control)), disk_(std::move(disk)),
      replica_(options_of(settings_), *disk_),
      orders_([this](replication::Event event) { feed(std::move(event)); }),
      mesh_(loop, self_, settings_.first_internal_port,
            {[this](const MemberId& member) { on_peer_connected(member); },
             [this](const MemberId& member) { feed(replication::PeerLost{member}); }}),
      hub_({[this] { return replica_.current(steady_now()); },
            [this] {
                auto out = mesh_.connected();
                out.push_back(self_);
                return out;
            },
            [this](const membership::Lease& lease) { on_lease_renewed(lease); },
            [this](const membership::Lease& lease) { on_lease_ended(lease); }}),
      leases_(lease_duration),
      reader_(loop, settings_.platform, [this](const discovery::ZoneList& list) { on_own_list(list); }),
      timer_(loop),
      listener_(loop, settings_.address, settings_.first_internal_port,
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }),
      control_server_(loop, settings_.control.host, settings_.control.port, {},
                      [this](const http_server::Request& request, const http_server::Respond& respond) {
                          on_control(request, respond);
                      }) {
    if (settings_.directory.port != 0)
        directory_server_.emplace(
            loop, settings_.directory.host, settings_.directory.port, http_server::Options{},
            [this](const http_server::Request& request, const http_server::Respond& respond) {
                on_directory(request, respond);
            });
    know_members();
    tick();
}

void ControlPlane::know_members() {
    for (const settings::Endpoint& seed : settings_.seeds)
        mesh_.know(settings::to_text(seed));
    const replication::WitnessRegister& known = replica_.witness_register();
    for (const auto* record : {&known.accepted, &known.decided}) {
        for (const MemberId& id : record->witnesses)
            mesh_.know(id);
        for (const MemberId& id : record->in_sync)
            mesh_.know(id);
    }
}

void ControlPlane::reload_settings() {
    auto again = settings::load(settings_path_);
    if (!again) {
        fmt::print(stderr, "level=warning event=settings-unreadable detail=\"{}\"\n", again.error().detail);
        return;
    }
    settings_.seeds = again.value().seeds;
    know_members();
}

void ControlPlane::leave() {
    feed(replication::Leave{});
    auto end = std::make_shared<SteadyTimer>(loop_, leave_time);
    end->async_wait([this, end](ErrorCode) { loop_.stop(); });
}

void ControlPlane::tick() {
    ++ticks_;
    feed(replication::Tick{});
    reader_.tick(Clock::now());
    if (leases_.expire(steady_now())) members_changed();
    if (ticks_ % ticks_between_dials == 0) {
        know_members();
        mesh_.maintain();
    }
    if (ticks_ % ticks_between_gossip == 0) gossip();
    if (ticks_ % ticks_between_assignments == 0) assign();
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

// ---- Replication -----------------------------------------------------------------------------------------

// Events that actions give rise to wait for their turn: the replica is never entered twice.
void ControlPlane::feed(replication::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(feeding_, true)) return;
    while (!events_.empty()) {
        const replication::Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<replication::Action> actions;
        replica_.step(steady_now(), next, actions);
        for (const replication::Action& action : actions)
            carry_out(action);
    }
    feeding_ = false;
    if (const replication::Role role = replica_.role(); role != last_role_) {
        last_role_ = role;
        if (replica_.is_primary()) assign(); // schedulers that start wait for the list
        const replication::EpochRecord& record = replica_.witness_register().decided;
        fmt::print(stderr, "level=info event=role member={} role={} epoch={} in_sync={} witnesses={}\n",
                   self_, name_of(role), record.epoch, joined(record.in_sync), joined(record.witnesses));
    }
}

void ControlPlane::carry_out(const replication::Action& action) {
    if (const auto* send = std::get_if<replication::Send>(&action))
        return mesh_.send(send->to,
                          {{"type", "replication"}, {"message", replication::encode(send->message)}});
    if (const auto* committed = std::get_if<replication::Committed>(&action)) return orders_.on(*committed);
    if (const auto* undecided = std::get_if<replication::Undecided>(&action)) return orders_.on(*undecided);
    if (const auto* confirmed = std::get_if<replication::Confirmed>(&action)) return orders_.on(*confirmed);
    on_state_changed();
}

void ControlPlane::on_state_changed() {
    const replication::ReplicatedState& committed = replica_.committed();
    const auto state = configuration::decode(*committed.content);
    if (!state) {
        fmt::print(stderr, "level=error event=state-unreadable detail=\"{}\"\n", state.error().detail);
        return;
    }
    orders_.on_state(state.value());
    if (state.value().version > 0) hub_.publish_state(committed.position, state.value());
}

// ---- Connections -----------------------------------------------------------------------------------------

void ControlPlane::accept(const transport::FrameConnectionPtr& connection) {
    unnamed_.insert(connection);
    auto member = std::make_shared<std::optional<MemberId>>(); // who it said it is
    auto is_scheduler = std::make_shared<bool>(false);
    const auto on_message = [this, connection = std::weak_ptr(connection), member,
                             is_scheduler](const json& message) {
        const auto self = connection.lock();
        if (!self) return;
        if (*is_scheduler) return hub_.on_message(self, message);
        if (*member) return on_core_message(**member, message);
        unnamed_.erase(self);
        if (message.at("type") != "hello" || message.at("version") != transport::protocol_version)
            return self->close();
        if (message.at("kind") == "core") {
            *member = message.at("id").get<MemberId>();
            mesh_.know(**member);
        } else {
            *is_scheduler = true;
            hub_.adopt(self);
        }
    };
    connection->start(on_message, [this, connection = std::weak_ptr(connection), is_scheduler] {
        const auto self = connection.lock();
        if (!self) return;
        unnamed_.erase(self);
        if (*is_scheduler) hub_.on_closed(self);
    });
}

void ControlPlane::on_peer_connected(const MemberId& member) {
    feed(replication::PeerConnected{member});
    for (const auto& [zone, list] : catalogue_.zones())
        mesh_.send(member, {{"type", "zone"}, {"list", list}});
}

void ControlPlane::on_core_message(const MemberId& from, const json& message) {
    const auto type = message.at("type").get<std::string>();
    if (type == "replication")
        return feed(replication::Received{from, replication::decode_message(message.at("message"))});
    if (type == "zone") return take_list(message.at("list").get<discovery::ZoneList>());
    if (type == "zone-unchanged") {
        const auto token = message.at("token").get<discovery::Token>();
        if (assigner_) assigner_->seen(message.at("zone").get<std::string>(), token, steady_now());
        return;
    }
    if (type == "assign") return take_assignments(message);
    if (type != "gossip") return;
    for (const json& id : message.at("core"))
        mesh_.know(id.get<MemberId>());
    bool changed = false;
    for (const json& lease : message.at("leases"))
        changed |=
            leases_.renew(steady_now(), lease.get<membership::Lease>(), membership::Source::core_member);
    for (const json& over : message.at("ended"))
        changed |= leases_.end(over.at(0).get<std::string>(), over.at(1).get<std::uint64_t>());
    if (changed) members_changed();
}

// ---- Membership ------------------------------------------------------------------------------------------

void ControlPlane::on_lease_renewed(const membership::Lease& lease) {
    const bool changed = leases_.renew(steady_now(), lease, membership::Source::holder);
    held_here_[lease.node] = lease;
    if (!changed) return;
    members_changed();
    mesh_.broadcast(
        {{"type", "gossip"}, {"core", json::array()}, {"leases", {lease}}, {"ended", json::array()}});
}

void ControlPlane::on_lease_ended(const membership::Lease& lease) {
    const auto held = held_here_.find(lease.node);
    if (held == held_here_.end() || held->second.incarnation != lease.incarnation) return;
    // A holder that moved on to another core member has renewed there: only word of its end is held back.
    held_here_.erase(held);
}

void ControlPlane::members_changed() { hub_.publish_members(leases_.leases()); }

void ControlPlane::gossip() {
    json leases = json::array();
    for (const auto& [node, lease] : held_here_)
        leases.push_back(lease);
    mesh_.broadcast({{"type", "gossip"},
                     {"core", mesh_.connected()},
                     {"leases", std::move(leases)},
                     {"ended", json::array()}});
}

// ---- The platform's list ---------------------------------------------------------------------------------

void ControlPlane::assign() {
    if (!replica_.is_primary()) {
        assigner_.reset();
        return;
    }
    const std::uint64_t epoch = replica_.witness_register().decided.epoch;
    if (!assigner_ || assigner_epoch_ != epoch) {
        assigner_.emplace(epoch, owner_patience);
        assigner_epoch_ = epoch;
    }
    std::vector<std::string> zones;
    for (const auto& [zone, region] : settings_.regions)
        zones.push_back(zone);
    auto live = mesh_.connected();
    live.push_back(self_);
    json list = json::array();
    for (const ownership::Assignment& one : assigner_->assign(zones, live, steady_now()))
        list.push_back({{"zone", one.key}, {"owner", one.owner}, {"token", one.token}});
    const json message{{"type", "assign"}, {"assignments", std::move(list)}};
    mesh_.broadcast(message);
    take_assignments(message);
}

void ControlPlane::take_assignments(const json& message) {
    for (const json& one : message.at("assignments")) {
        const auto zone = one.at("zone").get<std::string>();
        const auto token = one.at("token").get<discovery::Token>();
        if (one.at("owner") == self_)
            reader_.own(zone, token);
        else
            reader_.yield(zone, token);
    }
    reader_.tick(Clock::now());
}

void ControlPlane::on_own_list(const discovery::ZoneList& list) {
    const auto held = catalogue_.zones().find(list.zone);
    const bool same = held != catalogue_.zones().end() && held->second.token == list.token &&
                      discovery::same_content(held->second.instances, list.instances, retell_period / 2);
    take_list(list);
    const Clock::time_point now = Clock::now();
    if (same && now - told_[list.zone] < 4 * retell_period) {
        mesh_.broadcast({{"type", "zone-unchanged"}, {"zone", list.zone}, {"token", list.token}});
        return;
    }
    told_[list.zone] = now;
    mesh_.broadcast({{"type", "zone"}, {"list", list}});
}

void ControlPlane::take_list(const discovery::ZoneList& list) {
    if (!catalogue_.take(list)) return;
    if (assigner_) assigner_->seen(list.zone, list.token, steady_now());
    const Clock::time_point now = Clock::now();
    PublishedZone& before = published_[list.zone];
    const auto elapsed = std::chrono::duration_cast<discovery::Milliseconds>(now - before.at);
    const bool first = before.at == Clock::time_point{};
    if (!first && discovery::same_content(before.instances, list.instances, elapsed)) return;
    before = {list.instances, now};
    hub_.publish_zone(list);
}

// ---- The operator's interface ----------------------------------------------------------------------------

bool ControlPlane::redirect(const http_server::Request& request, const http_server::Respond& respond) {
    if (replica_.is_primary()) return false;
    const auto primary = replica_.primary();
    if (!primary || *primary == self_) {
        respond(http_server::error_response(request, {ErrorKind::not_primary, "no primary is known"}));
        return true;
    }
    auto response = http_server::json_response(request, 307, R"({"detail":"another member is the primary"})");
    response.set(http::field::location, fmt::format("http://{}{}", *primary, std::string(request.target())));
    respond(std::move(response));
    return true;
}

void ControlPlane::on_control(const http_server::Request& request, const http_server::Respond& respond) {
    const std::string target(request.target().substr(0, request.target().find('?')));
    constexpr std::string_view evacuation = "/-/evacuation/";
    if (target == "/-/configuration") {
        if (request.method() == http::verb::get) {
            if (redirect(request, respond)) return;
            return orders_.read([request, respond](errors::Result<std::string> text) {
                if (!text) return respond(http_server::error_response(request, text.error()));
                if (text.value().empty())
                    return respond(http_server::error_response(
                        request, {ErrorKind::unknown_resource, "there is no configuration yet"}));
                respond(http_server::json_response(request, 200, std::move(text.value())));
            });
        }
        if (request.method() == http::verb::put) {
            const auto match = request.find(http::field::if_match);
            configuration::PutConfiguration order{std::nullopt, request.body()};
            if (match != request.end())
                order.based_on = version_in({match->value().data(), match->value().size()});
            return on_order(request, respond, std::move(order));
        }
        return respond(
            http_server::error_response(request, {ErrorKind::method_not_allowed, "use GET or PUT"}));
    }
    if (target.starts_with(evacuation)) {
        std::string zone = target.substr(evacuation.size());
        if (!settings_.regions.contains(zone))
            return respond(
                http_server::error_response(request, {ErrorKind::unknown_resource, "no such zone"}));
        if (request.method() == http::verb::post)
            return on_order(request, respond, configuration::Evacuate{std::move(zone)});
        if (request.method() == http::verb::delete_)
            return on_order(request, respond, configuration::EndEvacuation{std::move(zone)});
        return respond(
            http_server::error_response(request, {ErrorKind::method_not_allowed, "use POST or DELETE"}));
    }
    respond(http_server::error_response(request, {ErrorKind::unknown_resource, target}));
}

void ControlPlane::on_order(const http_server::Request& request, const http_server::Respond& respond,
                            configuration::Order order) {
    if (redirect(request, respond)) return;
    orders_.submit(std::move(order), [request, respond](OrderResult result) {
        if (result) return respond(http_server::json_response(request, 200, "{}"));
        fmt::print(stderr, "level=info event=order-refused target={} detail=\"{}\"\n",
                   std::string(request.target()), result.error().detail);
        respond(http_server::error_response(request, result.error()));
    });
}

void ControlPlane::on_directory(const http_server::Request& request, const http_server::Respond& respond) {
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
