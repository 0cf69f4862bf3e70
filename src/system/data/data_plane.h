// One process of the data plane, a scheduler: takes clients in, and carries their requests to workers with
// what the core tells it. Everything runs on the one thread of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/core_connection.h"
#include "system/data/front.h"
#include "system/data/load_report_exchange.h"
#include "system/discovery/instances.h"
#include "system/distribution/member_view.h"
#include "system/distribution/state_update.h"
#include "system/http/server.h"
#include "system/membership/lease_table.h"
#include "system/messages/messages.h"
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
    void on_core_update(const messages::CoreUpdate& update);
    void on(const messages::UnknownMessage&) const {}
    void on(const messages::LeaseAck&) const {} // answered by the session
    void on(const messages::StateSnapshot& snapshot);
    void on(const messages::StateDelta& delta);
    void on(const messages::MembersSnapshot& snapshot);
    void on(const messages::MembersDelta& delta);
    void on(const messages::ZoneListUpdate& update);
    std::optional<distribution::ActiveState> active_state() const;
    // `is_delta`: as the message came, for the log.
    void put_in_force(distribution::StateUpdate update, bool is_delta);
    void on_members_changed();
    void request_snapshot(bool messages::ResyncRequest::*what);
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
    distribution::MemberView members_;
    messages::ResyncRequest resync_; // sent to the core member with the next renewal
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
