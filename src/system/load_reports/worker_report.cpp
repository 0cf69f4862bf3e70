#include "system/load_reports/worker_report.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace willowrill::load_reports {

using nlohmann::json;

std::optional<routing::LoadReport> parse_worker_report(std::string_view body, routing::Time as_of) {
    try {
        const json document = json::parse(body);
        routing::LoadReport load_report;
        load_report.as_of = as_of;
        load_report.active = document.at("active").get<std::size_t>();
        load_report.queued = document.at("queued").get<std::size_t>();
        load_report.cache_used = document.value("cacheUsed", std::uint64_t{0});
        load_report.cache_total = document.value("cacheTotal", std::uint64_t{0});
        return load_report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace willowrill::load_reports
