// Polls the platform for the lists of workers of the zones that this member owns: every page of a zone, again
// and again, within the rate that all callers of the platform share. One thread.
#pragma once

#include "system/discovery/instances.h"
#include "system/http_client/client.h"
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

    // This member polls the zone from now on, under this token. An older token than the newest is ignored.
    void start_polling(const std::string& zone, discovery::FencingToken token);
    // Another member owns the zone under this token. Ignored where it is not newer than this member's.
    void stop_polling(const std::string& zone, discovery::FencingToken token);
    // Starts the polls that are due; to be called often.
    void tick(std::chrono::steady_clock::time_point now);

  private:
    struct Zone {
        discovery::FencingToken token;
        std::shared_ptr<http_client::Client> client;
        std::chrono::steady_clock::time_point due;
        std::uint64_t serial = 0;
        std::vector<discovery::Instance> instances; // of the pages so far
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
