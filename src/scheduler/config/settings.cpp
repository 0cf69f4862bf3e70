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

// The file contains the remembered list, which takes a few hundred bytes per worker.
constexpr std::size_t max_file_bytes = 16U << 20U;

[[noreturn]] void throw_invalid(std::string_view key, std::string_view expected) {
    throw ConfigError("'" + std::string(key) + "' must be " + std::string(expected));
}

// Returns the value of a key. A null value counts as absent.
std::optional<element> find(const object& from, std::string_view key) {
    element value;
    if (from[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

// Returns an empty object or array that stands in for an absent one. A default-constructed simdjson value
// must not be accessed.
template <class Section> Section parse_empty(std::string_view json) {
    static simdjson::dom::parser parser;
    static const element parsed = parser.parse(simdjson::padded_string(json));
    return parsed.get<Section>();
}

object object_or_empty(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return parse_empty<object>("{}");
    object result;
    if (value->get(result) != simdjson::SUCCESS) throw_invalid(key, "an object");
    return result;
}

simdjson::dom::array array_or_empty(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return parse_empty<simdjson::dom::array>("[]");
    simdjson::dom::array result;
    if (value->get(result) != simdjson::SUCCESS) throw_invalid(key, "an array");
    return result;
}

std::string read_string(const object& from, std::string_view key, std::string_view fallback = "") {
    const auto value = find(from, key);
    if (!value) return std::string(fallback);
    std::string_view result;
    if (value->get(result) != simdjson::SUCCESS) throw_invalid(key, "a string");
    return std::string(result);
}

// Reads a number from 0 to `max_value`. No setting takes negative numbers.
double read_number(const object& from, std::string_view key, double fallback = 0, double max_value = 1e12) {
    const auto value = find(from, key);
    if (!value) return fallback;
    double result = 0;
    if (value->get(result) != simdjson::SUCCESS) throw_invalid(key, "a number");
    if (!(result >= 0 && result <= max_value))
        throw_invalid(key, "a number that is neither negative nor too large");
    return result;
}

double read_fraction(const object& from, std::string_view key, double fallback) {
    const double result = read_number(from, key, fallback);
    if (result > 1) throw_invalid(key, "a fraction from 0 to 1");
    return result;
}

bool read_bool(const object& from, std::string_view key) {
    const auto value = find(from, key);
    if (!value) return false;
    bool result = false;
    if (value->get(result) != simdjson::SUCCESS) throw_invalid(key, "true or false");
    return result;
}

// Integers are read as doubles, which are exact up to 2^53, about 9.007e15. Counts become indices, table
// sizes and factors, and are bounded more tightly.
constexpr double max_integer = 9e15, max_count = 1e6;

std::size_t read_integer(const object& from, std::string_view key, std::size_t fallback = 0,
                         double max_value = max_integer) {
    const double value = read_number(from, key, static_cast<double>(fallback), 1e300);
    if (value != std::floor(value) || value > max_value)
        throw_invalid(key,
                      "a whole number, not above " + std::to_string(static_cast<std::uint64_t>(max_value)));
    return static_cast<std::size_t>(value);
}

Duration read_duration(const object& from, std::string_view key) {
    return Duration(static_cast<Duration::rep>(read_integer(from, key)));
}

template <class Value, std::size_t Count>
Value read_enum(const object& from, std::string_view key,
                const std::array<std::pair<std::string_view, Value>, Count>& choices) {
    const std::string text = read_string(from, key, choices.front().first);
    for (const auto& [name, value] : choices) {
        if (name == text) return value;
    }
    throw_invalid(key, "a known value, but is '" + text + "'");
}

std::vector<std::string> read_names(const object& json, std::string_view key) {
    std::vector<std::string> names;
    for (const element item : array_or_empty(json, key)) {
        object named_item;
        std::string_view plain_name;
        if (item.get(named_item) == simdjson::SUCCESS) {
            names.push_back(read_string(named_item, "name"));
        } else if (item.get(plain_name) == simdjson::SUCCESS) {
            names.emplace_back(plain_name);
        }
        if (names.empty() || names.back().empty()) throw_invalid(key, "an array of names");
    }
    return names;
}

// Rejects objects with duplicate keys at any depth. simdjson silently uses the first of them, while a reader
// of the file may expect the last.
void reject_duplicate_keys(const element& value, std::string_view parent) {
    object fields;
    simdjson::dom::array items;
    if (value.get(fields) == simdjson::SUCCESS) {
        std::vector<std::string_view> keys;
        for (const auto& [key, child] : fields) {
            keys.push_back(key);
            reject_duplicate_keys(child, key);
        }
        std::ranges::sort(keys);
        if (const auto duplicate = std::ranges::adjacent_find(keys); duplicate != keys.end())
            throw ConfigError("'" + std::string(*duplicate) + "' occurs twice" +
                              (parent.empty() ? "" : " in '" + std::string(parent) + "'"));
    } else if (value.get(items) == simdjson::SUCCESS) {
        for (const element item : items)
            reject_duplicate_keys(item, parent);
    }
}

// Returns the value for a class from an array of `family_info` that is ordered like the classes.
double class_value(const object& family, std::string_view key, std::size_t class_index, double fallback) {
    const auto values = array_or_empty(family, key);
    double value = fallback;
    if (class_index < values.size() && values.at(class_index).get(value) != simdjson::SUCCESS)
        throw_invalid(key, "an array of numbers");
    return value;
}

willowrill::JobClass read_class(const object& from, const object& family, std::size_t class_index,
                                std::size_t kinds) {
    constexpr std::array<std::pair<std::string_view, Effect>, 3> effects{{{"non_idempotent", Effect::once},
                                                                          {"idempotency_key", Effect::keyed},
                                                                          {"read_like", Effect::repeatable}}};
    constexpr std::array<std::pair<std::string_view, RepeatScope>, 3> scopes{
        {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::cell}}};
    willowrill::JobClass job_class;
    job_class.effect = read_enum(from, "effect", effects);
    job_class.repeat_scope = read_enum(from, "dedup_scope", scopes);
    job_class.repeat_window = read_duration(from, "window_ns");
    job_class.aim = read_duration(from, "aim_ns");
    const double stretch = class_value(family, "class_stretch", class_index, 0);
    if (!(stretch >= 0)) throw_invalid("class_stretch", "non-negative numbers");
    job_class.aim_stretch = read_number(from, "aim_stretch", stretch);
    job_class.give_up = read_duration(from, "hard_limit_ns");
    if (job_class.give_up <= Duration(0)) throw_invalid("hard_limit_ns", "more than 0");
    job_class.worth = read_number(from, "worth", 1);
    job_class.late_worth = read_fraction(from, "late_share", 0);
    // The dispatcher's tables have one entry per kind that the settings list.
    const double kind = class_value(family, "class_kind", class_index, -1);
    if (kind >= 0 && !(kind == std::floor(kind) && kind < static_cast<double>(kinds)))
        throw_invalid("class_kind", "positions in 'kinds', or -1");
    job_class.kind = kind < 0 ? willowrill::none : static_cast<Index>(kind);
    return job_class;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void read_dispatcher_settings(const object& json, Settings& settings) {
    Names& names = settings.names;
    names.classes = read_names(json, "classes");
    names.tenants = read_names(json, "tenants");
    names.zones = read_names(json, "zones");
    names.kinds = read_names(json, "kinds");
    if (names.classes.empty()) throw_invalid("classes", "an array with at least one class");
    for (auto name = names.classes.begin(); name != names.classes.end(); ++name) {
        if (std::find(names.classes.begin(), name, *name) != name)
            throw_invalid("classes", "an array of distinct names, but has '" + *name + "' twice");
    }

    willowrill::Settings& dispatcher = settings.dispatcher;
    dispatcher.self = static_cast<Index>(read_integer(json, "slot_no", 0, max_count));
    dispatcher.dispatchers =
        static_cast<Index>(std::max<std::size_t>(1, read_integer(json, "balancers", 1, max_count)));
    if (dispatcher.self >= dispatcher.dispatchers)
        throw_invalid("slot_no", "less than 'balancers' (counted from 0)");
    dispatcher.zone = Names::find_or_add(names.zones, read_string(json, "zone"));
    dispatcher.zones = static_cast<Index>(names.zones.size());
    dispatcher.kinds = static_cast<Index>(names.kinds.size());
    const object family = object_or_empty(json, "family_info");
    for (const element item : array_or_empty(json, "classes")) {
        object named;
        if (item.get(named) != simdjson::SUCCESS) throw_invalid("classes", "an array of objects");
        dispatcher.classes.push_back(
            read_class(named, family, dispatcher.classes.size(), names.kinds.size()));
    }
    for (const element item : array_or_empty(json, "tenants")) {
        object named;
        if (item.get(named) != simdjson::SUCCESS) named = parse_empty<object>("{}");
        dispatcher.tenants.push_back(
            {.share = read_number(named, "share"), .quota_per_s = read_number(named, "quota_rps")});
    }
    dispatcher.over_quota_worth = read_fraction(json, "over_share_worth", 1);
    dispatcher.worth_by_work = read_string(json, "counted_by", "request") == "work";
    dispatcher.tick = read_duration(json, "tick_ns");
    if (dispatcher.tick > std::chrono::seconds(1))
        throw_invalid("tick_ns", "at most one second: jobs wait for the tick");
    dispatcher.list_on_request = read_string(json, "discovery", "push") == "ask";
    dispatcher.tells_start = read_bool(family, "tells_start");
    dispatcher.progress_period = read_duration(family, "progress_ns");
    const std::string via = read_string(object_or_empty(json, "reporting"), "via", "silent");
    dispatcher.reports_with_answers = via == "piggyback";
    dispatcher.reports_with_probes = dispatcher.reports_with_answers || via == "pull";

    const object limits = object_or_empty(json, "limits");
    dispatcher.probes = read_bool(limits, "probes");
    if (dispatcher.probes && !dispatcher.reports_with_probes)
        settings.warnings.emplace_back("probes are allowed but carry no load report: none is sent");
    if (!dispatcher.probes && via == "pull")
        settings.warnings.emplace_back(
            "load reports come only with probes, and probes are not allowed: load is estimated from own "
            "sends, starts and answers");
    dispatcher.may_cancel = read_bool(limits, "cancel");
    dispatcher.second_copies = read_bool(limits, "second_copies");
    dispatcher.clients_honor_retry_after = read_bool(limits, "retry_after");
    dispatcher.marks_retry = read_bool(object_or_empty(json, "clients"), "marks_retry");
    dispatcher.max_attempts = static_cast<Index>(read_integer(limits, "max_attempts", 1, max_count));
    if (dispatcher.max_attempts == 0) throw_invalid("max_attempts", "more than 0");
    dispatcher.max_retry_after = read_duration(limits, "max_retry_after_ns");
    dispatcher.cross_zone_price = read_number(object_or_empty(json, "prices"), "cross_zone");
    dispatcher.handshake_price = read_number(object_or_empty(json, "prices"), "handshake");
    dispatcher.probe_price = read_number(object_or_empty(json, "prices"), "probe");
    settings.connection_idle = dispatcher.connection_idle = read_duration(limits, "conn_idle_ns");
    settings.connect_timeout = dispatcher.connect_timeout = read_duration(limits, "connect_timeout_ns");
    settings.max_open_requests = read_integer(limits, "max_open");

    const object safety = object_or_empty(json, "safety");
    dispatcher.answer_slack = read_duration(safety, "answer_slack_ns");
    dispatcher.drain_grace = read_duration(safety, "stop_sending_within_ns");
    dispatcher.list_valid = read_duration(safety, "ask_within_ns");
    dispatcher.cold_time = read_duration(safety, "cold_ns");
    dispatcher.cold_capacity = read_fraction(safety, "start_capacity", 1);
    dispatcher.overload_multiple = read_number(safety, "fall_multiple");
    dispatcher.overload_time = read_duration(safety, "fall_ns");
}

std::vector<ReportFieldNames> read_report_fields(const object& reporting) {
    const std::array<ReportFieldNames, 8> known_fields{{{"load_share", "util", &Report::utilisation},
                                                        {"depth", "queue", &Report::queued},
                                                        {"concurrent", "inflight", &Report::in_flight},
                                                        {"x0", "x0", &Report::free_slots},
                                                        {"x1", "x1", &Report::free_memory},
                                                        {"mean_ms", "latency_ms", &Report::service_ms},
                                                        {"tps", "qps", &Report::served_per_s},
                                                        {"err_ps", "eps", &Report::errors_per_s}}};
    std::vector<ReportFieldNames> fields;
    for (const element item : array_or_empty(reporting, "fields")) {
        std::string_view name;
        if (item.get(name) != simdjson::SUCCESS) throw_invalid("fields", "an array of names");
        for (const ReportFieldNames& field : known_fields) {
            if (field.setting_name == name) fields.push_back(field);
        }
    }
    return fields;
}

// Returns the endpoint in effect and the endpoint in the file. The environment variable takes precedence;
// without a value in the file, both are the variable's.
std::pair<net::Endpoint, net::Endpoint> read_endpoints(const object& json, const char* key,
                                                       const Environment& environment, const char* variable) {
    const auto parse_endpoint = [](const char* source, const std::string& value) {
        const auto endpoint = net::Endpoint::parse(value);
        if (!endpoint) throw_invalid(source, "an address and port such as 127.0.0.1:5000");
        return *endpoint;
    };
    const char* value = environment(variable);
    if (value == nullptr) {
        const net::Endpoint in_file = parse_endpoint(key, read_string(json, key));
        return {in_file, in_file};
    }
    const net::Endpoint in_effect = parse_endpoint(variable, value);
    return {in_effect, find(json, key) ? parse_endpoint(key, read_string(json, key)) : in_effect};
}

} // namespace

Index Names::find(const std::vector<std::string>& names, std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return static_cast<Index>(i);
    }
    return willowrill::none;
}

Index Names::find_or_add(std::vector<std::string>& names, std::string_view name) {
    const Index position = find(names, name);
    if (position != willowrill::none) return position;
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
    reject_duplicate_keys(root, "");

    Settings settings;
    const char* name = environment("PROXY_NAME");
    settings.name_in_file = read_string(json, "name", "willowrill");
    settings.name = name != nullptr ? name : settings.name_in_file;
    std::tie(settings.listen, settings.listen_in_file) =
        read_endpoints(json, "listen", environment, "PROXY_LISTEN");
    std::tie(settings.discovery, settings.discovery_in_file) =
        read_endpoints(json, "discovery", environment, "PROXY_DISCOVERY");
    settings.mgmt_in_file = read_string(json, "mgmt");
    if (environment("PROXY_MGMT") != nullptr || !settings.mgmt_in_file.empty())
        settings.mgmt = read_endpoints(json, "mgmt", environment, "PROXY_MGMT").first;
    const object limits = object_or_empty(json, "limits");
    settings.memory_mb = read_integer(limits, "memory_mb", 192, max_count);
    if (settings.memory_mb == 0) throw_invalid("memory_mb", "more than 0");
    settings.max_sockets = read_integer(limits, "sockets", 1024, max_count);
    if (settings.max_sockets < 64) throw_invalid("sockets", "64 or more");
    if (!find(json, "settings")) throw ConfigError("'settings' is missing");
    read_dispatcher_settings(object_or_empty(json, "settings"), settings);
    settings.settings_json_in_file = simdjson::minify(object_or_empty(json, "settings"));
    const std::string seed = read_string(json, "seed", "0");
    const auto seed_value = net::http::parse_unsigned(seed, 16);
    if (!seed_value) throw_invalid("seed", "a hexadecimal number of 64 bits at most");
    settings.dispatcher.seed = *seed_value;
    settings.report_fields =
        read_report_fields(object_or_empty(object_or_empty(json, "settings"), "reporting"));
    if (const auto remembered_list = find(json, "known"))
        settings.remembered_list_json = simdjson::minify(*remembered_list);
    if (settings.connection_idle <= Duration(0)) throw_invalid("conn_idle_ns", "more than 0");
    if (settings.connect_timeout <= Duration(0)) throw_invalid("connect_timeout_ns", "more than 0");
    if (settings.max_open_requests == 0) throw_invalid("max_open", "more than 0");
    return settings;
}

std::size_t max_connections_per_side(const Settings& settings, std::size_t descriptors) {
    // The buffers of one connection on each side at their largest, that is, with an incomplete body. Three
    // fifths of the memory are reserved for these, a quarter for open messages, and the rest for everything
    // else.
    constexpr std::size_t bytes_per_pair = 2 * (net::http::max_body_bytes + net::http::input_buffer_bytes);
    const std::size_t usable_descriptors =
        std::max(std::min(settings.max_sockets, descriptors), 2 * reserved_descriptors);
    const std::size_t max_pairs_in_memory = settings.memory_mb * (1U << 20U) / 5 * 3 / bytes_per_pair;
    return std::clamp<std::size_t>((usable_descriptors - reserved_descriptors) / 2, 1,
                                   std::max<std::size_t>(1, max_pairs_in_memory));
}

std::size_t max_message_bytes(const Settings& settings) { return settings.memory_mb * (1U << 20U) / 4; }

Settings read(const Environment& environment) {
    const char* path = environment("PROXY_CONFIG");
    if (path == nullptr || *path == '\0') throw ConfigError("PROXY_CONFIG names no configuration file");
    std::string error;
    const auto content = net::read_file(path, max_file_bytes, error);
    if (!content) throw ConfigError("the configuration '" + std::string(path) + "' " + error);
    return parse(*content, environment);
}

} // namespace willowrill::config
