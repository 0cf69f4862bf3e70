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

std::string text_or(const Value& object, const char* key, const char* otherwise) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsString() ? otherwise : text_of(member->value);
}

double number_or(const Value& object, const char* key, double otherwise) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsNumber() ? otherwise : member->value.GetDouble();
}

bool flag_or(const Value& object, const char* key, bool otherwise) {
    const auto member = object.FindMember(key);
    return member == object.MemberEnd() || !member->value.IsBool() ? otherwise : member->value.GetBool();
}

Milliseconds milliseconds_or(const Value& object, const char* key, Milliseconds otherwise) {
    const double value = number_or(object, key, static_cast<double>(otherwise.count()));
    constexpr double longest = 1e12; // 30 years: more is taken for that
    return Milliseconds(static_cast<std::int64_t>(std::min(value, longest)));
}

RouteClass class_of(const std::string& text) {
    if (text == "safe") return RouteClass::safe;
    return text == "streaming" ? RouteClass::streaming : RouteClass::non_idempotent;
}

Route read_route(const Value& in) {
    Route out;
    out.name = text_or(in, "name", "");
    out.host = normal_host(text_or(in, "host", ""));
    out.path_prefix = text_or(in, "pathPrefix", "");
    out.route_class = class_of(text_or(in, "routeClass", ""));
    out.timeout = milliseconds_or(in, "timeoutMs", Milliseconds(0));
    out.target = milliseconds_or(in, "targetMs", out.timeout);
    out.priority = static_cast<unsigned>(number_or(in, "priority", 0));
    out.max_attempts = static_cast<unsigned>(number_or(in, "maxAttempts", 1));
    out.affinity = flag_or(in, "affinity", false);
    out.resumable = flag_or(in, "resumable", false);
    out.max_gap = milliseconds_or(in, "gap_aim_ms", Milliseconds(0));
    if (in.HasMember("homeRegions"))
        for (const Value& region : in["homeRegions"].GetArray())
            out.home_regions.push_back(text_of(region));
    if (in.HasMember("distribution"))
        for (const Value& part : in["distribution"].GetArray())
            out.distribution.push_back({text_or(part, "service", ""), number_or(part, "weight", 0)});
    else if (in.HasMember("service"))
        out.distribution.push_back({text_or(in, "service", ""), 1});
    return out;
}

Service read_service(const Value& in) {
    constexpr double ms_per_s = 1000;
    Service out;
    out.name = text_or(in, "name", "");
    out.health_path = text_or(in, "healthPath", "/health");
    out.max_connections = static_cast<std::size_t>(number_or(in, "maxConnections", 0));
    out.cold_start = Milliseconds(static_cast<std::int64_t>(number_or(in, "coldStartS", 0) * ms_per_s));
    out.cold_rate_per_s = number_or(in, "coldRateS", 0);
    const auto engine = in.FindMember("engine");
    if (engine != in.MemberEnd() && engine->value.IsObject()) {
        out.has_engine = true;
        out.engine_capacity = static_cast<std::size_t>(number_or(engine->value, "capacity", 0));
        out.cache_tokens = static_cast<std::uint64_t>(number_or(engine->value, "cacheTokens", 0));
    }
    return out;
}

Limits read_limits(const Value& document) {
    Limits out;
    const auto limits = document.FindMember("limits");
    if (limits == document.MemberEnd()) return out;
    const Value& in = limits->value;
    out.max_header_bytes =
        static_cast<std::size_t>(number_or(in, "maxHeaderBytes", static_cast<double>(out.max_header_bytes)));
    out.max_body_bytes =
        static_cast<std::size_t>(number_or(in, "maxBodyBytes", static_cast<double>(out.max_body_bytes)));
    out.header_timeout = milliseconds_or(in, "headerTimeoutMs", out.header_timeout);
    out.idle_timeout = milliseconds_or(in, "idleTimeoutMs", out.idle_timeout);
    return out;
}

