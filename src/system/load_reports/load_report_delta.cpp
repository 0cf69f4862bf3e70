#include "system/load_reports/load_report_delta.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace willowrill::load_reports {
namespace {

using nlohmann::json;
using routing::LoadReport;
using routing::Time;

// Of the places or of the memory: smaller differences of load change no choice worth the bytes.
constexpr std::size_t told_parts = 32;
// A reading older than that is not vouched for together with the others: its worker may have gone silent.
constexpr Time longest_fresh{1000};

bool differ_by(std::uint64_t a, std::uint64_t b, std::uint64_t step) {
    return (a > b ? a - b : b - a) >= std::max<std::uint64_t>(1, step);
}

json encode(Time now, const std::string& id, const LoadReport& reading) {
    return {id,
            (now - reading.as_of).count(),
            reading.active,
            reading.queued,
            reading.cache_used,
            reading.cache_total,
            reading.answered};
}

LoadReport decode(Time now, const json& one) {
    LoadReport out;
    out.as_of = now - Time(one.at(1).get<std::int64_t>());
    out.active = one.at(2).get<std::size_t>();
    out.queued = one.at(3).get<std::size_t>();
    out.cache_used = one.at(4).get<std::uint64_t>();
    out.cache_total = one.at(5).get<std::uint64_t>();
    out.answered = one.at(6).get<bool>();
    return out;
}

json message(const std::string& service) {
    return {{"type", "readings"}, {"service", service}, {"list", json::array()}};
}

} // namespace

bool differs_materially(const LoadReport& told, const LoadReport& fresh, std::size_t capacity) {
    if (told.answered != fresh.answered || told.cache_total != fresh.cache_total) return true;
    return differ_by(told.active + told.queued, fresh.active + fresh.queued, capacity / told_parts) ||
           (fresh.cache_total > 0 &&
            differ_by(told.cache_used, fresh.cache_used, fresh.cache_total / told_parts));
}

json LoadReportPublisher::change(Time now, const std::string& service,
                                 const std::map<std::string, const routing::Worker*>& workers) {
    json out = message(service);
    json gone = json::array(), stale = json::array();
    for (const auto& [id, reading] : told_)
        if (!workers.contains(id)) gone.push_back(id);
    std::erase_if(told_, [&](const auto& item) { return !workers.contains(item.first); });
    std::optional<Time> oldest; // of those whose readings are as good as told
    for (const auto& [id, worker] : workers) {
        if (!worker->load_report) continue;
        const LoadReport& fresh = *worker->load_report;
        const auto told = told_.find(id);
        if (told != told_.end() && !differs_materially(told->second, fresh, worker->instance.capacity)) {
            told->second.as_of = fresh.as_of;
            if (now - fresh.as_of > longest_fresh)
                stale.push_back(id);
            else
                oldest = std::min(oldest.value_or(fresh.as_of), fresh.as_of);
            continue;
        }
        told_[id] = fresh;
        out["list"].push_back(encode(now, id, fresh));
    }
    if (oldest) out["rest_age"] = (now - *oldest).count();
    if (!gone.empty()) out["gone"] = std::move(gone);
    if (!stale.empty()) out["stale"] = std::move(stale);
    return out;
}

json LoadReportPublisher::whole(Time now, const std::string& service) const {
    json out = message(service);
    for (const auto& [id, reading] : told_)
        out["list"].push_back(encode(now, id, reading));
    return out;
}

void LoadReportSubscriber::take(Time now, const json& message, routing::Workers& workers) {
    std::map<std::string, LoadReport> fresh;
    for (const json& one : message.at("list"))
        fresh[one.at(0).get<std::string>()] = decode(now, one);
    const auto stale = message.value("stale", std::set<std::string>());
    if (message.contains("rest_age")) {
        const Time as_of = now - Time(message.at("rest_age").get<std::int64_t>());
        for (auto& [id, reading] : told_)
            if (!stale.contains(id)) reading.as_of = std::max(reading.as_of, as_of);
    }
    for (const std::string& id : message.value("gone", std::vector<std::string>()))
        told_.erase(id);
    for (const auto& [id, reading] : fresh)
        if (told_.contains(id) || told_.size() < most_workers_told) told_[id] = reading;
    for (const auto& [id, reading] : told_)
        if (const auto worker = workers.find(id); worker != workers.end()) worker->second.take(reading);
}

} // namespace willowrill::load_reports
