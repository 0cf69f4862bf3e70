// The state that the core members replicate: the operators' configuration, the evacuated zones, and the
// configuration orders that were accepted, so that a retransmitted order is acknowledged again. Orders are
// applied one after the other. Free of I/O and of global state.
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

// A configuration order that was accepted, with the configuration version that it produced.
struct AcceptedOrder {
    OrderDigest digest{};
    Version version = 0;
    bool operator==(const AcceptedOrder&) const = default;
};

struct ControlState {
    Version version = 0;       // 0: no configuration has been set
    std::string configuration; // complete document: as the operator sent it, or with patches applied
    std::set<std::string> evacuated_zones;
    std::deque<AcceptedOrder> accepted_orders; // at most `max_accepted_orders`, oldest first
    Version forgotten_through = 0;             // accepted orders up to this version have been dropped
    // Lowest protocol version that processes of the cluster may still use.
    protocol::Version cluster_version = protocol::initial_cluster_version;
};

// Number of accepted orders that are kept. An operator has at most eight orders in flight and retransmits one
// within seconds, so hundreds of orders would have to be accepted in between before one of them is dropped.
inline constexpr std::size_t max_accepted_orders = 1024;

// Limits of what members can store: the size of the encoded state, and the size of its compressed record on
// disk. An order whose result exceeds either limit is refused. Two request bodies of the maximum size fit.
inline constexpr std::size_t max_state_bytes = 8U << 20U;
inline constexpr std::size_t max_record_bytes = 1U << 20U;

// Encodes the state as one line of JSON that holds everything but the configuration, followed by the
// configuration verbatim. Up to cluster version 3, programs of that version can read the line. Later lines
// begin with the cluster version and are unreadable for those programs, so that none of them can write back a
// state without a cluster version.
std::string encode(const ControlState& state);
// Decodes a state; "" is the state before the first order. Fails with `unsupported_version` if the cluster
// version of the state is above those that this program supports, and with `storage_failed` if the text is
// malformed.
errors::Result<ControlState> decode(const std::string& text);
// Returns the cluster version of an encoded state. Reads only the beginning of the text.
protocol::Version cluster_version_of(std::string_view encoded);

struct PutConfiguration {
    std::optional<Version> based_on; // If-Match
    std::string body;
};
// Changes named items of the current configuration (patch.h).
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
// Raises the cluster version. The caller has to ensure that every process supports it.
struct FinishUpgrade {
    protocol::Version version = protocol::initial_cluster_version;
};
using Order = std::variant<PutConfiguration, PatchConfiguration, Evacuate, EndEvacuation, FinishUpgrade>;

// The order has no effect, because the state already is as requested.
struct Unchanged {};
using ApplyOutcome = std::variant<Unchanged, ControlState>;

// Returns the state after the order, or the reason for which it does not change: `version_conflict` or
// `invalid_configuration` if the order has certainly not been accepted before, `outcome_forgotten` if it may
// have been, `state_too_large` if members could not store the result, and `upgrade_blocked` if this program
// does not support the requested cluster version.
errors::Result<ApplyOutcome> apply(const ControlState& state, const Order& order);

} // namespace willowrill::configuration
