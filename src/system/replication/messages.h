// What members of the core say to each other. Any message may be lost, and a late copy of one may come long
// after it; replies name the epoch of their request. `codec.h` has their form on the wire.
#pragma once

#include "system/replication/types.h"

#include <cstdint>
#include <variant>

namespace willowrill::replication {

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
    Position newest_committed; // newest committed state known to the sender
    bool voting = false;       // has a register it can vote with, and a disk that takes records
    bool complete = false;     // its state was complete when it was last installed
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

// The replicated state in a message of a kind that carries one; null in any other.
inline const ReplicatedState* state_in(const Message& message) {
    return std::visit(
        [](const auto& one) -> const ReplicatedState* {
            if constexpr (requires { one.state; })
                return &one.state;
            else
                return nullptr;
        },
        message);
}

} // namespace willowrill::replication
