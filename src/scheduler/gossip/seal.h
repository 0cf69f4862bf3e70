// Encryption of datagrams by XChaCha20-Poly1305 (libsodium) with an unencrypted key id, and replay
// protection.
#pragma once

#include "scheduler/gossip/frame.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace willowrill::gossip {

inline constexpr unsigned char datagram_format = 1; // version of the envelope and of its content

struct Key {
    std::uint32_t id = 0;
    std::array<unsigned char, 32> secret{};
};

// Why a received datagram was dropped.
enum class DropReason : std::uint8_t {
    foreign_network, // sender address outside the configured networks
    malformed,       // invalid envelope or frame
    unknown_format,  // other format version
    unknown_key,     // key id not configured here
    forged,          // authentication failed: wrong secret or modified datagram
    replayed,        // already received, or outside the replay window
    too_old,         // send time differs from the local clock by more than `max_age`
    own,             // sent by this instance itself
    number_of_reasons
};
inline constexpr std::size_t drop_reason_count = static_cast<std::size_t>(DropReason::number_of_reasons);
const char* name_of(DropReason reason);

// Encrypts and authenticates datagrams with pre-shared keys.
class Sealer {
  public:
    // Takes one or two keys: seals with the first and opens with any, which permits key rotation. Throws
    // std::runtime_error if there is no key or libsodium fails to initialize.
    explicit Sealer(std::vector<Key> keys);

    static constexpr std::size_t overhead_bytes = 1 + 1 + 4 + 24 + 16; // magic, format, key id, nonce, tag
    Bytes seal(std::span<const unsigned char> plaintext) const;
    // `reason` is meaningful only if `valid` is false.
    struct Opened {
        bool valid = false;
        DropReason reason{};
        Bytes plaintext{};
    };
    Opened open(std::span<const unsigned char> datagram) const;

  private:
    std::vector<Key> keys_;
};

// Rejects datagrams that were already received, by a sliding window of sequence numbers for each sender. When
// there are too many senders, the least recently active one is forgotten.
class ReplayFilter {
  public:
    explicit ReplayFilter(std::size_t max_senders) : max_senders_(max_senders) {}
    // Returns false if the sequence number was accepted before or is older than the window.
    bool accept(std::uint64_t life, std::uint64_t sequence_number);
    std::size_t senders() const { return senders_by_life_.size(); }

  private:
    // Datagrams may be reordered by less than this many sequence numbers.
    static constexpr std::size_t window_size = 1024;
    struct Sender {
        std::uint64_t life = 0, highest = 0;
        std::array<std::uint64_t, window_size / 64> seen_bits{}; // indexed by `sequence_number % window_size`
    };
    std::size_t max_senders_;
    std::list<Sender> senders_; // most recently active first
    std::unordered_map<std::uint64_t, std::list<Sender>::iterator> senders_by_life_;
};

} // namespace willowrill::gossip
