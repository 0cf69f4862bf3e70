// Reads the platform's list of workers, for the zones whose token this member holds: every page of a zone,
// again and again, within the rate that all callers share. One thread.
#pragma once

#include "system/discovery/instances.h"
#include "system/http/client.h"
#include "system/metrics/metrics.h"
#include "system/ownership/ownership.h"
#include "system/settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace willowrill::control {

class PlatformPoller {
  public:
    using OnList = std::function<void(const discovery::ZoneList&)>;
    PlatformPoller(asio::io_context& loop, settings::Endpoint platform, metrics::Metrics& metrics,
                   OnList on_list);

    // This member reads the zone from now on, until a newer token names another owner.
    void start_polling(const std::string& zone, discovery::FencingToken token);
    // Another owner has a newer token.
    void stop_polling(const std::string& zone, discovery::FencingToken token);
    // Starts the readings that are due.
    void tick(std::chrono::steady_clock::time_point now);

  private:
    struct Zone {
        discovery::FencingToken token;
        std::shared_ptr<http_client::Client> client;
        std::chrono::steady_clock::time_point due;
        std::uint64_t serial = 0;
        std::vector<discovery::Instance> read; // of the pages so far
        std::size_t pages = 0;
    };
    void read_page(const std::string& zone, const std::string& page_token);
    void on_page(const std::string& zone, const http_client::Response* response);

    asio::io_context& loop_;
    settings::Endpoint platform_;
    metrics::Metrics& metrics_;
    OnList on_list_;
    std::map<std::string, Zone> zones_;
};

} // namespace willowrill::control
