#include "configuration/control_state.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::ErrorKind;
using errors::Result;
using Json = nlohmann::json;

// The version ends with a colon, so that no two orders give the same bytes.
OrderDigest digest_of(const PutConfiguration& order) {
    const std::string bytes = fmt::format("{}:{}", order.based_on.value_or(0), order.body);
    OrderDigest out{};
    static_assert(out.size() == crypto_hash_sha256_BYTES);
    crypto_hash_sha256(out.data(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    return out;
}

std::string to_hex(const OrderDigest& digest) { return fmt::format("{:02x}", fmt::join(digest, "")); }

OrderDigest from_hex(const std::string& text) {
    OrderDigest out{};
    std::size_t length = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(out.data(), out.size(), text.data(), text.size(), nullptr, &length, &end) != 0 ||
        length != out.size() || end != text.data() + text.size())
        throw std::invalid_argument("not a digest: " + text);
    return out;
}

// The order is based on another version than the current one, and is not among those remembered. It was
// surely not taken if whatever was taken on top of that version is remembered still.
Error conflict(const ControlState& state, Version based_on) {
    if (based_on < state.forgotten_through)
        return {ErrorKind::outcome_forgotten,
                fmt::format("orders based on versions below {} are not remembered", state.forgotten_through)};
    return {ErrorKind::version_conflict, fmt::format("version {} is current", state.version)};
}

void remember(ControlState& state, const TakenOrder& order) {
    state.taken.push_back(order);
    if (state.taken.size() <= most_taken) return;
    state.forgotten_through = state.taken.front().version;
    state.taken.pop_front();
}

Result<Applied> put(const ControlState& state, const PutConfiguration& order) {
    const OrderDigest digest = digest_of(order);
    if (std::ranges::count(state.taken, digest, &TakenOrder::digest) > 0) return Applied{Unchanged{}};
    if (!order.based_on) return Error{ErrorKind::invalid_configuration, "If-Match must name a version"};
    if (*order.based_on != state.version) return conflict(state, *order.based_on);
    const auto parsed = parse(order.body);
    if (!parsed) return parsed.error();
    if (parsed.value().version <= state.version)
        return Error{ErrorKind::invalid_configuration,
                     fmt::format("configVersion {} is not above {}", parsed.value().version, state.version)};
    ControlState next = state;
    next.version = parsed.value().version;
    next.configuration = order.body;
    remember(next, {digest, next.version});
    const std::size_t size = encode(next).size();
    if (size > most_state_bytes)
        return Error{ErrorKind::state_too_large,
                     fmt::format("the state would take {} of {} bytes", size, most_state_bytes)};
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
        taken.push_back(Json{to_hex(order.digest), order.version});
    return Json{{"version", state.version},
                {"configuration", state.configuration},
                {"evacuated", state.evacuated_zones},
                {"taken", std::move(taken)},
                {"forgotten_through", state.forgotten_through}}
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
            out.taken.push_back({from_hex(order.at(0).get<std::string>()), order.at(1).get<Version>()});
        json.at("forgotten_through").get_to(out.forgotten_through);
    } catch (const std::exception& error) {
        return Error{ErrorKind::storage_failed, error.what()};
    }
    return out;
}

} // namespace willowrill::configuration
