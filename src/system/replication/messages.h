// Messages between members of the core. Any message may be lost, and a duplicate may arrive long after the
// original; replies carry the epoch of their request. codec.h defines the wire format.
#pragma once

#include "system/replication/types.h"

#include <cstdint>
#include <variant>

namespace willowrill::replication {

// Asks a witness to promise not to take part in epochs below this one. `pre_vote`: only asks whether it would
// grant the promise.
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

// The candidate of `epoch` requests the state from the member that holds the newest one.
struct FetchRequest {
    Epoch epoch = 0;
};

struct FetchReply {
    Epoch epoch = 0;
    ReplicatedState state;
};

// The candidate of `epoch` sends a future in-sync member the initial state of the epoch.
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

// The primary sends an in-sync member the next state.
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

// Sent by the primary to every connected member.
struct Heartbeat {
    std::uint64_t number = 0;
    EpochRecord record;
    Position committed;
    bool in_contact = false; // a majority of the witnesses answered the sender recently
    std::int64_t echo = 0;   // `sent_at` of the receiver's newest reply; 0: none since it connected
};

struct HeartbeatReply {
    std::uint64_t number = 0;
    Epoch epoch = 0;
    Epoch promised = 0;
    Position newest_committed; // position of the newest committed state known to the sender
    bool voting = false;       // the sender has a valid register and a working disk
    bool complete = false;     // the sender's register marks its state as complete
    bool shutting_down = false;
    std::int64_t sent_at = 0; // ms of the sender's steady clock, for `Heartbeat::echo`
};

// Sends the committed state to a member that lacks it. The receiver serves reads from it but does not store
// it.
struct CommitNotification {
    Epoch epoch = 0;
    ReplicatedState state;
};

// A member that lost its register asks the others for theirs, to learn what it may have promised.
struct RecoveryRequest {
    std::uint64_t nonce = 0;
};

struct RecoveryReply {
    std::uint64_t nonce = 0;
    bool voting = false;
    WitnessRegister witness_register;
    // The sender is the primary, and a quorum has confirmed after it received the request that it still is.
    bool leadership_confirmed = false;
};

// A primary that shuts down asks a backup to take over now.
struct LeadershipTransfer {
    Epoch epoch = 0;
};

using Message =
    std::variant<PrepareRequest, PrepareReply, FetchRequest, FetchReply, InstallRequest, InstallReply,
                 AcceptRequest, AcceptReply, ReplicateRequest, ReplicateReply, Heartbeat, HeartbeatReply,
                 CommitNotification, RecoveryRequest, RecoveryReply, LeadershipTransfer>;

// The replicated state carried by a message; null for types that carry none.
inline const ReplicatedState* state_in(const Message& message) {
    return std::visit(
        [](const auto& alternative) -> const ReplicatedState* {
            if constexpr (requires { alternative.state; })
                return &alternative.state;
            else
                return nullptr;
        },
        message);
}

} // namespace willowrill::replication
