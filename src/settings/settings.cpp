#include "settings/settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace willowrill::settings {
namespace {

using errors::Error;
using errors::ErrorKind;
using errors::Result;
using Json = nlohmann::json;

Error bad(std::string detail) { return {ErrorKind::bad_settings, std::move(detail)}; }

Endpoint endpoint_or_none(const Json& endpoints, const char* key) {
    if (!endpoints.contains(key)) return {};
    const auto parsed = parse_endpoint(endpoints.at(key).get<std::string>());
    return parsed ? parsed.value() : Endpoint{};
}

std::chrono::milliseconds seconds_of(const Json& timers, const char* key,
                                     std::chrono::milliseconds otherwise) {
    constexpr double ms_per_s = 1000;
    if (!timers.contains(key)) return otherwise;
    return std::chrono::milliseconds(static_cast<std::int64_t>(timers.at(key).get<double>() * ms_per_s));
}

std::chrono::milliseconds milliseconds_of(const Json& timers, const char* key,
                                          std::chrono::milliseconds otherwise) {
    if (!timers.contains(key)) return otherwise;
    return std::chrono::milliseconds(static_cast<std::int64_t>(timers.at(key).get<double>()));
}

Timers timers_of(const Json& document) {
    Timers out;
    const Json timers = document.value("timers", Json::object());
    out.grace = seconds_of(timers, "graceS", out.grace);
    out.drain = milliseconds_of(timers, "drainMs", out.drain);
    out.retry_ratio = timers.value("retryRatio", out.retry_ratio);
    out.retry_window = seconds_of(timers, "retryWindowS", out.retry_window);
    out.retry_slack = timers.value("retrySlack", out.retry_slack);
    out.cold_excess = timers.value("coldExcess", out.cold_excess);
    out.cold_slack = timers.value("coldSlack", out.cold_slack);
    out.longest_ttl = seconds_of(timers, "ttl_max_s", out.longest_ttl);
    return out;
}

Settings read(const Json& document) {
    Settings out;
    out.node_name = document.at("nodeName").get<std::string>();
    out.zone = document.at("zone").get<std::string>();
    out.region = document.value("region", std::string());
    out.regions = document.value("zones", std::map<std::string, std::string>());
    out.address = document.at("ipAddress").get<std::string>();
    const Json endpoints = document.value("endpoints", Json::object());
    out.front = endpoint_or_none(endpoints, "front");
    out.readiness = endpoint_or_none(endpoints, "readiness");
    out.control = endpoint_or_none(endpoints, "control");
    out.directory = endpoint_or_none(endpoints, "directory");
    const auto ports = document.at("internalPorts").get<std::vector<std::uint16_t>>();
    out.first_internal_port = ports.at(0);
    out.last_internal_port = ports.at(1);
    for (const auto& seed : document.value("seedNodes", std::vector<std::string>()))
        if (const auto parsed = parse_endpoint(seed)) out.seeds.push_back(parsed.value());
    out.initial_start = document.value("initialStart", false);
    out.data_path = document.value("dataPath", std::string());
    const Json resilience = document.value("resilience", Json::object());
    out.tolerated_members = std::max<std::size_t>(1, resilience.value("nodes", std::size_t{1}));
    const Json platform = document.value("platformApi", Json::object());
    if (platform.contains("address"))
        if (const auto parsed = parse_endpoint(platform.at("address").get<std::string>()))
            out.platform = parsed.value();
    out.platform_calls_per_s = platform.value("ratePerS", out.platform_calls_per_s);
    const Json limits = document.value("limits", Json::object());
    out.memory_mb = limits.value("memoryMb", out.memory_mb);
    out.most_files = limits.value("maxFiles", out.most_files);
    out.timers = timers_of(document);
    return out;
}

} // namespace

Result<Endpoint> parse_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    Endpoint out;
    if (colon == std::string::npos || colon == 0) return bad(fmt::format("\"{}\" is not HOST:PORT", text));
    out.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, out.port);
    if (error != std::errc() || stop != end || out.port == 0)
        return bad(fmt::format("\"{}\" has no port from 1 to 65535", text));
    return out;
}

std::string to_text(const Endpoint& endpoint) { return fmt::format("{}:{}", endpoint.host, endpoint.port); }

const std::string& Settings::region_of(const std::string& other_zone) const {
    const auto found = regions.find(other_zone);
    return found == regions.end() ? other_zone : found->second;
}

Result<Settings> parse(const std::string& text) {
    try {
        return read(Json::parse(text));
    } catch (const std::exception& error) {
        return bad(error.what());
    }
}

Result<Settings> load(const std::string& path) {
    std::ifstream file(path);
    if (!file) return bad(fmt::format("cannot read {}", path));
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

} // namespace willowrill::settings
