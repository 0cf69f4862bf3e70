// What a core member keeps of primary-backup replication: epochs, positions, the register of a witness and
// the replicated state. Messages between members are in messages.h.
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

inline constexpr Epoch initial_epoch = 1; // of the first start, by the seeds alone

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

// Names a save; saves are carried out and answered in the order of their ids, which rise.
using SaveId = std::uint64_t;

// What is kept on disk. Each kind has a ring of records of its own, and the newest complete one counts.
using DiskRecord = std::variant<WitnessRegister, ReplicatedState>;

} // namespace willowrill::replication
