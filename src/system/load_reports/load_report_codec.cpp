#include "system/load_reports/load_report_codec.h"

#include <cstdint>
#include <utility>

namespace willowrill::load_reports {
namespace {

using nlohmann::json;
using routing::LoadReport;
using routing::Time;

constexpr const char* subscribe_type = "subscribe";
constexpr const char* update_type = "readings";
constexpr const char* refusal_type = "subscribe-refused";
constexpr const char* probed_here_scope = "own";
constexpr const char* all_zones_scope = "all";
constexpr std::size_t max_refusal_detail_bytes = 400;

const char* name_of(ReportScope scope) {
    return scope == ReportScope::probed_here ? probed_here_scope : all_zones_scope;
}

json encode_report(Time now, const std::string& instance_id, const LoadReport& report) {
    return {instance_id,       (now - report.as_of).count(), report.active,    report.queued,
            report.cache_used, report.cache_total,           report.responsive};
}

LoadReport decode_report(Time now, const json& entry) {
    LoadReport report;
    report.as_of = now - Time(entry.at(1).get<std::int64_t>());
    report.active = entry.at(2).get<std::size_t>();
    report.queued = entry.at(3).get<std::size_t>();
    report.cache_used = entry.at(4).get<std::uint64_t>();
    report.cache_total = entry.at(5).get<std::uint64_t>();
    report.responsive = entry.at(6).get<bool>();
    return report;
}

} // namespace

// A peer of version 3 reads only `version` and refuses any other value, so `version` holds the lowest
// supported version. The highest one is sent in `max_version`, if it is high enough for negotiation.
json encode(const SubscribeRequest& request) {
    json message{{"type", subscribe_type},     {"version", request.greeting.versions.min},
                 {"service", request.service}, {"scope", name_of(request.scope)},
                 {"zone", request.zone},       {"region", request.region}};
    if (request.greeting.versions.max >= protocol::negotiated_version)
        message["max_version"] = request.greeting.versions.max;
    return message;
}

json encode(const SubscribeRefusal& refusal) { return {{"type", refusal_type}, {"detail", refusal.detail}}; }

SubscriberMessage decode_subscriber_message(const json& message, const protocol::Greeting& own_greeting) {
    if (message.at("type") != subscribe_type) return UnknownMessage{};
    const json& min_version = message.at("version");
    if (!min_version.is_number_integer()) return UnsupportedVersion{"the subscriber's version is no number"};
    SubscribeRequest request;
    request.greeting.versions.min = min_version.get<protocol::Version>();
    request.greeting.versions.max = message.value("max_version", request.greeting.versions.min);
    const auto agreement = protocol::negotiate(own_greeting, request.greeting);
    if (!agreement) return UnsupportedVersion{agreement.error().detail};
    request.scope =
        message.at("scope") == probed_here_scope ? ReportScope::probed_here : ReportScope::all_zones;
    request.service = message.at("service").get<std::string>();
    request.zone = message.value("zone", std::string());
    request.region = message.value("region", std::string());
    return request;
}

json encode(const LoadReportUpdate& update, Time now) {
    json message{{"type", update_type}, {"service", update.service}, {"list", json::array()}};
    for (const auto& [instance_id, report] : update.reports)
        message["list"].push_back(encode_report(now, instance_id, report));
    if (update.unchanged_as_of) message["rest_age"] = (now - *update.unchanged_as_of).count();
    if (!update.removed.empty()) message["gone"] = update.removed;
    if (!update.stale.empty()) message["stale"] = update.stale;
    return message;
}

PublisherMessage decode_publisher_message(const json& message, Time now) {
    if (message.at("type") == refusal_type)
        return SubscribeRefusal{message.value("detail", std::string()).substr(0, max_refusal_detail_bytes)};
    if (message.at("type") != update_type) return UnknownMessage{};
    LoadReportUpdate update;
    // Optional: a subscription is for one service, so the subscriber knows it already.
    if (const auto service = message.find("service"); service != message.end() && service->is_string())
        update.service = service->get<std::string>();
    for (const json& entry : message.at("list"))
        update.reports[entry.at(0).get<std::string>()] = decode_report(now, entry);
    update.stale = message.value("stale", std::set<std::string>());
    if (message.contains("rest_age"))
        update.unchanged_as_of = now - Time(message.at("rest_age").get<std::int64_t>());
    update.removed = message.value("gone", std::set<std::string>());
    return update;
}

} // namespace willowrill::load_reports
