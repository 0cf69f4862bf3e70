#include "scheduler/frontend/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace willowrill::frontend {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t longest_name = 256; // of an id or a key
constexpr double longest_cost_us = 1e14;
constexpr std::uint64_t longest_wait_ms = std::uint64_t{24} * 3600000; // beyond that, a time is nonsense

std::optional<double> to_real(std::string_view text) {
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || !std::isfinite(value) || value < 0) return std::nullopt;
    return value;
}

std::string_view trim(std::string_view text) {
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

// Calls `on_pair` for each `name=value` of a list.
template <class OnPair> void each_pair(std::string_view list, char separator, OnPair on_pair) {
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(separator));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) continue;
        on_pair(trim(item.substr(0, equals)), trim(item.substr(equals + 1)));
    }
}

// The figures go by the names of the simulator's wire or by its own.
bool read_attributes(std::string_view list, core::Message& message) {
    bool good = true;
    each_pair(list, ',', [&](std::string_view name, std::string_view text) {
        const bool slots = name == "needs" || name == "slots";
        const bool memory = name == "ram_units" || name == "memory";
        const bool hint = name == "hint_ns";
        if (!slots && !memory && !hint) return;
        const auto value = to_real(text);
        good = good && value && (!slots || (*value > 0 && *value < 1e6)) && (!hint || *value < 1e17);
        if (!good) return;
        if (slots) message.slots = *value;
        if (memory) message.memory = *value;
        if (hint) message.hint = core::Duration(static_cast<core::Duration::rep>(*value));
    });
    return good;
}

} // namespace

bool read_message(net::http::Parser& request, const config::Settings& settings, net::Time now,
                  core::Message& message, Rejection& rejection) {
    const net::http::Head& head = request.head();
    const auto reject = [&](const char* why) {
        rejection = {400, why};
        return false;
    };
    const auto text = [&](const char* name) {
        const std::string* value = head.find(name);
        return value != nullptr ? *value : std::string();
    };
    message.id = text("x-request-id");
    message.idempotency_key = text("idempotency-key");
    if (message.id.empty() || message.id.size() > longest_name)
        return reject("X-Request-ID is missing or too long");
    if (message.idempotency_key.size() > longest_name) return reject("Idempotency-Key is too long");

    message.job_class = config::Names::find(settings.names.classes, text("x-priority-class"));
    if (message.job_class == willowrill::none) return reject("X-Priority-Class names no known class");
    const willowrill::JobClass& job_class = settings.decisions.classes[message.job_class];
    if (job_class.effect == willowrill::Effect::keyed && message.idempotency_key.empty())
        return reject("a class that is repeated by key needs an Idempotency-Key");

    message.repeatable = job_class.effect == willowrill::Effect::repeatable;
    core::Duration wait = job_class.give_up;
    if (const std::string* given = head.find("x-timeout-ms")) {
        const auto value = net::http::parse_unsigned(*given);
        if (!value || *value > longest_wait_ms) return reject("X-Timeout-Ms is not a number of milliseconds");
        wait = std::chrono::milliseconds(*value);
    }
    message.deadline = now + wait;
    message.tenant = config::Names::find(settings.names.tenants, text("x-tenant-id"));
    message.is_retry = text("x-retried") == "1";
    each_pair(text("cookie"), ';', [&](std::string_view name, std::string_view value) {
        if (name == "obj") message.key = net::http::parse_unsigned(value, 16);
    });
    if (!read_attributes(text("x-attrs"), message)) return reject("X-Attrs holds a figure that is none");
    // An estimate that cannot be is none: the job is served without it.
    if (const auto cost = to_real(text("x-cost")); cost && *cost < longest_cost_us && message.hint == 0ns)
        message.hint = core::Duration(static_cast<core::Duration::rep>(*cost * 1000));
    message.method = head.method;
    message.target = head.target;
    message.body = std::move(request.body());
    return true;
}

} // namespace willowrill::frontend
