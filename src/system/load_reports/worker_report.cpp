#include "system/load_reports/worker_report.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace willowrill::load_reports {

using nlohmann::json;

std::optional<routing::LoadReport> parse_worker_report(std::string_view body, routing::Time as_of) {
    try {
        const json report = json::parse(body);
        routing::LoadReport out;
        out.as_of = as_of;
        out.active = report.at("active").get<std::size_t>();
        out.queued = report.at("queued").get<std::size_t>();
        out.cache_used = report.value("cacheUsed", std::uint64_t{0});
        out.cache_total = report.value("cacheTotal", std::uint64_t{0});
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace willowrill::load_reports
