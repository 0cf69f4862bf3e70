#include "system/configuration/control_state.h"

#include "system/compression/compression.h"
#include "system/configuration/json_text.h"
#include "system/configuration/patch.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <stdexcept>
#include <utility>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::ErrorKind;
using errors::Result;
using Json = nlohmann::json;

// Start of an encoded state whose cluster version is above the initial one.
constexpr std::string_view cluster_version_prefix = R"({"cluster_version":)";
constexpr const char* orders_key = "orders";

// The colon separates the version from the body, so that no two orders hash the same bytes.
OrderDigest digest_of(const PutConfiguration& order) {
    return digest::sha256(fmt::format("{}:{}", order.based_on.value_or(0), order.body));
}

OrderDigest digest_of(const PatchConfiguration& order) {
    return digest::sha256(fmt::format("patch {}:{}", order.based_on.value_or(0), order.body));
}

std::string to_hex(const OrderDigest& digest) { return fmt::format("{:02x}", fmt::join(digest, "")); }

OrderDigest from_hex(const std::string& text) {
    OrderDigest digest{};
    std::size_t length = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(digest.data(), digest.size(), text.data(), text.size(), nullptr, &length, &end) != 0 ||
        length != digest.size() || end != text.data() + text.size())
        throw std::invalid_argument("not a digest: " + text);
    return digest;
}

// The error for an order that is based on another version than the current one and is not among the kept
// accepted orders. The order was certainly not accepted if the order that was accepted on top of its base
// version is still kept; otherwise the outcome is unknown.
Error version_conflict_error(const ControlState& state, Version based_on) {
    if (based_on < state.forgotten_through)
        return {ErrorKind::outcome_forgotten,
                fmt::format("orders based on versions below {} are not remembered", state.forgotten_through)};
    return {ErrorKind::version_conflict, fmt::format("version {} is current", state.version)};
}

void record_accepted_order(ControlState& state, const AcceptedOrder& order) {
    state.accepted_orders.push_back(order);
    if (state.accepted_orders.size() <= max_accepted_orders) return;
    state.forgotten_through = state.accepted_orders.front().version;
    state.accepted_orders.pop_front();
}

std::optional<Error> check_state_size(const ControlState& state) {
    const std::string encoded = encode(state);
    const auto error = [](std::size_t size, std::size_t limit) {
        return Error{ErrorKind::state_too_large,
                     fmt::format("the state would take {} of {} bytes", size, limit)};
    };
    if (encoded.size() > max_state_bytes) return error(encoded.size(), max_state_bytes);
    if (encoded.size() <= max_record_bytes) return std::nullopt;
    const std::size_t packed = compression::compress(encoded).size();
    if (packed > max_record_bytes) return error(packed, max_record_bytes);
    return std::nullopt;
}

// Replaces the current configuration by a complete new one and records the order.
Result<ApplyOutcome> replace_configuration(const ControlState& state, const OrderDigest& digest,
                                           std::string text) {
    const auto parsed = parse(text);
    if (!parsed) return parsed.error();
    if (parsed.value().version <= state.version)
        return Error{ErrorKind::invalid_configuration,
                     fmt::format("configVersion {} is not above {}", parsed.value().version, state.version)};
    ControlState next = state;
    next.version = parsed.value().version;
    next.configuration = std::move(text);
    record_accepted_order(next, {digest, next.version});
    if (const auto error = check_state_size(next)) return *error;
    return ApplyOutcome{std::move(next)};
}

// Acknowledges an order that was accepted before, refuses one that is based on another version than the
// current one, and applies any other. `make_text` computes the new configuration document. Only what an
// operator sends must be UTF-8: what was accepted before stays readable.
template <class ConfigurationOrder>
Result<ApplyOutcome> apply_configuration_order(const ControlState& state, const ConfigurationOrder& order,
                                               const std::function<Result<std::string>()>& make_text) {
    const OrderDigest digest = digest_of(order);
    if (std::ranges::count(state.accepted_orders, digest, &AcceptedOrder::digest) > 0)
        return ApplyOutcome{Unchanged{}};
    if (!order.based_on) return Error{ErrorKind::invalid_configuration, "If-Match must name a version"};
    if (*order.based_on != state.version) return version_conflict_error(state, *order.based_on);
    if (const auto error = check_utf8(order.body)) return *error;
    auto text = make_text();
    if (!text) return text.error();
    return replace_configuration(state, digest, std::move(text.value()));
}

Result<ApplyOutcome> put_configuration(const ControlState& state, const PutConfiguration& order) {
    return apply_configuration_order(state, order, [&] { return Result<std::string>(order.body); });
}

