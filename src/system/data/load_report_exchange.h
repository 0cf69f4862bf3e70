// How load reports come to this scheduler and go on to others. Where it is the home scheduler of a service in
// its zone, it probes the service's workers there and publishes their reports to the schedulers of the zone
// and to the homes of the other zones, whose reports it subscribes to. Where it is not, it subscribes to the
// home. Decides who does what, and when; the parts do it. One thread, that of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/load_prober.h"
#include "system/data/load_report_publication.h"
#include "system/data/probe_assignment.h"
#include "system/data/scheduler_backoff.h"
#include "system/data/subscription.h"
#include "system/transport/tick_schedule.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::data {

class LoadReportExchange {
  public:
    // Listens for subscribers at `host` and `port`; throws boost::system::system_error where that cannot be
    // had. `context` must outlive the exchange.
    LoadReportExchange(Context& context, const std::string& host, std::uint16_t port);

    // The schedulers that are alive, this one among them.
    void on_members(const std::vector<membership::Lease>& members) { assignment_.set_members(members); }
    // Whether a first load report has come.
    bool has_readings() const;
    // Probes sent since the start.
    std::size_t probes() const { return prober_.probes_sent(); }

  private:
    // Of a subscription: the service, and the zone whose home scheduler publishes. The own zone's home
    // publishes reports of all zones, another zone's home those of the workers that it probes.
    using FeedKey = std::pair<std::string, std::string>;

    void schedule_tick();
    void tick();

    // Finds out who is home to each service, and subscribes accordingly.
    void arrange_subscriptions();
    void arrange_subscriptions(const std::string& service, const std::set<std::string>& backed_off);
    void subscribe_to_own_zone(const std::string& service, const membership::Lease& home);
    void subscribe_to_other_zones(const std::string& service, const std::set<std::string>& backed_off);
    Subscription& subscription(const FeedKey& key);
    template <class Condition> void end_subscriptions(Condition condition);

    Context& context_;
    SteadyTimer timer_;
    transport::TickSchedule schedule_;
    ProbeAssignment assignment_;
    LoadProber prober_;
    LoadReportPublication publication_;
    SchedulerBackoff backoff_;
    std::map<FeedKey, std::shared_ptr<Subscription>> subscriptions_;
};

} // namespace willowrill::data
