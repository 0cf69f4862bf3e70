#include "scheduler/frontend/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace willowrill::frontend {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_name_bytes = 256; // of X-Request-ID and Idempotency-Key
constexpr double max_cost_us = 1e14;
constexpr std::uint64_t max_timeout_ms = std::uint64_t{24} * 3600000; // longer timeouts are rejected

// Parses a finite number that is not negative.
std::optional<double> parse_non_negative(std::string_view text) {
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || parsed_end != end || !std::isfinite(value) || value < 0) return std::nullopt;
    return value;
}

std::string_view trim(std::string_view text) {
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

// Calls `on_pair` for each `name=value` in a list.
template <class OnPair> void for_each_pair(std::string_view list, char separator, OnPair on_pair) {
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(separator));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) continue;
        on_pair(trim(item.substr(0, equals)), trim(item.substr(equals + 1)));
    }
}

// Reads X-Attrs; returns false if a value is invalid. Slots and memory may have the names of the simulator's
// protocol (`needs`, `ram_units`) or plain ones.
bool read_attributes(std::string_view list, core::Message& message) {
    bool is_valid = true;
    for_each_pair(list, ',', [&](std::string_view name, std::string_view text) {
        const bool slots = name == "needs" || name == "slots";
        const bool memory = name == "ram_units" || name == "memory";
        const bool hint = name == "hint_ns";
        if (!slots && !memory && !hint) return;
        const auto value = parse_non_negative(text);
        is_valid = is_valid && value && (!slots || (*value > 0 && *value < 1e6)) && (!hint || *value < 1e17);
        if (!is_valid) return;
        if (slots) message.slots = *value;
        if (memory) message.memory = *value;
        if (hint) message.hint = core::Duration(static_cast<core::Duration::rep>(*value));
    });
    return is_valid;
}

} // namespace

bool read_message(net::http::Parser& request, const config::Settings& settings, net::Time now,
                  core::Message& message, Rejection& rejection) {
    const net::http::Head& head = request.head();
    const auto reject = [&](const char* reason) {
        rejection = {400, reason};
        return false;
    };
    const auto header = [&](const char* name) {
        const std::string* value = head.find(name);
        return value != nullptr ? *value : std::string();
    };
    message.id = header("x-request-id");
    message.idempotency_key = header("idempotency-key");
    if (message.id.empty() || message.id.size() > max_name_bytes)
        return reject("X-Request-ID is missing or too long");
    if (message.idempotency_key.size() > max_name_bytes) return reject("Idempotency-Key is too long");

    message.job_class = config::Names::find(settings.names.classes, header("x-priority-class"));
    if (message.job_class == willowrill::none) return reject("X-Priority-Class names no known class");
    const willowrill::JobClass& job_class = settings.dispatcher.classes[message.job_class];
    if (job_class.effect == willowrill::Effect::keyed && message.idempotency_key.empty())
        return reject("a class that is repeated by key needs an Idempotency-Key");

    message.repeatable = job_class.effect == willowrill::Effect::repeatable;
    core::Duration timeout = job_class.give_up;
    if (const std::string* timeout_text = head.find("x-timeout-ms")) {
        const auto value = net::http::parse_unsigned(*timeout_text);
        if (!value || *value > max_timeout_ms) return reject("X-Timeout-Ms is not a number of milliseconds");
        timeout = std::chrono::milliseconds(*value);
    }
    message.deadline = now + timeout;
    message.tenant = config::Names::find(settings.names.tenants, header("x-tenant-id"));
    message.is_retry = header("x-retried") == "1";
    for_each_pair(header("cookie"), ';', [&](std::string_view name, std::string_view value) {
        if (name == "obj") message.key = net::http::parse_unsigned(value, 16);
    });
    if (!read_attributes(header("x-attrs"), message)) return reject("X-Attrs holds a figure that is none");
    // An invalid estimate is ignored; the job is served without it.
    if (const auto cost = parse_non_negative(header("x-cost"));
        cost && *cost < max_cost_us && message.hint == 0ns)
        message.hint = core::Duration(static_cast<core::Duration::rep>(*cost * 1000));
    message.method = head.method;
    message.target = head.target;
    message.body = std::move(request.body());
    return true;
}

} // namespace willowrill::frontend
