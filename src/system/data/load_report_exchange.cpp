#include "system/data/load_report_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace willowrill::data {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto tick_period = 50ms;
constexpr std::uint64_t ticks_between_arrangements = 4;
constexpr std::uint64_t ticks_between_publications = 4;     // within the zone
constexpr std::uint64_t ticks_between_far_publications = 8; // between homes
constexpr routing::Time probe_period{400};
constexpr routing::Time health_period{1000};
constexpr std::chrono::milliseconds probe_timeout{450};
constexpr int failures_until_dead = 2;
constexpr routing::Time report_lag{250}; // a report shows its worker as it was so long ago, at the latest
constexpr auto source_silence = 1000ms;
constexpr auto avoid_time = 4000ms;
constexpr auto dial_timeout = 400ms;

// A worker that answers nonsense is as good as silent.
bool read_report(const std::string& body, routing::LoadReport& reading) {
    try {
        const json report = json::parse(body);
        reading.active = report.at("active").get<std::size_t>();
        reading.queued = report.at("queued").get<std::size_t>();
        reading.cache_used = report.value("cacheUsed", std::uint64_t{0});
        reading.cache_total = report.value("cacheTotal", std::uint64_t{0});
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

std::string scope_name(bool own) { return own ? "own" : "all"; }

} // namespace

LoadReportExchange::LoadReportExchange(Context& context, const std::string& host, std::uint16_t port)
    : context_(context), timer_(context.loop),
      listener_(context.loop, host, port,
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }) {
    tick();
}

bool LoadReportExchange::has_readings() const {
    if (context_.workers.empty()) return false;
    return std::ranges::any_of(context_.workers,
                               [](const auto& item) { return item.second.load_report.has_value(); });
}

