// One process of the data plane, a scheduler: takes clients in, and carries their requests to workers with
// what the core tells it. Everything runs on the one thread of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/core_connection.h"
#include "system/data/front.h"
#include "system/data/load_report_exchange.h"
#include "system/discovery/instances.h"
#include "system/distribution/held_members.h"
#include "system/http_server/server.h"
#include "system/membership/lease_table.h"
#include "system/metrics/metrics_server.h"
#include "system/settings/settings.h"

#include <memory>
#include <optional>

namespace willowrill::data {

class DataPlane {
  public:
    DataPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
              std::uint16_t metrics_port = 0);

    // Takes no new clients, finishes what is under way, and ends the loop within the platform's grace.
    void leave();
    void reload_settings();

  private:
    using Clock = std::chrono::steady_clock;

    void tick();
    void on_push(const nlohmann::json& message);
    void on_state(const nlohmann::json& message);
    void ask_whole(const char* what);
    void on_members(const nlohmann::json& message);
    void on_zone(const discovery::ZoneList& list);
    void assume_cold(const std::set<std::string>& before, const std::set<std::string>& after);
    void change_phase(membership::Phase next);
    bool knows_enough() const;
    membership::Lease lease() const;
    void on_readiness(const http_server::Request& request, const http_server::Respond& respond) const;
    void log_counters() const;

    asio::io_context& loop_;
    settings::Settings settings_;
    std::string settings_path_;
    Context context_;
    membership::Phase phase_ = membership::Phase::starting;
    std::uint64_t incarnation_;
    discovery::Catalogue catalogue_;
    distribution::HeldMembers members_;
    std::set<std::string> lacks_; // to be sent whole; told to the core member with the next renewal
    std::size_t most_schedulers_ = 0;
    Clock::time_point most_since_;
    std::optional<Clock::time_point> workers_known_since_;
    CoreConnection core_;
    LoadReportExchange readings_;
    http_server::Server readiness_;
    metrics::MetricsServer metrics_server_;
    std::optional<Front> front_;
    SteadyTimer timer_;
    Clock::time_point left_at_;
    std::uint64_t ticks_ = 0;
};

} // namespace willowrill::data
