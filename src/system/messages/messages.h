// The messages between core members, and between a scheduler and its core member, as types. How they are
// spelled on the wire is known to `messages/codec.h` alone. Plain values; no thread of their own.
//
// Shared content is sent as numbered snapshots and deltas: a receiver that has not got the base of a delta
// asks for the snapshot. A message of a type that this version does not know, or that needs a feature which
// it does not have, is decoded as `UnknownMessage`, so that versions can run side by side: one that its
// sender marked as optional is skipped, any other is skipped or ends the session, by the session's version.
#pragma once

#include "system/configuration/control_state.h"
#include "system/digest/sha256.h"
#include "system/discovery/instances.h"
#include "system/membership/lease_table.h"
#include "system/ownership/ownership.h"
#include "system/protocol/negotiation.h"
#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace willowrill::messages {

// How many core members a process takes in at most.
inline constexpr std::size_t max_core_members = 64;

// A message that this version does not understand.
struct UnknownMessage {
    std::string type;      // its type, or the feature that it needs; at most `max_unknown_name` bytes
    bool optional = false; // its sender allows that it is skipped
};
inline constexpr std::size_t max_unknown_name = 64;

// SHA-256 of a replicated state's content.
using StateDigest = digest::Sha256;

// A core member and its location, by which schedulers choose a near one.
struct CoreMember {
    std::string id; // control endpoint, HOST:PORT
    std::string zone;
    std::string region;
    bool operator==(const CoreMember&) const = default;
};

// ---- The first messages on a connection ------------------------------------------------------------------

// Sent by a core member that dials another.
struct CoreHello {
    CoreMember member;
    protocol::Greeting greeting;
};

// Sent by a scheduler that dials a core member.
struct SchedulerHello {
    protocol::Greeting greeting;
};

using Hello = std::variant<CoreHello, SchedulerHello>;

// Answers the hello of a process that names a range of versions: the session goes on at the highest version
// that both speak.
struct HelloReply {
    protocol::Greeting greeting; // of the sender
};

// Answers a hello with which no session can be had; the sender closes the connection behind it.
struct HelloRefusal {
    protocol::VersionRange versions; // of the sender
    std::string detail;              // a sentence for the operator
};

// ---- Between core members --------------------------------------------------------------------------------

// A message of the replication protocol.
struct ReplicationEnvelope {
    replication::Message message;
};

// A message of the replication protocol that carries a replicated state, with the state as the difference to
// one that was sent before on the same connection (state_delta.h).
struct ReplicationDelta {
    replication::Message message; // its state has no content
    replication::Position base;
    StateDigest digest{}; // of the state's content
    std::string delta;    // by compression::compress_against
};

// The receiver has not got the base of a delta that the peer sent, or it is another than the peer's: the peer
// sends its last state whole. Nothing has changed at the sender of this request.
struct StateSnapshotRequest {};

// The core members that the sender is connected to.
struct CorePeers {
    std::vector<std::string> members; // ids
};

// The list of leases renewed at one core member, in one incarnation of its process.
struct LeaseListVersion {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; // grows by one with each delta
    bool operator==(const LeaseListVersion&) const = default;
};

// All leases renewed at the sender.
struct LeasesSnapshot {
    LeaseListVersion version;
    std::vector<membership::Lease> leases;
};

// The difference to the list with the number before.
struct LeasesDelta {
    LeaseListVersion version;
    std::vector<membership::Lease> changed;
    std::vector<std::string> removed; // nodes
};

// Renews every lease of the list with this version, apart from some.
struct LeasesKeepAlive {
    LeaseListVersion version;
    std::set<std::string> silent; // nodes that have not renewed
};

// Asks the receiver for its snapshot.
struct LeasesSnapshotRequest {};

// An update of the list in a form that this version does not know: only its version can be read.
struct UnknownLeasesUpdate {
    LeaseListVersion version;
};

using LeasesMessage =
    std::variant<LeasesSnapshot, LeasesDelta, LeasesKeepAlive, LeasesSnapshotRequest, UnknownLeasesUpdate>;

// Who polls the platform for which zone, as the primary assigned it. The key of an assignment is the zone.
struct RoleAssignments {
    std::vector<ownership::Assignment> assignments;
};

// A zone's endpoint list, complete. Also sent to schedulers.
struct ZoneListUpdate {
    discovery::ZoneList list;
};

// The zone's owner has read the list again and found what it published last.
struct ZoneListUnchanged {
    std::string zone;
    discovery::FencingToken token;
};

using EndpointListMessage = std::variant<RoleAssignments, ZoneListUpdate, ZoneListUnchanged>;

using CoreMessage = std::variant<UnknownMessage, ReplicationEnvelope, ReplicationDelta, StateSnapshotRequest,
                                 CorePeers, LeasesMessage, EndpointListMessage>;

// The feature that a peer must have announced before this is sent to it; nothing for a message that every
// version in the range of those spoken understands.
std::optional<std::string_view> required_feature(const CoreMessage& message);

// What the dialled member sends on the connection; all else goes the other way.
using DialReply = std::variant<UnknownMessage, HelloReply, HelloRefusal>;

// ---- From a scheduler to its core member -----------------------------------------------------------------

// What a scheduler wants to be sent as a snapshot, as it has not got the base of a delta.
struct ResyncRequest {
    bool state = false;
    bool members = false;
    bool operator==(const ResyncRequest&) const = default;
};

struct RenewLease {
    membership::Lease lease;
    std::optional<replication::Position> active_position; // of the configuration in force, if any
    ResyncRequest resync;
};

using SchedulerMessage = std::variant<UnknownMessage, RenewLease>;

// ---- From a core member to its schedulers ----------------------------------------------------------------

// Answers a renewal.
struct LeaseAck {
    std::uint64_t renewal = 0;
    bool current = false;         // whether a quorum vouched a moment ago for the core member's state
    std::vector<CoreMember> core; // the core members that the sender reaches, itself among them
};

// The newest committed state, complete.
struct StateSnapshot {
    replication::Position position;
    configuration::Version version = 0;
    std::string configuration; // JSON text
    std::set<std::string> evacuated_zones;
};

// The newest committed state as the difference to the one at `base`.
struct StateDelta {
    replication::Position base;
    replication::Position position;
    configuration::Version version = 0;
    std::optional<std::string> patch; // JSON text; none where the configuration is that of the base
    std::set<std::string> evacuated_zones;
};

// All members, as leases whose renewal numbers are not told.
struct MembersSnapshot {
    std::uint64_t number = 0;
    std::vector<membership::Lease> members;
};

// The difference to the list with the number before.
struct MembersDelta {
    std::uint64_t number = 0;
    std::vector<membership::Lease> changed;
    std::vector<std::string> removed; // nodes
};

using CoreUpdate = std::variant<UnknownMessage, HelloReply, HelloRefusal, LeaseAck, StateSnapshot, StateDelta,
                                MembersSnapshot, MembersDelta, ZoneListUpdate>;

} // namespace willowrill::messages
