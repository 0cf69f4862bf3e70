#include "system/settings/settings.h"

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

// A field that is missing or null has its default.
template <class T> T value_or(const Json& object, const char* key, T otherwise) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? otherwise : found->get<T>();
}

Endpoint endpoint_or_none(const Json& endpoints, const char* key) {
    const auto parsed = parse_endpoint(value_or(endpoints, key, std::string()));
    return parsed ? parsed.value() : Endpoint{};
}

std::chrono::milliseconds seconds_of(const Json& timers, const char* key,
                                     std::chrono::milliseconds otherwise) {
    constexpr double ms_per_s = 1000;
    const double otherwise_s = static_cast<double>(otherwise.count()) / ms_per_s;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(value_or(timers, key, otherwise_s) * ms_per_s));
}

std::chrono::milliseconds milliseconds_of(const Json& timers, const char* key,
                                          std::chrono::milliseconds otherwise) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(value_or(timers, key, static_cast<double>(otherwise.count()))));
}

Timers timers_of(const Json& document) {
    Timers out;
    const Json timers = value_or<Json>(document, "timers", Json::object());
    out.grace = seconds_of(timers, "graceS", out.grace);
    out.drain = milliseconds_of(timers, "drainMs", out.drain);
    out.retry_ratio = value_or(timers, "retryRatio", out.retry_ratio);
    out.retry_window = seconds_of(timers, "retryWindowS", out.retry_window);
    out.retry_slack = value_or(timers, "retrySlack", out.retry_slack);
    out.cold_excess = value_or(timers, "coldExcess", out.cold_excess);
    out.cold_slack = value_or(timers, "coldSlack", out.cold_slack);
    out.max_ttl = seconds_of(timers, "ttl_max_s", out.max_ttl);
    return out;
}

void read_endpoints(const Json& document, Settings& out) {
    const Json endpoints = value_or<Json>(document, "endpoints", Json::object());
    out.front = endpoint_or_none(endpoints, "front");
    out.readiness = endpoint_or_none(endpoints, "readiness");
    out.control = endpoint_or_none(endpoints, "control");
    out.directory = endpoint_or_none(endpoints, "directory");
    const auto ports = document.at("internalPorts").get<std::vector<std::uint16_t>>();
    out.first_internal_port = ports.at(0);
    out.last_internal_port = ports.at(1);
}

// The seeds, the disk and the losses to be borne.
void read_core(const Json& document, Settings& out) {
    for (const auto& seed : value_or(document, "seedNodes", std::vector<std::string>()))
        if (const auto parsed = parse_endpoint(seed)) out.seeds.push_back(parsed.value());
    out.initial_start = value_or(document, "initialStart", false);
    out.data_path = value_or(document, "dataPath", std::string());
    const Json resilience = value_or<Json>(document, "resilience", Json::object());
    out.tolerated_members = std::max<std::size_t>(1, value_or(resilience, "nodes", std::size_t{1}));
}

void read_platform(const Json& document, Settings& out) {
    const Json platform = value_or<Json>(document, "platformApi", Json::object());
    out.platform = endpoint_or_none(platform, "address");
    out.platform_calls_per_s = value_or(platform, "ratePerS", out.platform_calls_per_s);
}

void read_limits(const Json& document, Settings& out) {
    const Json limits = value_or<Json>(document, "limits", Json::object());
    out.memory_mb = value_or(limits, "memoryMb", out.memory_mb);
    out.max_files = value_or(limits, "maxFiles", out.max_files);
}

Settings read(const Json& document) {
    Settings out;
    out.node_name = document.at("nodeName").get<std::string>();
    out.zone = document.at("zone").get<std::string>();
    out.region = value_or(document, "region", std::string());
    out.regions = value_or(document, "zones", std::map<std::string, std::string>());
    out.address = document.at("ipAddress").get<std::string>();
    read_endpoints(document, out);
    read_core(document, out);
    read_platform(document, out);
    read_limits(document, out);
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
