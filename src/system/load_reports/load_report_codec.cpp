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
constexpr std::size_t max_detail = 400; // of a refusal

const char* name_of(ReportScope scope) {
    return scope == ReportScope::probed_here ? probed_here_scope : all_zones_scope;
}

json encode_report(Time now, const std::string& id, const LoadReport& report) {
    return {id,
            (now - report.as_of).count(),
            report.active,
            report.queued,
            report.cache_used,
            report.cache_total,
            report.responsive};
}

LoadReport decode_report(Time now, const json& entry) {
    LoadReport out;
    out.as_of = now - Time(entry.at(1).get<std::int64_t>());
    out.active = entry.at(2).get<std::size_t>();
    out.queued = entry.at(3).get<std::size_t>();
    out.cache_used = entry.at(4).get<std::uint64_t>();
    out.cache_total = entry.at(5).get<std::uint64_t>();
    out.responsive = entry.at(6).get<bool>();
    return out;
}

} // namespace

// Programs of version 3 go by `version` alone and refuse whoever names another: the lowest version that is
// spoken stands there.
json encode(const SubscribeRequest& request) {
    json out{{"type", subscribe_type},     {"version", request.greeting.versions.min},
             {"service", request.service}, {"scope", name_of(request.scope)},
             {"zone", request.zone},       {"region", request.region}};
    if (request.greeting.versions.max >= protocol::negotiated_version)
        out["max_version"] = request.greeting.versions.max;
    return out;
}

json encode(const SubscribeRefusal& refusal) { return {{"type", refusal_type}, {"detail", refusal.detail}}; }

SubscriberMessage decode_subscriber_message(const json& message, const protocol::Greeting& own) {
    if (message.at("type") != subscribe_type) return UnknownMessage{};
    const json& min = message.at("version");
    if (!min.is_number_integer()) return UnsupportedVersion{"the subscriber's version is no number"};
    SubscribeRequest out;
    out.greeting.versions.min = min.get<protocol::Version>();
    out.greeting.versions.max = message.value("max_version", out.greeting.versions.min);
    const auto agreed = protocol::negotiate(own, out.greeting);
    if (!agreed) return UnsupportedVersion{agreed.error().detail};
    out.scope = message.at("scope") == probed_here_scope ? ReportScope::probed_here : ReportScope::all_zones;
    out.service = message.at("service").get<std::string>();
    out.zone = message.value("zone", std::string());
    out.region = message.value("region", std::string());
    return out;
}

json encode(const LoadReportUpdate& update, Time now) {
    json out{{"type", update_type}, {"service", update.service}, {"list", json::array()}};
    for (const auto& [id, report] : update.reports)
        out["list"].push_back(encode_report(now, id, report));
    if (update.unchanged_as_of) out["rest_age"] = (now - *update.unchanged_as_of).count();
    if (!update.removed.empty()) out["gone"] = update.removed;
    if (!update.stale.empty()) out["stale"] = update.stale;
    return out;
}

PublisherMessage decode_publisher_message(const json& message, Time now) {
    if (message.at("type") == refusal_type)
        return SubscribeRefusal{message.value("detail", std::string()).substr(0, max_detail)};
    if (message.at("type") != update_type) return UnknownMessage{};
    LoadReportUpdate out;
    // A subscription is to one service, so that a subscriber knows it without reading it here.
    if (const auto service = message.find("service"); service != message.end() && service->is_string())
        out.service = service->get<std::string>();
    for (const json& entry : message.at("list"))
        out.reports[entry.at(0).get<std::string>()] = decode_report(now, entry);
    out.stale = message.value("stale", std::set<std::string>());
    if (message.contains("rest_age"))
        out.unchanged_as_of = now - Time(message.at("rest_age").get<std::int64_t>());
    out.removed = message.value("gone", std::set<std::string>());
    return out;
}

} // namespace willowrill::load_reports
