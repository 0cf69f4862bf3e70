// The frames that instances exchange, as values, and their form on the wire. Decoding takes bytes from
// anywhere: what is not a frame is told apart by cause and has no effect.
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

struct Frame {
    std::uint64_t life = 0, count = 0; // of the sender; its datagrams' count ascends
    Time sent{0};                      // by its clock
    Body body{};
};

// Of a datagram on the wire, all of it; below what any path carries unbroken.
inline constexpr std::size_t max_datagram_bytes = 1200;

Bytes encode(const Frame& frame);
std::optional<Frame> decode(std::span<const unsigned char> bytes); // nothing: malformed

// What survives a restart.
struct Snapshot {
    std::string instance{};
    std::uint64_t number = 0;
    Time saved{0};
    std::vector<counts::Delta> deltas{};
};
Bytes encode(const Snapshot& snapshot);
std::optional<Snapshot> decode_snapshot(std::span<const unsigned char> bytes);

} // namespace willowrill::gossip
