// What a replica takes in.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace willowrill::replication {

// Comes at least every 50 ms or so: all timeouts are looked at here.
struct Tick {};

// What the disk held at the start.
struct Loaded {
    std::optional<WitnessRegister> witness_register;
    std::optional<ReplicatedState> state;
};

// The record of this save survives any loss of power.
struct Saved {
    SaveId save_id = 0;
};

// The disk refused the record, or reported an error after taking it: it may be there or not.
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

// Asks for a new state to be committed; one at a time. Answered by `Committed` or `OutcomeUnknown` with the
// caller's `id`. Not taken where another state than `based_on` is the newest.
struct Propose {
    std::uint64_t id = 0;
    Position based_on;
    std::string content;
};

// Asks whether this member is still the primary at a moment after the question. Answered by
// `LeadershipConfirmed` or `OutcomeUnknown` with the caller's `id`.
struct ConfirmLeadership {
    std::uint64_t id = 0;
};

// The process is about to end.
struct BeginShutdown {};

using Event = std::variant<Tick, Loaded, Saved, SaveFailed, Received, PeerConnected, PeerDisconnected,
                           Propose, ConfirmLeadership, BeginShutdown>;

} // namespace willowrill::replication
