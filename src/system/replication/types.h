// Data types of primary-backup replication: epochs, positions, the register of a witness and the replicated
// state. Messages between members are in messages.h.
//
// One epoch is in force at a time. Its record names the primary, the in-sync set (the members that hold every
// acknowledged state) and the witnesses, a majority of which must store a record before it takes effect. The
// replicated state is one document with a position; there is no log.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace willowrill::replication {

using MemberId = std::string; // control endpoint of a core member, such as "10.1.0.13:8166"
using Epoch = std::uint64_t;

inline constexpr Epoch initial_epoch = 1; // the epoch of the first start, formed by the seeds

// Orders states. States of higher epochs are newer; within an epoch its primary assigns sequence numbers.
struct Position {
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const Position&) const = default;
};

// As log lines name it: epoch and sequence number, with a dot between them.
inline std::string to_text(const Position& position) {
    return std::to_string(position.epoch) + "." + std::to_string(position.sequence);
}

struct EpochRecord {
    Epoch epoch = 0;
    MemberId primary;
    std::vector<MemberId> in_sync;
    std::vector<MemberId> witnesses;
    bool operator==(const EpochRecord&) const = default;
};

// The durable data of a witness.
struct WitnessRegister {
    Epoch promised = 0;    // the witness takes part in no lower epoch
    EpochRecord accepted;  // the record with the highest epoch that was stored
    EpochRecord decided;   // the highest record known to be accepted by a quorum
    bool complete = false; // the replicated state on this disk was complete when last installed
    bool operator==(const WitnessRegister&) const = default;
};

// The durable data of a replica. The content is immutable, so that readers may share it.
struct ReplicatedState {
    Position position;
    std::shared_ptr<const std::string> content = std::make_shared<const std::string>();
};

// Identifies a save. Ids increase; saves are executed and answered in the order of their ids.
using SaveId = std::uint64_t;

// A record on disk. Each type has its own ring of records, of which the newest complete one is valid.
using DiskRecord = std::variant<WitnessRegister, ReplicatedState>;

} // namespace willowrill::replication