Result<ApplyOutcome> patch_configuration(const ControlState& state, const PatchConfiguration& order) {
    return apply_configuration_order(state, order, [&]() -> Result<std::string> {
        if (state.version == 0) return invalid_configuration_error("there is no configuration to alter yet");
        return apply_patch(state.configuration, order.body);
    });
}

Result<ApplyOutcome> set_evacuated(const ControlState& state, const std::string& zone, bool evacuated) {
    if (state.evacuated_zones.contains(zone) == evacuated) return ApplyOutcome{Unchanged{}};
    ControlState next = state;
    if (evacuated)
        next.evacuated_zones.insert(zone);
    else
        next.evacuated_zones.erase(zone);
    return ApplyOutcome{std::move(next)};
}

Result<ApplyOutcome> finish_upgrade(const ControlState& state, const FinishUpgrade& order) {
    if (order.version <= state.cluster_version) return ApplyOutcome{Unchanged{}};
    if (order.version > protocol::supported_versions.max)
        return Error{ErrorKind::upgrade_blocked,
                     fmt::format("the primary speaks no version above {}", protocol::supported_versions.max)};
    ControlState next = state;
    next.cluster_version = order.version;
    return ApplyOutcome{std::move(next)};
}

// Encodes everything but the cluster version and the configuration.
Json encode_orders(const ControlState& state) {
    Json taken = Json::array();
    for (const AcceptedOrder& order : state.accepted_orders)
        taken.push_back(Json{to_hex(order.digest), order.version});
    return Json{{"version", state.version},
                {"evacuated", state.evacuated_zones},
                {"taken", std::move(taken)},
                {"forgotten_through", state.forgotten_through}};
}

void decode_orders(const Json& json, ControlState& state) {
    json.at("version").get_to(state.version);
    json.at("evacuated").get_to(state.evacuated_zones);
    for (const Json& order : json.at("taken"))
        state.accepted_orders.push_back(
            {from_hex(order.at(0).get<std::string>()), order.at(1).get<Version>()});
    json.at("forgotten_through").get_to(state.forgotten_through);
}

struct Applier {
    const ControlState& state;
    Result<ApplyOutcome> operator()(const PutConfiguration& order) const {
        return put_configuration(state, order);
    }
    Result<ApplyOutcome> operator()(const PatchConfiguration& order) const {
        return patch_configuration(state, order);
    }
    Result<ApplyOutcome> operator()(const Evacuate& order) const {
        return set_evacuated(state, order.zone, true);
    }
    Result<ApplyOutcome> operator()(const EndEvacuation& order) const {
        return set_evacuated(state, order.zone, false);
    }
    Result<ApplyOutcome> operator()(const FinishUpgrade& order) const { return finish_upgrade(state, order); }
};

} // namespace

Result<ApplyOutcome> apply(const ControlState& state, const Order& order) {
    return std::visit(Applier{state}, order);
}

std::string encode(const ControlState& state) {
    const Json orders = encode_orders(state);
    if (state.cluster_version == protocol::initial_cluster_version)
        return orders.dump() + "\n" + state.configuration;
    return fmt::format("{}{},\"{}\":{}}}\n{}", cluster_version_prefix, state.cluster_version, orders_key,
                       orders.dump(), state.configuration);
}

protocol::Version cluster_version_of(std::string_view encoded) {
    if (!encoded.starts_with(cluster_version_prefix)) return protocol::initial_cluster_version;
    encoded.remove_prefix(cluster_version_prefix.size());
    protocol::Version version = protocol::initial_cluster_version;
    std::from_chars(encoded.data(), encoded.data() + encoded.size(), version);
    return version;
}

Result<ControlState> decode(const std::string& text) {
    ControlState state;
    if (text.empty()) return state;
    state.cluster_version = cluster_version_of(text);
    if (state.cluster_version > protocol::supported_versions.max)
        return Error{ErrorKind::unsupported_version,
                     fmt::format("the state is one of cluster version {}, this program speaks up to {}",
                                 state.cluster_version, protocol::supported_versions.max)};
    try {
        const std::size_t line_end = text.find('\n');
        const Json json = Json::parse(text.substr(0, line_end));
        // Earlier versions of this program stored the configuration as a member of the JSON object.
        if (line_end == std::string::npos)
            json.at("configuration").get_to(state.configuration);
        else
            state.configuration = text.substr(line_end + 1);
        const bool has_cluster_version = state.cluster_version != protocol::initial_cluster_version;
        decode_orders(has_cluster_version ? json.at(orders_key) : json, state);
    } catch (const std::exception& error) {
        return Error{ErrorKind::storage_failed, error.what()};
    }
    return state;
}

} // namespace willowrill::configuration
