#include "system/data/load_prober.h"

#include "system/load_reports/worker_report.h"

#include <optional>

namespace willowrill::data {
namespace {

constexpr routing::Time report_probe_period{400};
constexpr routing::Time health_probe_period{1000};
constexpr std::chrono::milliseconds probe_timeout{450};
constexpr int failures_until_unanswered = 2;
constexpr routing::Time max_report_lag{250};      // a report shows its worker as it was at most so long ago
constexpr std::uint64_t max_report_bytes = 65536; // a report has some hundred
constexpr const char* report_path = "/-/report";

// A response of any kind shows that the worker is alive: what it says may be false, and a worker without a
// free place is not at fault.
std::optional<routing::LoadReport> health_report(const routing::Worker& worker, routing::Time as_of,
                                                 const http_client::Response* response) {
    if (response == nullptr) return std::nullopt;
    routing::LoadReport out;
    out.as_of = as_of;
    out.active = worker.in_flight;
    return out;
}

// A worker that answers nonsense is as good as silent.
std::optional<routing::LoadReport> engine_report(routing::Time as_of, const http_client::Response* response) {
    if (response == nullptr || response->result() != http::status::ok) return std::nullopt;
    return load_reports::parse_worker_report(response->body(), as_of);
}

// The report of a worker that did not answer several probes in a row.
routing::LoadReport unanswered_report(const routing::Worker& worker, routing::Time as_of, bool has_engine) {
    routing::LoadReport out;
    out.as_of = as_of;
    out.responsive = false;
    if (!has_engine) out.active = worker.in_flight;
    return out;
}

} // namespace

void LoadProber::probe_due_workers() {
    const routing::Time now = steady_now();
    forget_unlisted_workers();
    for (const auto& [id, worker] : context_.workers) {
        if (!assignment_.contains(worker)) continue;
        Target* target = target_of(id, worker);
        if (target == nullptr || target->client->busy() || now < target->next_probe_at) continue;
        const configuration::Service* service =
            context_.active_configuration->configuration.find_service(worker.instance.service);
        if (service == nullptr) continue;
        target->next_probe_at = now + (service->has_engine ? report_probe_period : health_probe_period);
        probe(*target, id, *service);
    }
}

void LoadProber::forget_unlisted_workers() {
    std::erase_if(targets_, [&](auto& item) {
        if (context_.workers.contains(item.first)) return false;
        item.second.client->close();
        return true;
    });
}

LoadProber::Target* LoadProber::target_of(const std::string& id, const routing::Worker& worker) {
    const auto known = targets_.find(id);
    if (known != targets_.end()) return &known->second;
    const auto endpoint = settings::parse_endpoint(worker.instance.address);
    if (!endpoint) return nullptr;
    Target& target = targets_[id];
    target.client = std::make_shared<http_client::Client>(
        context_.loop, endpoint.value().host, endpoint.value().port,
        http_client::Options{max_report_bytes, context_.input_memory.requests});
    return &target;
}

void LoadProber::probe(Target& target, const std::string& id, const configuration::Service& service) {
    ++probes_sent_;
    context_.metrics.add(metrics::Total::probes, service.has_engine ? "report" : "health");
    target.client->get(service.has_engine ? report_path : service.health_path, probe_timeout,
                       [this, id](const http_client::Response* response) { on_response(id, response); });
}

void LoadProber::on_response(const std::string& id, const http_client::Response* response) {
    const auto found = context_.workers.find(id);
    const auto target = targets_.find(id);
    if (found == context_.workers.end() || target == targets_.end()) return;
    routing::Worker& worker = found->second;
    const auto* service = context_.active_configuration->configuration.find_service(worker.instance.service);
    const bool has_engine = service == nullptr || service->has_engine;
    const routing::Time as_of = steady_now() - max_report_lag;
    const auto report = has_engine ? engine_report(as_of, response) : health_report(worker, as_of, response);
    target->second.failures = report ? 0 : target->second.failures + 1;
    if (report)
        worker.apply_report(*report);
    else if (target->second.failures >= failures_until_unanswered)
        worker.apply_report(unanswered_report(worker, as_of, has_engine));
}

} // namespace willowrill::data
