#include "system/data/load_report_exchange.h"

#include "system/distribution/home_schedulers.h"

#include <algorithm>

namespace willowrill::data {
namespace {

using namespace std::chrono_literals;
using load_reports::ReportScope;

// All periods are multiples of the tick's.
constexpr std::chrono::milliseconds tick_period = 50ms;
constexpr std::chrono::milliseconds arrangement_period = 200ms;
constexpr std::chrono::milliseconds zone_publication_period = 200ms;   // to schedulers of the zone
constexpr std::chrono::milliseconds region_publication_period = 400ms; // to homes of other zones

} // namespace

LoadReportExchange::LoadReportExchange(Context& context, const std::string& host, std::uint16_t port)
    : context_(context), timer_(context.loop), schedule_(tick_period),
      assignment_(context.selector.location()), prober_(context, assignment_),
      publication_(context, assignment_, host, port) {
    tick();
}

bool LoadReportExchange::has_readings() const {
    return std::ranges::any_of(context_.workers,
                               [](const auto& item) { return item.second.load_report.has_value(); });
}

void LoadReportExchange::schedule_tick() {
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

void LoadReportExchange::tick() {
    schedule_.advance();
    if (context_.active_configuration) {
        const bool starting = !has_readings();
        if (starting || schedule_.is_due(arrangement_period)) arrange_subscriptions();
        prober_.probe_due_workers();
        if (schedule_.is_due(zone_publication_period)) publication_.publish(ReportScope::all_zones);
        if (schedule_.is_due(region_publication_period)) publication_.publish(ReportScope::probed_here);
    }
    schedule_tick();
}

void LoadReportExchange::arrange_subscriptions() {
    for (const configuration::Service& service : context_.active_configuration->configuration.services)
        arrange_subscriptions(service.name, backoff_.backed_off(SchedulerBackoff::Clock::now()));
}

void LoadReportExchange::arrange_subscriptions(const std::string& service,
                                               const std::set<std::string>& backed_off) {
    const auto order =
        distribution::home_schedulers(assignment_.members(), service, context_.settings.zone, backed_off);
    const bool is_home = order.empty() || order.front().node == context_.settings.node_name;
    if (is_home)
        subscribe_to_other_zones(service, backed_off);
    else
        subscribe_to_own_zone(service, order.front());
}

void LoadReportExchange::subscribe_to_own_zone(const std::string& service, const membership::Lease& home) {
    const std::string& own_zone = context_.settings.zone;
    assignment_.remove_home_service(service);
    end_subscriptions([&](const FeedKey& key) { return key.first == service && key.second != own_zone; });
    subscription({service, own_zone}).subscribe_to(home);
}

void LoadReportExchange::subscribe_to_other_zones(const std::string& service,
                                                  const std::set<std::string>& backed_off) {
    const std::string& own_zone = context_.settings.zone;
    assignment_.add_home_service(service);
    end_subscriptions([&](const FeedKey& key) { return key == FeedKey{service, own_zone}; });
    for (const auto& [zone, region] : context_.settings.regions) {
        if (zone == own_zone) continue;
        const auto homes = distribution::home_schedulers(assignment_.members(), service, zone, backed_off);
        if (!homes.empty()) subscription({service, zone}).subscribe_to(homes.front());
    }
}

Subscription& LoadReportExchange::subscription(const FeedKey& key) {
    std::shared_ptr<Subscription>& out = subscriptions_[key];
    if (out) return *out;
    const auto& [service, zone] = key;
    const settings::Settings& settings = context_.settings;
    load_reports::SubscribeRequest request;
    request.greeting = protocol::own_greeting(protocol::initial_cluster_version);
    request.service = service;
    request.scope = zone == settings.zone ? ReportScope::all_zones : ReportScope::probed_here;
    request.zone = settings.zone;
    request.region = settings.region;
    out = std::make_shared<Subscription>(context_, backoff_, std::move(request));
    return *out;
}

template <class Condition> void LoadReportExchange::end_subscriptions(Condition condition) {
    std::erase_if(subscriptions_, [&](const auto& item) {
        if (!condition(item.first)) return false;
        item.second->close();
        return true;
    });
}

} // namespace willowrill::data