std::optional<Error> check_weights(const Route& route, const std::set<std::string_view>& services) {
    double sum = 0;
    for (const WeightedService& part : route.distribution) {
        if (!services.contains(part.service))
            return invalid(fmt::format("route \"{}\": no service \"{}\"", route.name, part.service));
        sum += part.weight;
    }
    if (sum <= 0) return invalid(fmt::format("route \"{}\": the weights add up to 0", route.name));
    return std::nullopt;
}

// Checks what the schema cannot express: unique names and places, and references to services.
std::optional<Error> check_consistency(const Configuration& configuration) {
    std::set<std::string_view> services;
    for (const Service& service : configuration.services)
        if (!services.insert(service.name).second)
            return invalid(fmt::format("service \"{}\" stands twice", service.name));
    std::set<std::pair<std::string_view, std::string_view>> hosts_and_prefixes;
    for (const Route& route : configuration.routes) {
        if (!hosts_and_prefixes.emplace(route.host, route.path_prefix).second)
            return invalid(fmt::format("two routes at {}{}", route.host, route.path_prefix));
        if (auto error = check_weights(route, services)) return error;
        if (route.timeout <= Milliseconds(0))
            return invalid(fmt::format("route \"{}\": timeoutMs is under 1", route.name));
    }
    return std::nullopt;
}

} // namespace

std::string normal_host(std::string_view host) {
    if (const std::size_t colon = host.rfind(':'); colon != std::string_view::npos)
        host = host.substr(0, colon);
    std::string out(host);
    std::ranges::transform(out, out.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

const Service* Configuration::find_service(std::string_view name) const {
    const auto found = std::ranges::find(services, name, &Service::name);
    return found == services.end() ? nullptr : &*found;
}

Result<Configuration> parse(std::string_view text) {
    rapidjson::Document document;
    if (const auto error = read_json(text, schema(), document)) return *error;

    Configuration out;
    out.version = document["configVersion"].IsUint64() ? document["configVersion"].GetUint64() : 0;
    for (const Value& route : document["routes"].GetArray())
        out.routes.push_back(read_route(route));
    for (const Value& service : document["services"].GetArray())
        out.services.push_back(read_service(service));
    out.limits = read_limits(document);
    if (auto error = check_consistency(out)) return *error;
    return out;
}

namespace {

std::set<std::string> read_removals(const Value& patch, const char* key) {
    std::set<std::string> out;
    const auto list = patch["remove"].FindMember(key);
    if (list == patch["remove"].MemberEnd()) return out;
    for (const Value& name : list->value.GetArray())
        out.insert(text_of(name));
    return out;
}

// By name.
template <class Item, class Read>
std::map<std::string, Item> read_upserts(const Value& patch, const char* key, Read read) {
    std::map<std::string, Item> out;
    const auto list = patch["upsert"].FindMember(key);
    if (list == patch["upsert"].MemberEnd()) return out;
    for (const Value& item : list->value.GetArray())
        out.emplace(text_of(item["name"]), read(item));
    return out;
}

// Replaces, appends and removes items of a list by name.
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

Result<Configuration> altered(const Configuration& base, std::string_view patch) {
    rapidjson::Document document;
    if (const auto error = read_json(patch, difference_schema(), document)) return *error;
    Configuration out = base;
    out.version = document["configVersion"].GetUint64();
    alter_list(out.routes, document, "routes", read_route);
    alter_list(out.services, document, "services", read_service);
    return out;
}

RouteTable::RouteTable(const Configuration& configuration) {
    for (const Route& route : configuration.routes)
        by_host_[route.host].push_back(&route);
    for (auto& [host, routes] : by_host_)
        std::ranges::sort(routes, std::greater<>(),
                          [](const Route* route) { return route->path_prefix.size(); });
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    const auto routes = by_host_.find(normal_host(host));
    if (routes == by_host_.end()) return nullptr;
    for (const Route* route : routes->second)
        if (path.starts_with(route->path_prefix)) return route;
    return nullptr;
}

} // namespace willowrill::configuration
