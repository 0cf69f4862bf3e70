// What the core holds in common: the operators' configuration, the zones evacuated, and which orders were
// taken, so that one sent again is acknowledged again. Orders are applied to it one after the other. Pure.
#pragma once

#include "system/configuration/configuration.h"
#include "system/errors/error.h"

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

// SHA-256 of a configuration order: its kind, the version it is based on, and its body.
using OrderDigest = std::array<unsigned char, 32>;

// A configuration order that was taken.
struct TakenOrder {
    OrderDigest digest{};
    Version version = 0;
    bool operator==(const TakenOrder&) const = default;
};

struct ControlState {
    Version version = 0;       // 0: there is no configuration yet
    std::string configuration; // whole: as the operator sent it, or with its changes applied
    std::set<std::string> evacuated_zones;
    std::deque<TakenOrder> taken;  // at most `max_taken`, the oldest first
    Version forgotten_through = 0; // orders up to this version are not among `taken` any more
};

// Orders remembered. An operator has at most eight orders under way and sends one again within seconds, so
// hundreds would have to be taken in between before one of them is forgotten.
inline constexpr std::size_t max_taken = 1024;

// What members can keep: the longest encoded state, and the room of its packed record on their disks. An
// order that needs more of either is refused. Two of the longest bodies that operators may send fit.
inline constexpr std::size_t max_state_bytes = 8U << 20U;
inline constexpr std::size_t max_record_bytes = 1U << 20U;

// A line with all but the configuration, then the configuration as it is.
std::string encode(const ControlState& state);
errors::Result<ControlState> decode(const std::string& text); // "" is the state before the first order

struct PutConfiguration {
    std::optional<Version> based_on; // If-Match
    std::string body;
};
// Alters named items of the current configuration (patch.h).
struct PatchConfiguration {
    std::optional<Version> based_on; // If-Match
    std::string body;
};
struct Evacuate {
    std::string zone;
};
struct EndEvacuation {
    std::string zone;
};
using Order = std::variant<PutConfiguration, PatchConfiguration, Evacuate, EndEvacuation>;

// The order changes nothing: what it asks for is so already.
struct Unchanged {};
using Applied = std::variant<Unchanged, ControlState>;

// What the state becomes, or why it stays: `version_conflict` and `invalid_configuration` for an order that
// was surely not taken, `outcome_forgotten` for one that may have been, `state_too_large`.
errors::Result<Applied> apply(const ControlState& state, const Order& order);

} // namespace willowrill::configuration
