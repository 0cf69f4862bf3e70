#include "scheduler/config/settings.h"

#include "scheduler/net/file.h"
#include "scheduler/net/http.h"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace willowrill::config {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;
using willowrill::Duration;
using willowrill::Effect;
using willowrill::Index;
using willowrill::RepeatScope;
using willowrill::Report;

// The remembered list is in it: some hundred bytes a worker.
constexpr std::size_t max_bytes = 16U << 20U;

[[noreturn]] void bad(std::string_view key, std::string_view wanted) {
    throw ConfigError("'" + std::string(key) + "' must be " + std::string(wanted));
}

// Absent and null are the same: the fallback holds. A value of the wrong type is an error.
std::optional<element> find(const object& from, std::string_view key) {
    element value;
    if (from[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

// An absent section reads like an empty one. (simdjson's own default values must not be looked into.)
template <class Section> Section empty(std::string_view json) {
    static simdjson::dom::parser parser;
    static const element parsed = parser.parse(simdjson::padded_string(json));
    return parsed.get<Section>();
}

object section(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return empty<object>("{}");
    object out;
    if (value->get(out) != simdjson::SUCCESS) bad(key, "an object");
    return out;
}

simdjson::dom::array list(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return empty<simdjson::dom::array>("[]");
    simdjson::dom::array out;
    if (value->get(out) != simdjson::SUCCESS) bad(key, "an array");
    return out;
}

std::string text(const object& from, std::string_view key, std::string_view fallback = "") {
    const auto value = find(from, key);
    if (!value) return std::string(fallback);
    std::string_view out;
    if (value->get(out) != simdjson::SUCCESS) bad(key, "a string");
    return std::string(out);
}

// None of the figures can sensibly be negative.
double number(const object& from, std::string_view key, double fallback = 0, double most = 1e12) {
    const auto value = find(from, key);
    if (!value) return fallback;
    double out = 0;
    if (value->get(out) != simdjson::SUCCESS) bad(key, "a number");
    if (!(out >= 0 && out <= most)) bad(key, "a number, neither negative nor huge");
    return out;
}

double share(const object& from, std::string_view key, double fallback) {
    const double out = number(from, key, fallback);
    if (out > 1) bad(key, "a share from 0 to 1");
    return out;
}

bool flag(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return false;
    bool out = false;
    if (value->get(out) != simdjson::SUCCESS) bad(key, "true or false");
    return out;
}

constexpr double most_whole = 9e15, most_count = 1e6; // counts become indices, sizes of tables, factors

std::size_t whole(const object& from, std::string_view key, std::size_t fallback = 0,
                  double most = most_whole) {
    const double value = number(from, key, static_cast<double>(fallback), 1e300);
    if (value != std::floor(value) || value > most)
        bad(key, "a whole number, not above " + std::to_string(static_cast<std::uint64_t>(most)));
    return static_cast<std::size_t>(value);
}

Duration duration(const object& from, std::string_view key) {
    return Duration(static_cast<Duration::rep>(whole(from, key)));
}

template <class Value, std::size_t Count>
Value word(const object& from, std::string_view key,
           const std::array<std::pair<std::string_view, Value>, Count>& words) {
    const std::string given = text(from, key, words.front().first);
    for (const auto& [name, value] : words) {
        if (name == given) return value;
    }
    bad(key, "one of the known words, and is '" + given + "'");
}

std::vector<std::string> names_in(const object& settings, std::string_view key) {
    std::vector<std::string> names;
    for (const element item : list(settings, key)) {
        object named;
        std::string_view plain;
        if (item.get(named) == simdjson::SUCCESS) {
            names.push_back(text(named, "name"));
        } else if (item.get(plain) == simdjson::SUCCESS) {
            names.emplace_back(plain);
        }
        if (names.empty() || names.back().empty()) bad(key, "an array of names");
    }
    return names;
}

// simdjson takes the first of two keys without a word; a reader of the file may well take the last.
void refuse_doubled(const element& at, std::string_view name) {
    object fields;
    simdjson::dom::array items;
    if (at.get(fields) == simdjson::SUCCESS) {
        std::vector<std::string_view> keys;
        for (const auto& [key, value] : fields) {
            keys.push_back(key);
            refuse_doubled(value, key);
        }
        std::ranges::sort(keys);
        if (const auto twice = std::ranges::adjacent_find(keys); twice != keys.end())
            throw ConfigError("'" + std::string(*twice) + "' stands twice" +
                              (name.empty() ? "" : " in '" + std::string(name) + "'"));
    } else if (at.get(items) == simdjson::SUCCESS) {
        for (const element item : items)
            refuse_doubled(item, name);
    }
}

// What stands at a class's place in an array of the family's facts.
double of_class(const object& family, std::string_view key, std::size_t place, double fallback) {
    const auto values = list(family, key);
    double value = fallback;
    if (place < values.size() && values.at(place).get(value) != simdjson::SUCCESS)
        bad(key, "an array of numbers");
    return value;
}

willowrill::JobClass read_class(const object& from, const object& family, std::size_t place,
                                std::size_t kinds) {
    constexpr std::array<std::pair<std::string_view, Effect>, 3> effects{{{"non_idempotent", Effect::once},
                                                                          {"idempotency_key", Effect::keyed},
                                                                          {"read_like", Effect::repeatable}}};
    constexpr std::array<std::pair<std::string_view, RepeatScope>, 3> scopes{
        {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::cell}}};
    willowrill::JobClass out;
    out.effect = word(from, "effect", effects);
    out.repeat_scope = word(from, "dedup_scope", scopes);
    out.repeat_window = duration(from, "window_ns");
    out.aim = duration(from, "aim_ns");
    const double stretch = of_class(family, "class_stretch", place, 0);
    if (!(stretch >= 0)) bad("class_stretch", "numbers, not negative");
    out.aim_stretch = number(from, "aim_stretch", stretch);
    out.give_up = duration(from, "hard_limit_ns");
    if (out.give_up <= Duration(0)) bad("hard_limit_ns", "more than 0");
    out.worth = number(from, "worth", 1);
    out.late_worth = share(from, "late_share", 0);
    // The module's tables are as long as the kinds that the settings name.
    const double kind = of_class(family, "class_kind", place, -1);
    if (kind >= 0 && !(kind == std::floor(kind) && kind < static_cast<double>(kinds)))
        bad("class_kind", "places in 'kinds', or -1");
    out.kind = kind < 0 ? willowrill::none : static_cast<Index>(kind);
    return out;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void read_decisions(const object& json, Settings& out) {
    Names& names = out.names;
    names.classes = names_in(json, "classes");
    names.tenants = names_in(json, "tenants");
    names.zones = names_in(json, "zones");
    names.kinds = names_in(json, "kinds");
    if (names.classes.empty()) bad("classes", "an array with one class at least");
    for (auto name = names.classes.begin(); name != names.classes.end(); ++name) {
        if (std::find(names.classes.begin(), name, *name) != name)
            bad("classes", "an array of different names, and has '" + *name + "' twice");
    }

    willowrill::Settings& to = out.dispatcher;
    to.self = static_cast<Index>(whole(json, "slot_no", 0, most_count));
    to.dispatchers = static_cast<Index>(std::max<std::size_t>(1, whole(json, "balancers", 1, most_count)));
    if (to.self >= to.dispatchers) bad("slot_no", "less than 'balancers', which count from 0");
    to.zone = Names::find_or_add(names.zones, text(json, "zone"));
    to.zones = static_cast<Index>(names.zones.size());
    to.kinds = static_cast<Index>(names.kinds.size());
    const object family = section(json, "family_info");
    for (const element item : list(json, "classes")) {
        object named;
        if (item.get(named) != simdjson::SUCCESS) bad("classes", "an array of objects");
        to.classes.push_back(read_class(named, family, to.classes.size(), names.kinds.size()));
    }
    for (const element item : list(json, "tenants")) {
        object named;
        if (item.get(named) != simdjson::SUCCESS) named = empty<object>("{}");
        to.tenants.push_back({.share = number(named, "share"), .quota_per_s = number(named, "quota_rps")});
    }
    to.over_quota_worth = share(json, "over_share_worth", 1);
    to.worth_by_work = text(json, "counted_by", "request") == "work";
    to.tick = duration(json, "tick_ns");
    if (to.tick > std::chrono::seconds(1)) bad("tick_ns", "a second at most: jobs wait for it");
    to.list_on_request = text(json, "discovery", "push") == "ask";
    to.tells_start = flag(family, "tells_start");
    to.progress_period = duration(family, "progress_ns");
    const std::string via = text(section(json, "reporting"), "via", "silent");
    to.reports_with_answers = via == "piggyback";
    to.reports_with_probes = to.reports_with_answers || via == "pull";

    const object limits = section(json, "limits");
    to.probes = flag(limits, "probes");
    if (to.probes && !to.reports_with_probes)
        out.warnings.emplace_back("probes are allowed but carry no load report: none is sent");
    if (!to.probes && via == "pull")
        out.warnings.emplace_back(
            "load reports come by probe alone, and probes are not allowed: load is learnt from own "
            "sends, starts and answers");
    to.may_cancel = flag(limits, "cancel");
    to.second_copies = flag(limits, "second_copies");
    to.clients_honor_retry_after = flag(limits, "retry_after");
    to.marks_retry = flag(section(json, "clients"), "marks_retry");
    to.max_attempts = static_cast<Index>(whole(limits, "max_attempts", 1, most_count));
    if (to.max_attempts == 0) bad("max_attempts", "more than 0");
    to.max_retry_after = duration(limits, "max_retry_after_ns");
    to.cross_zone_price = number(section(json, "prices"), "cross_zone");
    to.handshake_price = number(section(json, "prices"), "handshake");
    to.probe_price = number(section(json, "prices"), "probe");
    out.connection_idle = to.connection_idle = duration(limits, "conn_idle_ns");
    out.connect_timeout = to.connect_timeout = duration(limits, "connect_timeout_ns");
    out.max_open_requests = whole(limits, "max_open");

    const object safety = section(json, "safety");
    to.answer_slack = duration(safety, "answer_slack_ns");
    to.drain_grace = duration(safety, "stop_sending_within_ns");
    to.list_valid = duration(safety, "ask_within_ns");
    to.cold_time = duration(safety, "cold_ns");
    to.cold_capacity = share(safety, "start_capacity", 1);
    to.overload_multiple = number(safety, "fall_multiple");
    to.overload_time = duration(safety, "fall_ns");
}

std::vector<ReportFieldNames> read_report_fields(const object& reporting) {
    const std::array<ReportFieldNames, 8> known{{{"load_share", "util", &Report::utilisation},
                                                 {"depth", "queue", &Report::queued},
                                                 {"concurrent", "inflight", &Report::in_flight},
                                                 {"x0", "x0", &Report::free_slots},
                                                 {"x1", "x1", &Report::free_memory},
                                                 {"mean_ms", "latency_ms", &Report::service_ms},
                                                 {"tps", "qps", &Report::served_per_s},
                                                 {"err_ps", "eps", &Report::errors_per_s}}};
    std::vector<ReportFieldNames> out;
    for (const element item : list(reporting, "fields")) {
        std::string_view name;
        if (item.get(name) != simdjson::SUCCESS) bad("fields", "an array of names");
        for (const ReportFieldNames& field : known) {
            if (field.setting_name == name) out.push_back(field);
        }
    }
    return out;
}

// The one that holds, and the one in the file.
std::pair<net::Endpoint, net::Endpoint> endpoints(const object& json, const char* key,
                                                  const Environment& environment, const char* variable) {
    const auto read = [](const char* from, const std::string& given) {
        const auto out = net::Endpoint::parse(given);
        if (!out) bad(from, "an address and port such as 127.0.0.1:5000");
        return *out;
    };
    const char* given = environment(variable);
    if (given == nullptr) {
        const net::Endpoint both = read(key, text(json, key));
        return {both, both};
    }
    const net::Endpoint first = read(variable, given);
    return {first, find(json, key) ? read(key, text(json, key)) : first};
}

} // namespace

Index Names::find(const std::vector<std::string>& names, std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return static_cast<Index>(i);
    }
    return willowrill::none;
}

Index Names::find_or_add(std::vector<std::string>& names, std::string_view name) {
    const Index known = find(names, name);
    if (known != willowrill::none) return known;
    names.emplace_back(name);
    return static_cast<Index>(names.size() - 1);
}

Settings parse(std::string_view config, const Environment& environment) {
    simdjson::dom::parser parser;
    element root;
    object json;
    if (const auto error = parser.parse(simdjson::padded_string(config)).get(root);
        error != simdjson::SUCCESS)
        throw ConfigError(std::string("the configuration is not JSON: ") + simdjson::error_message(error));
    if (root.get(json) != simdjson::SUCCESS) throw ConfigError("the configuration must be an object");
    refuse_doubled(root, "");

    Settings out;
    const char* name = environment("PROXY_NAME");
    out.name_in_file = text(json, "name", "willowrill");
    out.name = name != nullptr ? name : out.name_in_file;
    std::tie(out.listen, out.listen_in_file) = endpoints(json, "listen", environment, "PROXY_LISTEN");
    std::tie(out.discovery, out.discovery_in_file) =
        endpoints(json, "discovery", environment, "PROXY_DISCOVERY");
    out.mgmt_in_file = text(json, "mgmt");
    if (environment("PROXY_MGMT") != nullptr || !out.mgmt_in_file.empty())
        out.mgmt = endpoints(json, "mgmt", environment, "PROXY_MGMT").first;
    const object limits = section(json, "limits");
    out.memory_mb = whole(limits, "memory_mb", 192, most_count);
    if (out.memory_mb == 0) bad("memory_mb", "more than 0");
    out.max_sockets = whole(limits, "sockets", 1024, most_count);
    if (out.max_sockets < 64) bad("sockets", "64 or more");
    if (!find(json, "settings")) throw ConfigError("'settings' is missing");
    read_decisions(section(json, "settings"), out);
    out.settings_json_in_file = simdjson::minify(section(json, "settings"));
    const std::string seed = text(json, "seed", "0");
    const auto seed_value = net::http::parse_unsigned(seed, 16);
    if (!seed_value) bad("seed", "a hexadecimal number of 64 bits at most");
    out.dispatcher.seed = *seed_value;
    out.report_fields = read_report_fields(section(section(json, "settings"), "reporting"));
    if (const auto known = find(json, "known")) out.remembered_list_json = simdjson::minify(*known);
    if (out.connection_idle <= Duration(0)) bad("conn_idle_ns", "more than 0");
    if (out.connect_timeout <= Duration(0)) bad("connect_timeout_ns", "more than 0");
    if (out.max_open_requests == 0) bad("max_open", "more than 0");
    return out;
}

std::size_t max_connections_per_side(const Settings& settings, std::size_t descriptors) {
    // What a connection of either side holds when it has read a body that is not yet whole. Three fifths of
    // the memory are for these, a quarter for messages that are open, and the rest for all else.
    constexpr std::size_t both = 2 * (net::http::max_body_bytes + net::http::input_buffer_bytes);
    const std::size_t sockets =
        std::max(std::min(settings.max_sockets, descriptors), 2 * reserved_descriptors);
    const std::size_t fitting = settings.memory_mb * (1U << 20U) / 5 * 3 / both;
    return std::clamp<std::size_t>((sockets - reserved_descriptors) / 2, 1,
                                   std::max<std::size_t>(1, fitting));
}

std::size_t max_message_bytes(const Settings& settings) { return settings.memory_mb * (1U << 20U) / 4; }

Settings read(const Environment& environment) {
    const char* path = environment("PROXY_CONFIG");
    if (path == nullptr || *path == '\0') throw ConfigError("PROXY_CONFIG names no configuration file");
    std::string why;
    const auto content = net::read_file(path, max_bytes, why);
    if (!content) throw ConfigError("the configuration '" + std::string(path) + "' " + why);
    return parse(*content, environment);
}

} // namespace willowrill::config
