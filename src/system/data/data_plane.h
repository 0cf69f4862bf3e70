// One process of the data plane, a scheduler: puts together the clients' listener, the connection to the
// core, the load reports and the process's own interfaces, applies what the core pushes, and moves the
// process through its phases: starting, ready, leaving. Everything runs on the one thread of the loop.
#pragma once

#include "system/data/client_listener.h"
#include "system/data/context.h"
#include "system/data/core_connection.h"
#include "system/data/load_report_exchange.h"
#include "system/discovery/instances.h"
#include "system/distribution/member_view.h"
#include "system/distribution/state_update.h"
#include "system/http_server/server.h"
#include "system/membership/lease_table.h"
#include "system/messages/messages.h"
#include "system/metrics/metrics_server.h"
#include "system/settings/settings.h"
#include "system/transport/tick_schedule.h"

#include <memory>
#include <optional>
#include <vector>

namespace willowrill::data {

// Where a process of the data plane listens, but for its metrics. Throws where an address is malformed.
std::vector<Tcp::endpoint> addresses_of(const settings::Settings& settings);

class DataPlane {
  public:
    // `settings_path`: read again for the seeds of the core. `metrics_port`: 0 serves no metrics. `loop` must
    // outlive this object.
    DataPlane(asio::io_context& loop, settings::Settings settings, std::string settings_path,
              std::uint16_t metrics_port = 0);

    // Graceful shutdown: takes no new clients, finishes what is under way, and ends the loop within the
    // platform's grace period.
    void leave();
    // Takes the core's seeds from the settings file, where it is readable.
    void reload_settings();

  private:
    using Clock = std::chrono::steady_clock;

    CoreConnection::Callbacks core_callbacks();
    std::optional<replication::Position> active_position() const;
    void update_gauges();

    void tick();
    void start_serving();
    void sweep();
    void drain(Clock::duration leaving_for);
    bool may_end(Clock::duration leaving_for) const;
    void end();

    void on_core_update(const messages::CoreUpdate& update);
    // Answered by the connection and the session.
    void on(const messages::UnknownMessage&) const {}
    void on(const messages::HelloReply&) const {}
    void on(const messages::HelloRefusal&) const {}
    void on(const messages::LeaseAck&) const {}
    void on(const messages::StateSnapshot& snapshot);
    void on(const messages::StateDelta& delta);
    void on(const messages::MembersSnapshot& snapshot);
    void on(const messages::MembersDelta& delta);
    void on(const messages::ZoneListUpdate& update);
    std::optional<distribution::ActiveState> active_state() const;
    // `is_delta`: as the message came, for the log.
    void activate(distribution::StateUpdate update, bool is_delta);
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
    std::size_t max_schedulers_ = 0;
    Clock::time_point max_since_;
    std::optional<Clock::time_point> workers_known_since_;
    CoreConnection core_;
    LoadReportExchange load_reports_;
    http_server::Server readiness_;
    metrics::MetricsServer metrics_server_;
    std::optional<ClientListener> client_listener_;
    SteadyTimer timer_;
    transport::TickSchedule schedule_;
    Clock::time_point shutdown_began_;
};

} // namespace willowrill::data
