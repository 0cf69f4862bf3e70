// Periodically polls the platform for the worker lists of the zones that this member owns, within the rate
// limit that all callers of the platform share. A member that owns every zone reads a single list of all
// zones if that takes fewer calls. Not thread-safe: used on the event loop's thread only.
#pragma once

#include "system/control/page_reader.h"
#include "system/discovery/instances.h"
#include "system/discovery/read_plan.h"
#include "system/metrics/metrics.h"
#include "system/ownership/ownership.h"
#include "system/settings/settings.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::control {

class PlatformPoller {
  public:
    using OnList = std::function<void(const discovery::ZoneList&)>;
    using Clock = std::chrono::steady_clock;

    // `zone_count`: number of all zones, owned or not. `loop` and `metrics` must outlive the poller.
    // `input_memory`: what the platform sends is part of it.
    PlatformPoller(asio::io_context& loop, settings::Endpoint platform, std::size_t zone_count,
                   std::shared_ptr<budget::ByteBudget> input_memory, metrics::Metrics& metrics,
                   OnList on_list);

    // Starts to poll the zone under this token. Ignored unless the token is newer than the current one.
    void start_polling(const std::string& zone, discovery::FencingToken token);
    // Stops polling the zone because another member owns it under this token. Ignored unless the token is
    // newer than this member's.
    void stop_polling(const std::string& zone, discovery::FencingToken token);
    // Starts the polls that are due. Called periodically.
    void tick(Clock::time_point now);

  private:
    struct Zone {
        discovery::FencingToken token;
        std::uint64_t serial = 0;
        Clock::time_point due;
        std::unique_ptr<PageReader> reader;
    };
    bool should_read_all_zones() const;
    bool is_reading_zone() const;
    void start_if_due(PageReader& reader, Clock::time_point& due, Clock::time_point now);
    PageReader::Callbacks callbacks_for(const std::string& zone);
    void on_failure(Clock::time_point& due, PageReader::Failure failure) const;
    void on_zone(const std::string& zone, std::vector<discovery::Instance> instances);
    void on_all_zones(std::vector<discovery::Instance> instances);

    asio::io_context& loop_;
    settings::Endpoint platform_;
    std::size_t zone_count_;
    std::shared_ptr<budget::ByteBudget> input_memory_;
    metrics::Metrics& metrics_;
    OnList on_list_;
    discovery::ReadPlan plan_;
    std::map<std::string, Zone> zones_;
    Clock::time_point all_zones_due_;
    PageReader all_zones_reader_; // reads the lists of all zones together
};

} // namespace willowrill::control