void LoadReportExchange::tick() {
    ++ticks_;
    if (context_.active_configuration) {
        const bool starting = !has_readings();
        if (starting || ticks_ % ticks_between_arrangements == 0)
            for (const configuration::Service& service :
                 context_.active_configuration->configuration.services)
                arrange(service.name);
        probe_due();
        if (ticks_ % ticks_between_publications == 0) publish(Scope::all);
        if (ticks_ % ticks_between_far_publications == 0) publish(Scope::own);
    }
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

std::set<std::string> LoadReportExchange::avoided() {
    const Clock::time_point now = Clock::now();
    std::erase_if(silent_, [&](const auto& item) { return now - item.second > avoid_time; });
    std::set<std::string> out;
    for (const auto& [node, when] : silent_)
        out.insert(node);
    return out;
}

// Follows the home of the zone or, being home, those of the other zones.
void LoadReportExchange::arrange(const std::string& service) {
    const std::string& own_zone = context_.settings.zone;
    const std::set<std::string> shunned = avoided();
    const auto order = distribution::home_schedulers(members_, service, own_zone, shunned);
    const bool home = order.empty() || order.front().node == context_.settings.node_name;
    if (!home) {
        home_of_.erase(service);
        std::erase_if(sources_, [&](auto& item) {
            if (!item.first.starts_with(service + "@")) return false;
            if (item.second.connection) item.second.connection->close();
            return true;
        });
        return follow(service, order.front(), service, Scope::all);
    }
    home_of_.insert(service);
    if (const auto source = sources_.find(service); source != sources_.end()) {
        if (source->second.connection) source->second.connection->close();
        sources_.erase(source);
    }
    for (const auto& [zone, region] : context_.settings.regions) {
        if (zone == own_zone) continue;
        const auto others = distribution::home_schedulers(members_, service, zone, shunned);
        if (!others.empty()) follow(fmt::format("{}@{}", service, zone), others.front(), service, Scope::own);
    }
}

void LoadReportExchange::follow(const std::string& key, const membership::Lease& home,
                                const std::string& service, Scope scope) {
    Source& source = sources_[key];
    const Clock::time_point now = Clock::now();
    if (source.connection && (source.node != home.node || now - source.heard > source_silence)) {
        if (now - source.heard > source_silence) silent_[source.node] = now;
        std::exchange(source.connection, nullptr)->close();
    }
    if (source.connection || source.dialling) return;
    const auto endpoint = settings::parse_endpoint(home.peer_address);
    if (!endpoint) return;
    source.dialling = true;
    source.node = home.node;
    const auto on_connected = [this, key, service, scope,
                               node = home.node](const transport::FrameConnectionPtr& connection) {
        const auto found = sources_.find(key);
        if (found == sources_.end()) {
            if (connection) connection->close();
            return;
        }
        found->second.dialling = false;
        if (!connection) {
            silent_[node] = Clock::now();
            return;
        }
        found->second.connection = connection;
        found->second.heard = Clock::now();
        found->second.listener = {};
        connection->start(
            [this, key](const json& message) {
                const auto from = sources_.find(key);
                if (from == sources_.end()) return;
                from->second.heard = Clock::now();
                on_readings(from->second, message);
            },
            [this, key, raw = connection.get()] {
                const auto closed = sources_.find(key);
                if (closed != sources_.end() && closed->second.connection.get() == raw)
                    closed->second.connection = nullptr;
            });
        connection->send({{"type", "subscribe"},
                          {"version", transport::protocol_version},
                          {"service", service},
                          {"scope", scope_name(scope == Scope::own)},
                          {"zone", context_.settings.zone},
                          {"region", context_.settings.region}});
    };
    transport::dial(context_.loop, endpoint.value().host, endpoint.value().port, dial_timeout, on_connected);
}

bool LoadReportExchange::probes_here(const routing::Worker& worker) const {
    if (!home_of_.contains(worker.instance.service)) return false;
    const std::string& region = context_.selector.place().region_of(worker.instance.zone);
    return distribution::probing_zone(members_, worker.instance.zone, region) == context_.settings.zone;
}

void LoadReportExchange::probe_due() {
    const routing::Time now = steady_now();
    std::erase_if(probers_, [&](auto& item) {
        if (context_.workers.contains(item.first)) return false;
        item.second.client->close();
        return true;
    });
    for (const auto& [id, worker] : context_.workers) {
        if (!probes_here(worker)) continue;
        Prober& prober = probers_[id];
        if (!prober.client) {
            const auto endpoint = settings::parse_endpoint(worker.instance.address);
            if (!endpoint) continue;
            prober.client = std::make_shared<http_client::Client>(context_.loop, endpoint.value().host,
                                                                  endpoint.value().port);
        }
        if (prober.client->busy() || now < prober.due) continue;
        const configuration::Service* service =
            context_.active_configuration->configuration.find_service(worker.instance.service);
        if (service == nullptr) continue;
        // Only model workers report their load; of others no more is asked than whether they answer at all.
        prober.due = now + (service->has_engine ? probe_period : health_period);
        ++probes_;
        context_.metrics.add(metrics::Total::probes, service->has_engine ? "report" : "health");
        prober.client->get(
            service->has_engine ? "/-/report" : service->health_path, probe_timeout,
            [this, id = id](const http_client::Response* response) { on_report(id, response); });
    }
}

void LoadReportExchange::on_report(const std::string& id, const http_client::Response* response) {
    const auto worker = context_.workers.find(id);
    const auto prober = probers_.find(id);
    if (worker == context_.workers.end() || prober == probers_.end()) return;
    routing::LoadReport reading;
    reading.as_of = steady_now() - report_lag;
    bool good = false;
    const auto* service =
        context_.active_configuration->configuration.find_service(worker->second.instance.service);
    if (service != nullptr && !service->has_engine) {
        // An answer of any kind: what it says may be false, and being full is no fault.
        good = response != nullptr;
        reading.active = worker->second.in_flight;
    } else if (response != nullptr && response->result() == http::status::ok) {
        good = read_report(response->body(), reading);
    }
    prober->second.failures = good ? 0 : prober->second.failures + 1;
    if (!good && prober->second.failures < failures_until_dead) return;
    reading.answered = good;
    worker->second.take(reading);
}

nlohmann::json LoadReportExchange::next_message(const Group& group) {
    const auto& [service, scope] = group;
    std::map<std::string, const routing::Worker*> workers;
    for (const auto& [id, worker] : context_.workers)
        if (worker.instance.service == service && (scope == Scope::all || probes_here(worker)))
            workers[id] = &worker;
    return tellers_[group].change(steady_now(), service, workers);
}

void LoadReportExchange::publish(Scope scope) {
    std::map<Group, transport::Frame> frames;
    for (const auto& [connection, group] : subscribers_) {
        if (group.second != scope) continue;
        transport::Frame& frame = frames[group];
        if (!frame) frame = transport::frame_of(next_message(group));
        connection->send_frame(frame);
    }
    std::erase_if(tellers_, [&](const auto& item) {
        return item.first.second == scope && !frames.contains(item.first);
    });
}

void LoadReportExchange::on_readings(Source& source, const json& message) {
    if (message.at("type") == "readings") source.listener.take(steady_now(), message, context_.workers);
}

// The new one is told what all others of its group were told, and hears of changes with them from then on.
void LoadReportExchange::subscribe(const transport::FrameConnectionPtr& connection, const json& message) {
    const Scope scope = message.at("scope") == scope_name(true) ? Scope::own : Scope::all;
    const Group group{message.at("service").get<std::string>(), scope};
    subscribers_[connection] = group;
    const char* crossing = metrics::name_of(
        metrics::crossing(context_.settings.zone, context_.settings.region,
                          message.value("zone", std::string()), message.value("region", std::string())));
    connection->count_into([this, crossing](std::size_t bytes) {
        context_.metrics.add(metrics::Total::internal_bytes, "readings", crossing,
                             static_cast<double>(bytes));
        context_.metrics.add(metrics::Total::internal_messages, "readings", crossing);
    });
    connection->send(tellers_[group].whole(steady_now(), group.first));
}

void LoadReportExchange::accept(const transport::FrameConnectionPtr& connection) {
    if (subscribers_.size() >= membership::most_leases) return connection->close();
    connection->start(
        [this, weak = std::weak_ptr(connection)](const json& message) {
            const auto self = weak.lock();
            if (!self || message.at("type") != "subscribe") return;
            if (message.at("version") != transport::protocol_version) return self->close();
            subscribe(self, message);
        },
        [this, weak = std::weak_ptr(connection)] {
            if (const auto self = weak.lock()) subscribers_.erase(self);
        });
}

} // namespace willowrill::data
