// What a replica asks its caller to do.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstdint>
#include <variant>

namespace willowrill::replication {

// A message may be lost; messages to one member that arrive do so in the order of their sending, but for late
// copies of earlier ones.
struct Send {
    MemberId to;
    Message message;
};

// To be answered by `Saved` or `SaveFailed`, each save once and in their order. After a failure all are to
// fail, unseen by the disk, up to the next one that `restores`: what was asked for before the failure was
// known may only make sense behind the record that failed.
struct Save {
    SaveId save_id = 0;
    DiskRecord record;
    bool is_restoration = false;
};

struct Committed {
    std::uint64_t id = 0;
};

// Of a proposal: it may or may not be committed. Of a confirmation: this member may not be the primary.
struct OutcomeUnknown {
    std::uint64_t id = 0;
};

struct LeadershipConfirmed {
    std::uint64_t id = 0;
};

// `Replica::committed` has a newer state.
struct StateChanged {};

using Action = std::variant<Send, Save, Committed, OutcomeUnknown, LeadershipConfirmed, StateChanged>;

} // namespace willowrill::replication
