#include "configuration/control_state.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::ErrorKind;
using errors::Result;
using Json = nlohmann::json;

// FNV-1a of the version and the body.
std::uint64_t digest_of(const PutConfiguration& order) {
    constexpr std::uint64_t basis = 0xcbf29ce484222325ULL, prime = 0x100000001b3ULL;
    std::uint64_t out = basis;
    const auto mix = [&](unsigned char byte) { out = (out ^ byte) * prime; };
    for (const char c : fmt::format("{}:", order.based_on.value_or(0)))
        mix(static_cast<unsigned char>(c));
    for (const char c : order.body)
        mix(static_cast<unsigned char>(c));
    return out;
}

Result<Applied> put(const ControlState& state, const PutConfiguration& order) {
    const std::uint64_t digest = digest_of(order);
    if (std::ranges::count(state.taken, digest, &TakenOrder::digest) > 0) return Applied{Unchanged{}};
    if (!order.based_on) return Error{ErrorKind::invalid_configuration, "If-Match must name a version"};
    if (*order.based_on != state.version)
        return Error{ErrorKind::version_conflict, fmt::format("version {} is current", state.version)};
    const auto parsed = parse(order.body);
    if (!parsed) return parsed.error();
    if (parsed.value().version <= state.version)
        return Error{ErrorKind::invalid_configuration,
                     fmt::format("configVersion {} is not above {}", parsed.value().version, state.version)};
    ControlState next = state;
    next.version = parsed.value().version;
    next.configuration = order.body;
    next.taken.push_back({digest, next.version});
    if (next.taken.size() > most_taken) next.taken.pop_front();
    return Applied{std::move(next)};
}

Result<Applied> set_evacuated(const ControlState& state, const std::string& zone, bool evacuated) {
    if (state.evacuated_zones.contains(zone) == evacuated) return Applied{Unchanged{}};
    ControlState next = state;
    if (evacuated)
        next.evacuated_zones.insert(zone);
    else
        next.evacuated_zones.erase(zone);
    return Applied{std::move(next)};
}

struct Applier {
    const ControlState& state;
    Result<Applied> operator()(const PutConfiguration& order) const { return put(state, order); }
    Result<Applied> operator()(const Evacuate& order) const { return set_evacuated(state, order.zone, true); }
    Result<Applied> operator()(const EndEvacuation& order) const {
        return set_evacuated(state, order.zone, false);
    }
};

} // namespace

Result<Applied> apply(const ControlState& state, const Order& order) {
    return std::visit(Applier{state}, order);
}

std::string encode(const ControlState& state) {
    Json taken = Json::array();
    for (const TakenOrder& order : state.taken)
        taken.push_back(Json{order.digest, order.version});
    return Json{{"version", state.version},
                {"configuration", state.configuration},
                {"evacuated", state.evacuated_zones},
                {"taken", std::move(taken)}}
        .dump();
}

Result<ControlState> decode(const std::string& text) {
    ControlState out;
    if (text.empty()) return out;
    try {
        const Json json = Json::parse(text);
        json.at("version").get_to(out.version);
        json.at("configuration").get_to(out.configuration);
        json.at("evacuated").get_to(out.evacuated_zones);
        for (const Json& order : json.at("taken"))
            out.taken.push_back({order.at(0).get<std::uint64_t>(), order.at(1).get<Version>()});
    } catch (const std::exception& error) {
        return Error{ErrorKind::storage_failed, error.what()};
    }
    return out;
}

} // namespace willowrill::configuration
