#include "system/data/data_plane.h"

#include "common/identity/random_identity.h"
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
// So long before the platform ends the process, what is still under way is given up, and answered so.
constexpr auto give_up_margin = 700ms;
// So long before it, the process ends whatever is under way.
constexpr auto grace_margin = 150ms;
// How late the platform's list may tell that a worker turned cold.
constexpr routing::Time cold_unknown{1500};
constexpr int load_report_port_offset = 1; // from the first internal port

std::uint16_t load_report_port(const settings::Settings& settings) {
    return static_cast<std::uint16_t>(settings.first_internal_port + load_report_port_offset);
}

void log_unreadable_configuration(const errors::Error& error) {
    logging::error("configuration-unreadable").text("detail", error.detail);
}

} // namespace

std::vector<Tcp::endpoint> addresses_of(const settings::Settings& settings) {
    return {transport::endpoint_of(settings.front.host, settings.front.port),
            transport::endpoint_of(settings.readiness.host, settings.readiness.port),
            transport::endpoint_of(settings.address, load_report_port(settings))};
}

DataPlane::DataPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                     std::uint16_t metrics_port)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      context_(loop, settings_, identity::random_identity()), incarnation_(identity::random_identity()),
      core_(loop, settings_, context_.input_memory.peers, core_callbacks()),
      load_reports_(context_, settings_.address, load_report_port(settings_)),
      readiness_(loop, settings_.readiness.host, settings_.readiness.port,
                 http_server::options_within(settings_.max_files, context_.input_memory.requests),
                 [this](const http_server::Request& request, const http_server::Respond& respond) {
                     on_readiness(request, respond);
                 }),
      metrics_server_(loop, settings_.address, metrics_port, context_.metrics, [this] { update_gauges(); }),
      timer_(loop), schedule_(tick_period) {
    core_.start();
    tick();
}

CoreConnection::Callbacks DataPlane::core_callbacks() {
    CoreConnection::Callbacks callbacks;
    callbacks.lease = [this] { return lease(); };
    callbacks.active_position = [this] { return active_position(); };
    callbacks.resync = [this] { return std::exchange(resync_, {}); };
    callbacks.session_began = [this] { members_.begin_session(); };
    callbacks.on_update = [this](const messages::CoreUpdate& update) { on_core_update(update); };
    callbacks.refused = [this] { context_.metrics.add(metrics::Total::refused_sessions, "core", "peer"); };
    callbacks.unknown_message = [this] { context_.metrics.add(metrics::Total::skipped_messages, "core"); };
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
    context_.metrics.set(Level::max_version, protocol::supported_versions.max);
    context_.metrics.set(Level::input_bytes, static_cast<double>(context_.input_memory.reserved()));
}

void DataPlane::on_readiness(const http_server::Request& request, const http_server::Respond& respond) const {
    if (const auto& refusal = core_.refusal())
        return respond(
            http_server::error_response(request, {errors::ErrorKind::unsupported_version, *refusal}));
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
    out.versions = protocol::supported_versions;
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
    schedule_.advance();
    const Clock::time_point now = Clock::now();
    if (phase_ == Phase::starting && knows_enough()) start_serving();
    if (schedule_.is_due(sweep_period)) sweep();
    if (phase_ == Phase::leaving) {
        const Clock::duration leaving_for = now - shutdown_began_;
        if (may_end(leaving_for)) return end();
        drain(leaving_for);
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

void DataPlane::sweep() {
    context_.pool.sweep();
    context_.cold.remove_idle_workers(steady_now());
}

// First clients go elsewhere, then whoever has no request under way, and last whoever still has one.
void DataPlane::drain(Clock::duration leaving_for) {
    if (leaving_for < client_redirect_timeout) return;
    client_listener_->stop_accepting();
    client_listener_->close_idle_connections();
    if (leaving_for >= settings_.timers.grace - give_up_margin) client_listener_->give_up_requests();
}

// Nobody is served any more and nobody comes, or the platform would end the process.
bool DataPlane::may_end(Clock::duration leaving_for) const {
    const bool idle = !client_listener_->is_busy();
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

// ---- What the core member sends --------------------------------------------------------------------------

void DataPlane::on_core_update(const messages::CoreUpdate& update) {
    std::visit([this](const auto& one) { on(one); }, update);
}

// Renews at once, so that the core member hears of it.
void DataPlane::request_snapshot(bool messages::ResyncRequest::*what) {
    resync_.*what = true;
    core_.renew_now();
}

std::optional<distribution::ActiveState> DataPlane::active_state() const {
    const ActiveConfiguration* active = context_.active_configuration.get();
    if (active == nullptr) return std::nullopt;
    return distribution::ActiveState{active->position, &active->configuration};
}

void DataPlane::on(const messages::StateSnapshot& snapshot) {
    auto result = distribution::apply(snapshot, active_state());
    if (!result) return log_unreadable_configuration(result.error());
    if (auto* update = std::get_if<distribution::StateUpdate>(&result.value()))
        activate(std::move(*update), false);
}

void DataPlane::on(const messages::StateDelta& delta) {
    auto result = distribution::apply(delta, active_state());
    if (!result) log_unreadable_configuration(result.error());
    if (!result || std::holds_alternative<distribution::MissingBase>(result.value()))
        return request_snapshot(&messages::ResyncRequest::state);
    if (auto* update = std::get_if<distribution::StateUpdate>(&result.value()))
        activate(std::move(*update), true);
}

void DataPlane::activate(distribution::StateUpdate update, bool is_delta) {
    if (context_.active_configuration)
        assume_cold(context_.active_configuration->evacuated, update.evacuated);
    context_.active_configuration = std::make_shared<const ActiveConfiguration>(
        update.position, std::move(update.configuration), std::move(update.evacuated));
    const ActiveConfiguration& active = *context_.active_configuration;
    logging::info("configuration")
        .field("node", settings_.node_name)
        .field("version", active.configuration.version)
        .field("evacuated", active.evacuated.size())
        .field("change", is_delta)
        .field("state", replication::to_text(active.position))
        .field("zones", fmt::format("{}", fmt::join(active.evacuated, ",")));
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

void DataPlane::on(const messages::MembersSnapshot& snapshot) {
    members_.apply(snapshot);
    on_members_changed();
}

void DataPlane::on(const messages::MembersDelta& delta) {
    if (!members_.apply(delta)) return request_snapshot(&messages::ResyncRequest::members);
    on_members_changed();
}

void DataPlane::on_members_changed() {
    const auto members = members_.members();
    const Clock::time_point now = Clock::now();
    context_.scheduler_names.clear();
    for (const membership::Lease& member : members)
        context_.scheduler_names.insert(member.node);
    if (members.size() >= max_schedulers_ || now - max_since_ > schedulers_remembered) {
        max_schedulers_ = members.size();
        max_since_ = now;
    }
    context_.schedulers = std::max<std::size_t>(1, max_schedulers_);
    load_reports_.on_members(members);
}

void DataPlane::on(const messages::ZoneListUpdate& update) {
    const discovery::ZoneList& list = update.list;
    if (!catalogue_.update(list)) return;
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
        .field("unanswered", client_listener_ ? client_listener_->active_requests() : 0)
        .field("attempts", counters.attempts)
        .field("not_executed", counters.not_executed)
        .field("broken", counters.broken)
        .field("unreachable", counters.unreachable)
        .field("opened", context_.pool.opened())
        .field("probes", load_reports_.probes());
}

} // namespace willowrill::data
