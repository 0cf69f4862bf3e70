#include "system/configuration/configuration.h"

#include "system/configuration/json_text.h"
#include "system/configuration/schema.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::Result;
using Value = rapidjson::Value;

const rapidjson::SchemaDocument& schema() {
    static const rapidjson::SchemaDocument compiled = compile_schema(schema_text);
    return compiled;
}

std::string string_or(const Value& object, const char* key, const char* default_value) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsString() ? default_value
                                                                     : string_of(member->value);
}

double number_or(const Value& object, const char* key, double default_value) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsNumber() ? default_value
                                                                     : member->value.GetDouble();
}

bool bool_or(const Value& object, const char* key, bool default_value) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsBool() ? default_value : member->value.GetBool();
}

Milliseconds milliseconds_or(const Value& object, const char* key, Milliseconds default_value) {
    const double value = number_or(object, key, static_cast<double>(default_value.count()));
    constexpr double max_milliseconds = 1e12; // about 30 years; larger values are clamped to it
    return Milliseconds(static_cast<std::int64_t>(std::min(value, max_milliseconds)));
}

RouteClass parse_route_class(const std::string& text) {
    if (text == "safe") return RouteClass::safe;
    return text == "streaming" ? RouteClass::streaming : RouteClass::non_idempotent;
}

Route read_route(const Value& json) {
    Route route;
    route.name = string_or(json, "name", "");
    route.host = normalize_host(string_or(json, "host", ""));
    route.path_prefix = string_or(json, "pathPrefix", "");
    route.route_class = parse_route_class(string_or(json, "routeClass", ""));
    route.timeout = milliseconds_or(json, "timeoutMs", Milliseconds(0));
    route.target = milliseconds_or(json, "targetMs", route.timeout);
    route.priority = static_cast<unsigned>(number_or(json, "priority", 0));
    route.max_attempts = static_cast<unsigned>(number_or(json, "maxAttempts", 1));
    route.affinity = bool_or(json, "affinity", false);
    route.resumable = bool_or(json, "resumable", false);
    route.max_gap = milliseconds_or(json, "gap_aim_ms", Milliseconds(0));
    if (json.HasMember("homeRegions"))
        for (const Value& region : json["homeRegions"].GetArray())
            route.home_regions.push_back(string_of(region));
    if (json.HasMember("distribution"))
        for (const Value& weighted_service : json["distribution"].GetArray())
            route.distribution.push_back(
                {string_or(weighted_service, "service", ""), number_or(weighted_service, "weight", 0)});
    else if (json.HasMember("service"))
        route.distribution.push_back({string_or(json, "service", ""), 1});
    return route;
}

Service read_service(const Value& json) {
    constexpr double ms_per_s = 1000;
    Service service;
    service.name = string_or(json, "name", "");
    service.health_path = string_or(json, "healthPath", "/health");
    service.max_connections = static_cast<std::size_t>(number_or(json, "maxConnections", 0));
    service.cold_start = Milliseconds(static_cast<std::int64_t>(number_or(json, "coldStartS", 0) * ms_per_s));
    service.cold_rate_per_s = number_or(json, "coldRateS", 0);
    const auto engine = json.FindMember("engine");
    if (engine != json.MemberEnd() && engine->value.IsObject()) {
        service.has_engine = true;
        service.engine_capacity = static_cast<std::size_t>(number_or(engine->value, "capacity", 0));
        service.cache_tokens = static_cast<std::uint64_t>(number_or(engine->value, "cacheTokens", 0));
    }
    return service;
}

Limits read_limits(const Value& document) {
    Limits parsed;
    const auto member = document.FindMember("limits");
    if (member == document.MemberEnd()) return parsed;
    const Value& json = member->value;
    parsed.max_header_bytes = static_cast<std::size_t>(
        number_or(json, "maxHeaderBytes", static_cast<double>(parsed.max_header_bytes)));
    parsed.max_body_bytes =
        static_cast<std::size_t>(number_or(json, "maxBodyBytes", static_cast<double>(parsed.max_body_bytes)));
    parsed.header_timeout = milliseconds_or(json, "headerTimeoutMs", parsed.header_timeout);
    parsed.idle_timeout = milliseconds_or(json, "idleTimeoutMs", parsed.idle_timeout);
    return parsed;
}

std::optional<Error> check_weights(const Route& route, const std::set<std::string_view>& services) {
    double total_weight = 0;
    for (const WeightedService& weighted_service : route.distribution) {
        if (!services.contains(weighted_service.service))
            return invalid_configuration_error(
                fmt::format("route \"{}\": no service \"{}\"", route.name, weighted_service.service));
        total_weight += weighted_service.weight;
    }
    if (total_weight <= 0)
        return invalid_configuration_error(fmt::format("route \"{}\": the weights add up to 0", route.name));
    return std::nullopt;
}

