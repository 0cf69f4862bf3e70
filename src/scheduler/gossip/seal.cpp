#include "scheduler/gossip/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace willowrill::gossip {
namespace {

constexpr unsigned char magic = 0x57;
constexpr std::size_t header_bytes = 6, nonce_bytes = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES,
                      tag_bytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(header_bytes + nonce_bytes + tag_bytes == Sealer::overhead_bytes);

} // namespace

const char* name_of(DropReason reason) {
    static constexpr std::array<const char*, drop_reason_count> names{
        "foreign_network", "malformed", "unknown_format", "unknown_key",
        "forged",          "replayed",  "too_old",        "own"};
    return names.at(static_cast<std::size_t>(reason));
}

Sealer::Sealer(std::vector<Key> keys) : keys_(std::move(keys)) {
    if (::sodium_init() < 0) throw std::runtime_error("libsodium failed to initialize");
    if (keys_.empty()) throw std::runtime_error("no key configured for sealing datagrams");
}

Bytes Sealer::seal(std::span<const unsigned char> plaintext) const {
    const Key& key = keys_.front();
    Bytes result(overhead_bytes + plaintext.size());
    result[0] = magic;
    result[1] = datagram_format;
    for (unsigned i = 0; i < 4; ++i)
        result[2 + i] = static_cast<unsigned char>(key.id >> (8 * i));
    // A random nonce of 192 bits does not repeat in practice.
    ::randombytes_buf(result.data() + header_bytes, nonce_bytes);
    ::crypto_aead_xchacha20poly1305_ietf_encrypt(
        result.data() + header_bytes + nonce_bytes, nullptr, plaintext.data(), plaintext.size(),
        result.data(), header_bytes, nullptr, result.data() + header_bytes, key.secret.data());
    return result;
}

Sealer::Opened Sealer::open(std::span<const unsigned char> datagram) const {
    if (datagram.size() < overhead_bytes || datagram.size() > max_datagram_bytes || datagram[0] != magic)
        return {.reason = DropReason::malformed, .plaintext = {}};
    if (datagram[1] != datagram_format) return {.reason = DropReason::unknown_format, .plaintext = {}};
    std::uint32_t id = 0;
    for (unsigned i = 0; i < 4; ++i)
        id |= static_cast<std::uint32_t>(datagram[2 + i]) << (8 * i);
    const auto key = std::ranges::find(keys_, id, &Key::id);
    if (key == keys_.end()) return {.reason = DropReason::unknown_key, .plaintext = {}};
    Opened result{.valid = true, .plaintext = Bytes(datagram.size() - overhead_bytes)};
    const unsigned char* ciphertext = datagram.data() + header_bytes + nonce_bytes;
    if (::crypto_aead_xchacha20poly1305_ietf_decrypt(result.plaintext.data(), nullptr, nullptr, ciphertext,
                                                     datagram.size() - header_bytes - nonce_bytes,
                                                     datagram.data(), header_bytes,
                                                     datagram.data() + header_bytes, key->secret.data()) != 0)
        return {.reason = DropReason::forged, .plaintext = {}};
    return result;
}

bool ReplayFilter::accept(std::uint64_t life, std::uint64_t sequence_number) {
    const auto known = senders_by_life_.find(life);
    if (known == senders_by_life_.end()) {
        if (senders_.size() >= max_senders_) {
            senders_by_life_.erase(senders_.back().life);
            senders_.pop_back();
        }
        senders_.push_front({.life = life, .highest = sequence_number});
        senders_by_life_.emplace(life, senders_.begin());
    } else {
        senders_.splice(senders_.begin(), senders_, known->second);
    }
    Sender& sender = senders_.front();
    if (sequence_number > sender.highest) {
        const std::uint64_t ahead = sequence_number - sender.highest;
        if (ahead >= window_size) {
            sender.seen_bits.fill(0);
        } else { // the bits of the skipped numbers still describe numbers that left the window
            for (std::uint64_t skipped = sender.highest + 1; skipped < sequence_number; ++skipped)
                sender.seen_bits[skipped % window_size / 64] &= ~(std::uint64_t{1} << (skipped % 64));
        }
        sender.highest = sequence_number;
        sender.seen_bits[sequence_number % window_size / 64] |= std::uint64_t{1} << (sequence_number % 64);
        return true;
    }
    if (sender.highest - sequence_number >= window_size) return false;
    std::uint64_t& word = sender.seen_bits[sequence_number % window_size / 64];
    const std::uint64_t bit = std::uint64_t{1} << (sequence_number % 64);
    if ((word & bit) != 0) return false;
    word |= bit;
    return true;
}

} // namespace willowrill::gossip
