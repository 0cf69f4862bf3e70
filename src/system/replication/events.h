// Events that the caller passes to a replica.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace willowrill::replication {

// Passed about every 50 ms; all timeouts are checked here.
struct Tick {};

// The records found on disk at startup.
struct Loaded {
    std::optional<WitnessRegister> witness_register;
    std::optional<ReplicatedState> state;
};

// The record of this save is durable, also across a power failure.
struct Saved {
    SaveId save_id = 0;
};

// The disk rejected the record or reported an error after writing it. The record may or may not be stored.
struct SaveFailed {
    SaveId save_id = 0;
};

struct Received {
    MemberId from;
    Message message;
};

struct PeerConnected {
    MemberId peer;
};

struct PeerDisconnected {
    MemberId peer;
};

// Proposes a new state; only one proposal may be pending. Answered by `Committed` or `OutcomeUnknown` with
// the caller's `id`. Rejected with `OutcomeUnknown` unless `based_on` is the position of the newest state.
struct Propose {
    std::uint64_t id = 0;
    Position based_on;
    std::string content;
};

// Asks for proof that this member was still the primary at some moment after this event. Answered by
// `LeadershipConfirmed` or `OutcomeUnknown` with the caller's `id`.
struct ConfirmLeadership {
    std::uint64_t id = 0;
};

// The process is shutting down.
struct BeginShutdown {};

using Event = std::variant<Tick, Loaded, Saved, SaveFailed, Received, PeerConnected, PeerDisconnected,
                           Propose, ConfirmLeadership, BeginShutdown>;

} // namespace willowrill::replication
