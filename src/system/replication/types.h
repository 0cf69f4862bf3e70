// Types of primary-backup replication: what is durable on a core member, and what members say to each other.
//
// One epoch at a time is in force. Its record names the primary, the in-sync set (members that hold every
// acknowledged state) and the witnesses, more than half of whom must store a record before it is in force.
// The replicated state is one document with a position; there is no log.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace willowrill::replication {

using MemberId = std::string; // control endpoint of a core member, "10.1.0.13:8166"
using Epoch = std::uint64_t;

// Where a state stands: states of later epochs are newer; within an epoch only its primary numbers them.
struct Position {
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const Position&) const = default;
};

struct EpochRecord {
    Epoch epoch = 0;
    MemberId primary;
    std::vector<MemberId> in_sync;
    std::vector<MemberId> witnesses;
    bool operator==(const EpochRecord&) const = default;
};

// The durable part of a witness.
struct WitnessRegister {
    Epoch promised = 0;    // takes part in no epoch below this
    EpochRecord accepted;  // the highest record stored
    EpochRecord decided;   // the highest record known to be stored by enough witnesses
    bool complete = false; // the replicated state on this disk was complete when it was last installed
    bool operator==(const WitnessRegister&) const = default;
};

// The durable part of a replica. The content is never changed once made, so that readers may keep it.
struct ReplicatedState {
    Position position;
    std::shared_ptr<const std::string> content = std::make_shared<const std::string>();
};

// ---- Messages between members ----------------------------------------------------------------------------

// Asks a witness to take part in no epoch below this one. `pre_vote`: only asks whether it would.
struct PrepareRequest {
    Epoch epoch = 0;
    bool pre_vote = false;
};

struct PrepareReply {
    Epoch epoch = 0;
    bool pre_vote = false;
    bool granted = false;
    bool shutting_down = false;
    WitnessRegister witness_register;
    Position position;
};

// The candidate of `epoch` asks for the state of the member that holds the newest one.
struct FetchRequest {
    Epoch epoch = 0;
};

struct FetchReply {
    Epoch epoch = 0;
    ReplicatedState state;
};

// The candidate of `epoch` gives a future in-sync member the state to start from.
struct InstallRequest {
    Epoch epoch = 0;
    ReplicatedState state;
};

struct InstallReply {
    Epoch epoch = 0;
    bool stored = false;
    Epoch promised = 0;
};

struct AcceptRequest {
    EpochRecord record;
};

struct AcceptReply {
    Epoch epoch = 0;
    bool stored = false;
    Epoch promised = 0;
};

// The primary gives an in-sync member the next state.
struct ReplicateRequest {
    Epoch epoch = 0;
    ReplicatedState state;
};

struct ReplicateReply {
    Epoch epoch = 0;
    Position position;
    bool stored = false;
    Epoch promised = 0;
};

// From the primary to every member it knows.
struct Heartbeat {
    std::uint64_t number = 0;
    EpochRecord record;
    Position committed;
    bool in_contact = false; // more than half of the witnesses have answered the sender a moment ago
    std::int64_t echo = 0;   // `sent_at` of the receiver's newest reply; 0: none in this epoch
};

struct HeartbeatReply {
    std::uint64_t number = 0;
    Epoch epoch = 0;
    Epoch promised = 0;
    Position holds;        // newest committed state known to the sender
    bool voting = false;   // has a register it can vote with, and a disk that takes records
    bool complete = false; // its state was complete when it was last installed
    bool shutting_down = false;
    std::int64_t sent_at = 0; // ms of the sender's steady clock, for `Heartbeat::echo`
};

// Committed state for a member that lacks it; for reading only, not made durable there.
struct CommitNotification {
    Epoch epoch = 0;
    ReplicatedState state;
};

// A member whose disk is empty asks the others what it may have promised.
struct RecoveryRequest {
    std::uint64_t nonce = 0;
};

struct RecoveryReply {
    std::uint64_t nonce = 0;
    bool voting = false;
    WitnessRegister witness_register;
};

// A primary that shuts down asks a backup to take over now.
struct LeadershipTransfer {
    Epoch epoch = 0;
};

using Message =
    std::variant<PrepareRequest, PrepareReply, FetchRequest, FetchReply, InstallRequest, InstallReply,
                 AcceptRequest, AcceptReply, ReplicateRequest, ReplicateReply, Heartbeat, HeartbeatReply,
                 CommitNotification, RecoveryRequest, RecoveryReply, LeadershipTransfer>;

// ---- Storage ---------------------------------------------------------------------------------------------

// Names a save; saves are carried out and answered in the order of their tickets, which rise.
using SaveId = std::uint64_t;

// What is kept on disk. Each kind has a ring of records of its own, and the newest whole one counts.
using DiskRecord = std::variant<WitnessRegister, ReplicatedState>;

} // namespace willowrill::replication