// Checks what the schema cannot express: unique service names, unique pairs of host and path prefix, and
// references to services.
std::optional<Error> check_consistency(const Configuration& configuration) {
    std::set<std::string_view> services;
    for (const Service& service : configuration.services)
        if (!services.insert(service.name).second)
            return invalid_configuration_error(fmt::format("service \"{}\" stands twice", service.name));
    std::set<std::pair<std::string_view, std::string_view>> hosts_and_prefixes;
    for (const Route& route : configuration.routes) {
        if (!hosts_and_prefixes.emplace(route.host, route.path_prefix).second)
            return invalid_configuration_error(
                fmt::format("two routes at {}{}", route.host, route.path_prefix));
        if (auto error = check_weights(route, services)) return error;
        if (route.timeout <= Milliseconds(0))
            return invalid_configuration_error(fmt::format("route \"{}\": timeoutMs is under 1", route.name));
    }
    return std::nullopt;
}

} // namespace

std::string normalize_host(std::string_view host) {
    if (const std::size_t colon = host.rfind(':'); colon != std::string_view::npos)
        host = host.substr(0, colon);
    std::string normalized(host);
    std::ranges::transform(normalized, normalized.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

const Service* Configuration::find_service(std::string_view name) const {
    const auto found = std::ranges::find(services, name, &Service::name);
    return found == services.end() ? nullptr : &*found;
}

Result<Configuration> parse(std::string_view text) {
    rapidjson::Document document;
    if (const auto error = read_json(text, schema(), document)) return *error;

    Configuration configuration;
    configuration.version = document["configVersion"].IsUint64() ? document["configVersion"].GetUint64() : 0;
    for (const Value& route : document["routes"].GetArray())
        configuration.routes.push_back(read_route(route));
    for (const Value& service : document["services"].GetArray())
        configuration.services.push_back(read_service(service));
    configuration.limits = read_limits(document);
    if (auto error = check_consistency(configuration)) return *error;
    return configuration;
}

namespace {

std::set<std::string> read_removals(const Value& patch, const char* key) {
    std::set<std::string> names;
    const auto list = patch["remove"].FindMember(key);
    if (list == patch["remove"].MemberEnd()) return names;
    for (const Value& name : list->value.GetArray())
        names.insert(string_of(name));
    return names;
}

// Returns the items of an `upsert` list by name.
template <class Item, class Read>
std::map<std::string, Item> read_upserts(const Value& patch, const char* key, Read read) {
    std::map<std::string, Item> items_by_name;
    const auto list = patch["upsert"].FindMember(key);
    if (list == patch["upsert"].MemberEnd()) return items_by_name;
    for (const Value& item : list->value.GetArray())
        items_by_name.emplace(string_of(item["name"]), read(item));
    return items_by_name;
}

// Replaces, appends and removes the items of a list by name, as the patch says.
template <class Item, class Read>
void alter_list(std::vector<Item>& items, const Value& patch, const char* key, Read read) {
    auto upserts = read_upserts<Item>(patch, key, read);
    const auto removals = read_removals(patch, key);
    std::erase_if(items, [&](const Item& item) { return removals.contains(item.name); });
    for (Item& item : items) {
        const auto upsert = upserts.find(item.name);
        if (upsert == upserts.end()) continue;
        item = std::move(upsert->second);
        upserts.erase(upsert);
    }
    for (auto& [name, item] : upserts)
        items.push_back(std::move(item));
}

const rapidjson::SchemaDocument& difference_schema() {
    static const rapidjson::SchemaDocument compiled = compile_schema(difference_schema_text);
    return compiled;
}

} // namespace

Result<Configuration> apply_difference(const Configuration& base, std::string_view patch) {
    rapidjson::Document document;
    if (const auto error = read_json(patch, difference_schema(), document)) return *error;
    Configuration patched = base;
    patched.version = document["configVersion"].GetUint64();
    alter_list(patched.routes, document, "routes", read_route);
    alter_list(patched.services, document, "services", read_service);
    return patched;
}

RouteTable::RouteTable(const Configuration& configuration) {
    for (const Route& route : configuration.routes)
        by_host_[route.host].push_back(&route);
    for (auto& [host, routes] : by_host_)
        std::ranges::sort(routes, std::greater<>(),
                          [](const Route* route) { return route->path_prefix.size(); });
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    const auto routes = by_host_.find(normalize_host(host));
    if (routes == by_host_.end()) return nullptr;
    for (const Route* route : routes->second)
        if (path.starts_with(route->path_prefix)) return route;
    return nullptr;
}

} // namespace willowrill::configuration
