// Serves a process's figures at a port of its own. One thread.
#pragma once

#include "system/http/server.h"
#include "system/metrics/metrics.h"

#include <functional>
#include <optional>
#include <string>

namespace willowrill::metrics {

inline constexpr const char* metrics_path = "/metrics";

class MetricsServer {
  public:
    // Port 0: there is no server. Where the port cannot be had, says so in the log and serves nothing:
    // figures are worth no failed start. `refresh`: called before each answer, to set levels.
    MetricsServer(asio::io_context& loop, const std::string& host, std::uint16_t port, Metrics& metrics,
                  std::function<void()> refresh);

  private:
    std::optional<http_server::Server> server_;
};

} // namespace willowrill::metrics
