// What the core holds in common: the operators' configuration, the zones evacuated, and which orders were
// taken, so that one sent again is acknowledged again. Orders are applied to it one after the other. Pure.
#pragma once

#include "system/configuration/configuration.h"
#include "system/digest/sha256.h"
#include "system/errors/error.h"
#include "system/protocol/version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace willowrill::configuration {

// SHA-256 of a configuration order: its kind, the version it is based on, and its body.
using OrderDigest = digest::Sha256;

// A configuration order that was taken.
struct AcceptedOrder {
    OrderDigest digest{};
    Version version = 0;
    bool operator==(const AcceptedOrder&) const = default;
};

struct ControlState {
    Version version = 0;       // 0: there is no configuration yet
    std::string configuration; // whole: as the operator sent it, or with its changes applied
    std::set<std::string> evacuated_zones;
    std::deque<AcceptedOrder> accepted_orders; // at most `max_accepted_orders`, the oldest first
    Version forgotten_through = 0;             // orders up to this version are not among `taken` any more
    // Of the protocol: lower ones are spoken no more.
    protocol::Version cluster_version = protocol::initial_cluster_version;
};

// Orders remembered. An operator has at most eight orders under way and sends one again within seconds, so
// hundreds would have to be taken in between before one of them is forgotten.
inline constexpr std::size_t max_accepted_orders = 1024;

// What members can keep: the longest encoded state, and the room of its packed record on their disks. An
// order that needs more of either is refused. Two of the longest bodies that operators may send fit.
inline constexpr std::size_t max_state_bytes = 8U << 20U;
inline constexpr std::size_t max_record_bytes = 1U << 20U;

// A line with all but the configuration, then the configuration as it is. Up to cluster version 3 the line is
// one that programs of that version read; from then on it begins with the cluster version, and those programs
// can read nothing of it, so that none of them can write a state that lacks it.
std::string encode(const ControlState& state);
// "" is the state before the first order. An error of the kind `unsupported_version` where the state is one
// of a later cluster version than this program speaks, `storage_failed` where it cannot be read.
errors::Result<ControlState> decode(const std::string& text);
// The cluster version of an encoded state, from its beginning alone.
protocol::Version cluster_version_of(std::string_view encoded);

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
// Raises the cluster version. Whether every process speaks it is for the caller to find out.
struct FinishUpgrade {
    protocol::Version version = protocol::initial_cluster_version;
};
using Order = std::variant<PutConfiguration, PatchConfiguration, Evacuate, EndEvacuation, FinishUpgrade>;

// The order changes nothing: what it asks for is so already.
struct Unchanged {};
using Applied = std::variant<Unchanged, ControlState>;

// What the state becomes, or why it stays: `version_conflict` and `invalid_configuration` for an order that
// was surely not taken, `outcome_forgotten` for one that may have been, `state_too_large`.
errors::Result<Applied> apply(const ControlState& state, const Order& order);

} // namespace willowrill::configuration
