// The frames that instances exchange, and their encoding. Decoding accepts untrusted bytes and rejects
// everything that is not a valid frame.
#pragma once

#include "scheduler/counts/wire.h"
#include "scheduler/swim/members.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace willowrill::gossip {

using Bytes = std::vector<unsigned char>;
using Time = std::chrono::nanoseconds;

using DeltaRequest = std::vector<counts::KnownVersion>;
using Body = std::variant<swim::Message, counts::Digest, DeltaRequest, counts::Delta>;

// The content of one datagram: its sender's life and sequence number, the time by the sender's clock, and a
// message.
struct Frame {
    std::uint64_t life = 0, sequence_number = 0;
    Time sent_at{0};
    Body body{};
};

// The largest payload of a UDP datagram; small enough to avoid IP fragmentation.
inline constexpr std::size_t max_datagram_bytes = 1200;

Bytes encode(const Frame& frame);
std::optional<Frame> decode(std::span<const unsigned char> bytes); // empty if malformed

// The counts of an instance, as saved for its next life.
struct Snapshot {
    std::string instance{};
    std::uint64_t number = 0; // of the life that saved it
    Time saved_at{0};
    std::vector<counts::Delta> deltas{};
};
Bytes encode(const Snapshot& snapshot);
std::optional<Snapshot> decode_snapshot(std::span<const unsigned char> bytes); // empty if malformed

} // namespace willowrill::gossip
