// Serves a process's metrics at a port of its own. One thread, that of the loop.
#pragma once

#include "system/http_server/server.h"
#include "system/metrics/metrics.h"

#include <functional>
#include <optional>
#include <string>

namespace willowrill::metrics {

inline constexpr const char* metrics_path = "/metrics";

class MetricsServer {
  public:
    // Port 0: there is no server. Where the port cannot be had, says so in the log and serves nothing:
    // metrics are worth no failed start. `metrics` must outlive the loop's last run. `refresh`: called before
    // each response, to set gauges.
    MetricsServer(asio::io_context& loop, const std::string& host, std::uint16_t port, Metrics& metrics,
                  std::function<void()> refresh);

  private:
    std::optional<http_server::Server> server_;
};

} // namespace willowrill::metrics
