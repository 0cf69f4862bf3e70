// What the core holds in common: the operators' configuration, the zones evacuated, and which orders were
// taken, so that one sent again is acknowledged again. Orders are applied to it one after the other. Pure.
#pragma once

#include "configuration/configuration.h"
#include "errors/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace willowrill::configuration {

// SHA-256 of a configuration order: the version it is based on, and its body.
using OrderDigest = std::array<unsigned char, 32>;

// A configuration order that was taken.
struct TakenOrder {
    OrderDigest digest{};
    Version version = 0;
    bool operator==(const TakenOrder&) const = default;
};

struct ControlState {
    Version version = 0;       // 0: there is no configuration yet
    std::string configuration; // as the operator sent it
    std::set<std::string> evacuated_zones;
    std::deque<TakenOrder> taken;  // at most `most_taken`, the oldest first
    Version forgotten_through = 0; // orders up to this version are not among `taken` any more
};

// Orders remembered. An operator has at most eight orders under way and sends one again within seconds, so
// hundreds would have to be taken in between before one of them is forgotten.
inline constexpr std::size_t most_taken = 1024;

// The longest encoded state that members can keep; an order that needs more is refused.
inline constexpr std::size_t most_state_bytes = 1U << 20U;

std::string encode(const ControlState& state);
errors::Result<ControlState> decode(const std::string& text); // "" is the state before the first order

struct PutConfiguration {
    std::optional<Version> based_on; // If-Match
    std::string body;
};
struct Evacuate {
    std::string zone;
};
struct EndEvacuation {
    std::string zone;
};
using Order = std::variant<PutConfiguration, Evacuate, EndEvacuation>;

// The order changes nothing: what it asks for is so already.
struct Unchanged {};
using Applied = std::variant<Unchanged, ControlState>;

// What the state becomes, or why it stays: `version_conflict` and `invalid_configuration` for an order that
// was surely not taken, `outcome_forgotten` for one that may have been, `state_too_large`.
errors::Result<Applied> apply(const ControlState& state, const Order& order);

} // namespace willowrill::configuration
