#include "system/metrics/metrics_server.h"

#include "system/logging/log.h"
#include "system/process/resource_usage.h"

#include <utility>

namespace willowrill::metrics {
namespace {

void set_process_levels(Metrics& metrics) {
    metrics.set(Level::dropped_log_lines, static_cast<double>(logging::dropped_lines()));
    if (const auto bytes = process::resident_bytes())
        metrics.set(Level::resident_bytes, static_cast<double>(*bytes));
    if (const auto count = process::open_descriptors())
        metrics.set(Level::open_descriptors, static_cast<double>(*count));
}

} // namespace

MetricsServer::MetricsServer(asio::io_context& loop, const std::string& host, std::uint16_t port,
                             Metrics& metrics, std::function<void()> refresh) {
    if (port == 0) return;
    const auto handler = [&metrics, refresh = std::move(refresh)](const http_server::Request& request,
                                                                  const http_server::Respond& respond) {
        if (request.target() != metrics_path)
            return respond(http_server::error_response(
                request, {errors::ErrorKind::unknown_resource, std::string(request.target())}));
        set_process_levels(metrics);
        refresh();
        auto response = http_server::json_response(request, 200, metrics.text());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        respond(std::move(response));
    };
    try {
        server_.emplace(loop, host, port, http_server::Options{}, handler);
    } catch (const std::exception& error) {
        logging::warning("metrics-not-served").field("port", port).text("detail", error.what());
    }
}

} // namespace willowrill::metrics
