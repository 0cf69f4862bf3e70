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
constexpr auto readings_wait = 150ms;       // a start does not wait longer for first readings
constexpr auto schedulers_remembered = 30s; // shares of budgets grow only after so long
constexpr auto clients_move_on = 3300ms; // addresses are kept for up to three times what the directory says
constexpr auto grace_margin = 700ms;     // the process ends this long before the platform ends it
constexpr std::uint64_t ticks_between_sweeps = 20;
constexpr routing::Time cold_unknown{1500}; // how late the platform's list may tell that a worker turned cold

void log_unreadable_configuration(const errors::Error& error) {
    logging::error("configuration-unreadable").text("detail", error.detail);
}

} // namespace

DataPlane::DataPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
                     std::uint16_t metrics_port)
    : loop_(loop), settings_(std::move(settings)), settings_path_(std::move(settings_path)),
      context_(loop, settings_, identity::random_identity()), incarnation_(identity::random_identity()),
      core_(loop, settings_,
            {[this] { return lease(); },
             [this] {
                 return context_.active_configuration ? std::optional(context_.active_configuration->position)
                                                      : std::nullopt;
             },
             [this] { return std::exchange(resync_, {}); }, [this] { members_.begin_session(); },
             [this](const messages::CoreUpdate& update) { on_core_update(update); },
             [this] {
                 // The file may have changed without a signal; read only when a core member is looked for.
                 if (auto again = settings::load(settings_path_)) settings_.seeds = again.value().seeds;
                 return settings_.seeds;
             }}),
      readings_(context_, settings_.address, static_cast<std::uint16_t>(settings_.first_internal_port + 1)),
      readiness_(loop, settings_.readiness.host, settings_.readiness.port, {},
                 [this](const http_server::Request& request, const http_server::Respond& respond) {
                     on_readiness(request, respond);
                 }),
      metrics_server_(loop, settings_.address, metrics_port, context_.metrics,
                      [this] {
                          using metrics::Level;
                          context_.metrics.set(Level::workers, static_cast<double>(context_.workers.size()));
                          context_.metrics.set(Level::members,
                                               static_cast<double>(context_.scheduler_names.size()));
                      }),
      timer_(loop) {
    core_.start();
    tick();
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
    out.peer_address = fmt::format("{}:{}", settings_.address, settings_.first_internal_port + 1);
    out.phase = phase_;
    return out;
}

void DataPlane::change_phase(Phase next) {
    if (phase_ == next) return;
    phase_ = next;
    fmt::print(stderr, "level=info event=phase node={} phase={}\n", settings_.node_name,
               json(next).get<std::string>());
    core_.renew_now();
}

void DataPlane::reload_settings() {
    if (auto again = settings::load(settings_path_)) settings_.seeds = again.value().seeds;
}

bool DataPlane::knows_enough() const {
    if (!context_.active_configuration || !workers_known_since_) return false;
    return readings_.has_readings() || Clock::now() - *workers_known_since_ >= readings_wait;
}

void DataPlane::tick() {
    ++ticks_;
    const Clock::time_point now = Clock::now();
    if (phase_ == Phase::starting && knows_enough()) {
        front_.emplace(context_, settings_.front.host, settings_.front.port);
        change_phase(Phase::ready);
    }
    if (ticks_ % ticks_between_sweeps == 0) {
        context_.pool.sweep();
        context_.cold.sweep(steady_now());
    }
    if (phase_ == Phase::leaving) {
        const auto since = now - left_at_;
        if (since >= clients_move_on && front_) front_->stop_accepting();
        const bool idle = !front_ || front_->under_way() == 0;
        if ((since >= clients_move_on + 200ms && idle) || since >= settings_.timers.grace - grace_margin) {
            log_counters();
            return loop_.stop();
        }
    }
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

void DataPlane::leave() {
    if (phase_ == Phase::leaving) return;
    left_at_ = Clock::now();
    context_.leaving = true;
    if (!front_) return loop_.stop(); // nobody was taken in yet
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
        put_in_force(std::move(*update), false);
}

void DataPlane::on(const messages::StateDelta& delta) {
    auto result = distribution::apply(delta, active_state());
    if (!result) log_unreadable_configuration(result.error());
    if (!result || std::holds_alternative<distribution::MissingBase>(result.value()))
        return request_snapshot(&messages::ResyncRequest::state);
    if (auto* update = std::get_if<distribution::StateUpdate>(&result.value()))
        put_in_force(std::move(*update), true);
}

void DataPlane::put_in_force(distribution::StateUpdate update, bool is_delta) {
    if (context_.active_configuration)
        assume_cold(context_.active_configuration->evacuated, update.evacuated);
    context_.active_configuration = std::make_shared<const ActiveConfiguration>(
        update.position, std::move(update.configuration), std::move(update.evacuated));
    logging::info("configuration")
        .field("node", settings_.node_name)
        .field("version", context_.active_configuration->configuration.version)
        .field("evacuated", context_.active_configuration->evacuated.size())
        .field("change", is_delta);
}

// Workers of a zone that is taken back may have turned cold a moment ago, before the platform's list says so.
void DataPlane::assume_cold(const std::set<std::string>& before, const std::set<std::string>& after) {
    for (auto& [id, worker] : context_.workers) {
        const std::string& zone = worker.instance.zone;
        if (!before.contains(zone) || after.contains(zone)) continue;
        const configuration::Service* service =
            context_.active_configuration->configuration.find_service(worker.instance.service);
        if (service == nullptr || service->cold_rate_per_s <= 0) continue;
        worker.warming_until =
            std::max(worker.warming_until, steady_now() + service->cold_start + cold_unknown);
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
    if (members.size() >= most_schedulers_ || now - most_since_ > schedulers_remembered) {
        most_schedulers_ = members.size();
        most_since_ = now;
    }
    context_.schedulers = std::max<std::size_t>(1, most_schedulers_);
    readings_.on_members(members);
}

void DataPlane::on(const messages::ZoneListUpdate& update) {
    const discovery::ZoneList& list = update.list;
    if (!catalogue_.take(list)) return;
    const routing::Time now = steady_now();
    std::set<std::string> listed;
    for (const discovery::Instance& instance : list.instances) {
        listed.insert(instance.id);
        routing::Worker& worker = context_.workers[instance.id];
        worker.instance = instance;
        if (instance.cold_remaining.count() > 0)
            worker.warming_until = std::max(worker.warming_until, now + instance.cold_remaining);
    }
    std::erase_if(context_.workers, [&](const auto& item) {
        return item.second.instance.zone == list.zone && !listed.contains(item.first);
    });
    if (!workers_known_since_ && !context_.workers.empty()) workers_known_since_ = Clock::now();
}

void DataPlane::log_counters() const {
    const Counters& c = context_.counters;
    fmt::print(
        stderr,
        "level=info event=counters node={} requests={} served={} refused={} failed={} bad={} client_left={} "
        "attempts={} not_executed={} broken={} unreachable={} opened={} probes={}\n",
        settings_.node_name, c.requests, c.served, c.refused, c.failed, c.bad, c.client_left, c.attempts,
        c.not_executed, c.broken, c.unreachable, context_.pool.opened(), readings_.probes());
}

} // namespace willowrill::data
