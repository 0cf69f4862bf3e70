// Datagrams sealed by XChaCha20-Poly1305 (libsodium), with the id of the key in clear before them; and the
// memory of those that were taken, so that none is taken twice.
#pragma once

#include "scheduler/gossip/frame.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace willowrill::gossip {

inline constexpr unsigned char format = 1; // of the envelope and of what is in it

struct Key {
    std::uint32_t id = 0;
    std::array<unsigned char, 32> secret{};
};

enum class DropReason : std::uint8_t {
    foreign_network, // from outside the configured networks
    malformed,       // no envelope of ours, or no frame in it
    unknown_format,  // of another version of the program
    unknown_key,     // sealed with a key that is not configured here
    forged,          // the seal does not fit: another secret, or changed on its way
    replayed,        // taken before, or too far behind those that were
    too_old,         // sent longer ago than `max_age` by the two clocks
    own,             // sent by this very instance
    number_of_causes
};
inline constexpr std::size_t drop_reason_count = static_cast<std::size_t>(DropReason::number_of_causes);
const char* name_of(DropReason cause);

class Sealer {
  public:
    // One or two keys; seals with the first and opens with each. Throws std::runtime_error if libsodium
    // cannot start.
    explicit Sealer(std::vector<Key> keys);

    static constexpr std::size_t overhead_bytes = 1 + 1 + 4 + 24 + 16; // magic, format, key's id, nonce, tag
    Bytes seal(std::span<const unsigned char> plain) const;
    struct Opened {
        bool good = false;
        DropReason cause{};
        Bytes plain{};
    };
    Opened open(std::span<const unsigned char> datagram) const;

  private:
    std::vector<Key> keys_;
};

// Counts taken from each sender's life, by a window. Bounded: of the senders, the one heard of longest ago
// gives way.
class Replay {
  public:
    explicit Replay(std::size_t most_senders) : most_(most_senders) {}
    bool take(std::uint64_t life, std::uint64_t count); // false: taken before, or behind the window
    std::size_t senders() const { return by_life_.size(); }

  private:
    static constexpr std::size_t window = 1024; // datagrams that may overtake one another
    struct Sender {
        std::uint64_t life = 0, highest = 0;
        std::array<std::uint64_t, window / 64> seen{}; // bit `count % window`
    };
    std::size_t most_;
    std::list<Sender> senders_; // heard of latest first
    std::unordered_map<std::uint64_t, std::list<Sender>::iterator> by_life_;
};

} // namespace willowrill::gossip
