// Actions that a replica returns for its caller to carry out.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstdint>
#include <variant>

namespace willowrill::replication {

// Sends a message to another member. Messages may be lost. Those that arrive at one member arrive in the
// order in which they were sent, except for late duplicates of earlier messages.
struct Send {
    MemberId to;
    Message message;
};

// Stores a record durably. The caller answers every save exactly once, in order, with `Saved` or
// `SaveFailed`. After a failure the caller fails all further saves without writing them, until the next one
// with `is_restoration` set: saves issued before the failure was known may depend on the record that failed.
struct Save {
    SaveId save_id = 0;
    DiskRecord record;
    bool is_restoration = false;
};

struct Committed {
    std::uint64_t id = 0;
};

// The proposal may or may not be committed, or this member may no longer be the primary (for a leadership
// confirmation).
struct OutcomeUnknown {
    std::uint64_t id = 0;
};

struct LeadershipConfirmed {
    std::uint64_t id = 0;
};

// `Replica::committed` returns a newer state than before.
struct StateChanged {};

using Action = std::variant<Send, Save, Committed, OutcomeUnknown, LeadershipConfirmed, StateChanged>;

} // namespace willowrill::replication
