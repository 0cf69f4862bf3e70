#include "system/data/data_plane.h"

#include "common/identity/random_identity.h"

#include "system/discovery/codec.h"
#include "system/distribution/held_state.h"
#include "system/distribution/push_messages.h"
#include "system/logging/log.h"
#include "system/membership/codec.h"

#include <fmt/format.h>

#include <utility>

namespace willowrill::data {
namespace {

using namespace std::chrono_literals;
using membership::Phase;
using nlohmann::json;

constexpr auto tick_period = 50ms;
constexpr auto sweep_period = 1s; // between looks for idle connections and old counts
// A start does not wait longer for first load reports.
constexpr auto max_load_report_wait = 150ms;
// Shares of budgets grow only after so long.
constexpr auto schedulers_remembered = 30s;
// Clients keep an address for up to three times as long as the directory says.
constexpr auto client_redirect_timeout = 3300ms;
// Between the end of accepting and the end of the process, at least.
constexpr auto drain_margin = 200ms;
// The process ends this long before the platform ends it.
constexpr auto grace_margin = 700ms;
// How late the platform's list may tell that a worker turned cold.
constexpr routing::Time cold_unknown{1500};
constexpr int load_report_port_offset = 1; // from the first internal port

std::uint16_t load_report_port(const settings::Settings& settings) {
    return static_cast<std::uint16_t>(settings.first_internal_port + load_report_port_offset);
}

} // namespace

DataPlane::DataPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                     std::uint16_t metrics_port)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      context_(loop, settings_, identity::random_identity()), incarnation_(identity::random_identity()),
      core_(loop, settings_, core_callbacks()),
      load_reports_(context_, settings_.address, load_report_port(settings_)),
      readiness_(loop, settings_.readiness.host, settings_.readiness.port, {},
                 [this](const http_server::Request& request, const http_server::Respond& respond) {
                     on_readiness(request, respond);
                 }),
      metrics_server_(loop, settings_.address, metrics_port, context_.metrics, [this] { update_gauges(); }),
      timer_(loop), next_sweep_(Clock::now() + sweep_period) {
    core_.start();
    tick();
}

CoreConnection::Callbacks DataPlane::core_callbacks() {
    CoreConnection::Callbacks callbacks;
    callbacks.lease = [this] { return lease(); };
    callbacks.holds = [this] { return active_position(); };
    callbacks.lacks = [this] { return std::exchange(lacks_, {}); };
    callbacks.session_began = [this] { members_.begin_session(); };
    callbacks.on_push = [this](const json& message) { on_push(message); };
    callbacks.seeds = [this] {
        reload_settings(); // the file may have changed without a signal; a core member is looked for rarely
        return settings_.seeds;
    };
    return callbacks;
}

std::optional<replication::Position> DataPlane::active_position() const {
    if (!context_.active_configuration) return std::nullopt;
    return context_.active_configuration->position;
}

void DataPlane::update_gauges() {
    using metrics::Level;
    context_.metrics.set(Level::workers, static_cast<double>(context_.workers.size()));
    context_.metrics.set(Level::members, static_cast<double>(context_.scheduler_names.size()));
}

void DataPlane::on_readiness(const http_server::Request& request, const http_server::Respond& respond) const {
    if (phase_ == Phase::ready) return respond(http_server::json_response(request, 200, R"({"ready":true})"));
    respond(http_server::error_response(request, {errors::ErrorKind::not_ready, "starting or leaving"}));
}

membership::Lease DataPlane::lease() const {
    membership::Lease out;
    out.node = settings_.node_name;
    out.incarnation = incarnation_;
    out.zone = settings_.zone;
    out.region = settings_.region;
    out.client_address = settings::to_text(settings_.front);
    out.peer_address = fmt::format("{}:{}", settings_.address, load_report_port(settings_));
    out.phase = phase_;
    return out;
}

void DataPlane::change_phase(Phase next) {
    if (phase_ == next) return;
    phase_ = next;
    logging::info("phase").field("node", settings_.node_name).field("phase", json(next).get<std::string>());
    core_.renew_now();
}

void DataPlane::reload_settings() {
    if (auto again = settings::load(settings_path_)) settings_.seeds = again.value().seeds;
}

bool DataPlane::knows_enough() const {
    if (!context_.active_configuration || !workers_known_since_) return false;
    return load_reports_.has_readings() || Clock::now() - *workers_known_since_ >= max_load_report_wait;
}

void DataPlane::tick() {
    const Clock::time_point now = Clock::now();
    if (phase_ == Phase::starting && knows_enough()) start_serving();
    if (now >= next_sweep_) sweep(now);
    if (phase_ == Phase::leaving) {
        const Clock::duration leaving_for = now - shutdown_began_;
        if (leaving_for >= client_redirect_timeout) client_listener_->stop_accepting();
        if (may_end(leaving_for)) return end();
    }
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

void DataPlane::start_serving() {
    client_listener_.emplace(context_, settings_.front.host, settings_.front.port);
    change_phase(Phase::ready);
}

void DataPlane::sweep(Clock::time_point now) {
    next_sweep_ = now + sweep_period;
    context_.pool.sweep();
    context_.cold.sweep(steady_now());
}

// Nobody is served any more and nobody comes, or the platform would end the process.
bool DataPlane::may_end(Clock::duration leaving_for) const {
    const bool idle = client_listener_->active_requests() == 0;
    if (idle && leaving_for >= client_redirect_timeout + drain_margin) return true;
    return leaving_for >= settings_.timers.grace - grace_margin;
}

void DataPlane::end() {
    log_counters();
    loop_.stop();
}

void DataPlane::leave() {
    if (phase_ == Phase::leaving) return;
    shutdown_began_ = Clock::now();
    context_.shutting_down = true;
    if (!client_listener_) return loop_.stop(); // no client was accepted yet
    change_phase(Phase::leaving);
}

void DataPlane::on_push(const json& message) {
    const auto type = message.at("type").get<std::string>();
    if (type == "state" || type == "state-change") return on_state(message);
    if (type == "members" || type == "members-change") return on_members(message);
    if (type == "zone") return on_zone(message.at("list").get<discovery::ZoneList>());
}

void DataPlane::ask_whole(const char* what) {
    lacks_.insert(what);
    core_.renew_now();
}

void DataPlane::on_state(const json& message) {
    const ActiveConfiguration* held = context_.active_configuration.get();
    auto push = distribution::read_state_push(message, held == nullptr ? nullptr : &held->position,
                                              held == nullptr ? nullptr : &held->configuration);
    if (!push) {
        fmt::print(stderr, "level=error event=configuration-unreadable detail=\"{}\"\n", push.error().detail);
        if (message.at("type") == "state-change") ask_whole(distribution::lacks_state);
        return;
    }
    if (std::holds_alternative<distribution::LacksBase>(push.value()))
        return ask_whole(distribution::lacks_state);
    auto* next = std::get_if<distribution::HeldState>(&push.value());
    if (next == nullptr) return;
    if (context_.active_configuration) assume_cold(context_.active_configuration->evacuated, next->evacuated);
    context_.active_configuration = std::make_shared<const ActiveConfiguration>(
        next->position, std::move(next->configuration), std::move(next->evacuated));
    fmt::print(stderr, "level=info event=configuration node={} version={} evacuated={} change={}\n",
               settings_.node_name, context_.active_configuration->configuration.version,
               context_.active_configuration->evacuated.size(), message.at("type") == "state-change");
}

// Workers of a zone that is taken back may have turned cold a moment ago, before the platform's list says so.
void DataPlane::assume_cold(const std::set<std::string>& before, const std::set<std::string>& after) {
    for (auto& [id, worker] : context_.workers) {
        const std::string& zone = worker.instance.zone;
        if (!before.contains(zone) || after.contains(zone)) continue;
        const configuration::Service* service =
            context_.active_configuration->configuration.find_service(worker.instance.service);
        if (service == nullptr || service->cold_rate_per_s <= 0) continue;
        worker.extend_warming(steady_now() + service->cold_start + cold_unknown);
    }
}

void DataPlane::on_members(const json& message) {
    if (!members_.take(message)) return ask_whole(distribution::lacks_members);
    const auto members = members_.members();
    const Clock::time_point now = Clock::now();
    context_.scheduler_names.clear();
    for (const membership::Lease& member : members)
        context_.scheduler_names.insert(member.node);
    if (members.size() >= most_schedulers_ || now - most_since_ > schedulers_remembered) {
        most_schedulers_ = members.size();
        most_since_ = now;
    }
    context_.schedulers = std::max<std::size_t>(1, most_schedulers_);
    load_reports_.on_members(members);
}

void DataPlane::on_zone(const discovery::ZoneList& list) {
    if (!catalogue_.take(list)) return;
    const routing::Time now = steady_now();
    std::set<std::string> listed;
    for (const discovery::Instance& instance : list.instances) {
        listed.insert(instance.id);
        routing::Worker& worker = context_.workers[instance.id];
        worker.instance = instance;
        if (instance.cold_remaining.count() > 0) worker.extend_warming(now + instance.cold_remaining);
    }
    std::erase_if(context_.workers, [&](const auto& item) {
        return item.second.instance.zone == list.zone && !listed.contains(item.first);
    });
    if (!workers_known_since_ && !context_.workers.empty()) workers_known_since_ = Clock::now();
}

void DataPlane::log_counters() const {
    const Counters& counters = context_.counters;
    logging::info("counters")
        .field("node", settings_.node_name)
        .field("requests", counters.requests)
        .field("served", counters.served)
        .field("refused", counters.refused)
        .field("failed", counters.failed)
        .field("bad", counters.bad)
        .field("client_left", counters.client_left)
        .field("attempts", counters.attempts)
        .field("not_executed", counters.not_executed)
        .field("broken", counters.broken)
        .field("unreachable", counters.unreachable)
        .field("opened", context_.pool.opened())
        .field("probes", load_reports_.probes());
}

} // namespace willowrill::data
