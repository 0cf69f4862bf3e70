#include "scheduler/gossip/seal.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace willowrill::gossip {
namespace {

constexpr unsigned char magic = 0x57;
constexpr std::size_t head = 6, nonce_size = crypto_aead_xchacha20poly1305_ietf_NPUBBYTES,
                      tag = crypto_aead_xchacha20poly1305_ietf_ABYTES;
static_assert(head + nonce_size + tag == Sealer::overhead_bytes);

} // namespace

const char* name_of(DropReason cause) {
    static constexpr std::array<const char*, drop_reason_count> names{
        "foreign_network", "malformed", "unknown_format", "unknown_key",
        "forged",          "replayed",  "too_old",        "own"};
    return names.at(static_cast<std::size_t>(cause));
}

Sealer::Sealer(std::vector<Key> keys) : keys_(std::move(keys)) {
    if (::sodium_init() < 0) throw std::runtime_error("libsodium cannot start");
    if (keys_.empty()) throw std::runtime_error("no key to seal datagrams with");
}

Bytes Sealer::seal(std::span<const unsigned char> plain) const {
    const Key& key = keys_.front();
    Bytes out(overhead_bytes + plain.size());
    out[0] = magic;
    out[1] = format;
    for (unsigned i = 0; i < 4; ++i)
        out[2 + i] = static_cast<unsigned char>(key.id >> (8 * i));
    ::randombytes_buf(out.data() + head, nonce_size); // 192 bits: may be drawn, never repeats
    ::crypto_aead_xchacha20poly1305_ietf_encrypt(out.data() + head + nonce_size, nullptr, plain.data(),
                                                 plain.size(), out.data(), head, nullptr, out.data() + head,
                                                 key.secret.data());
    return out;
}

Sealer::Opened Sealer::open(std::span<const unsigned char> datagram) const {
    if (datagram.size() < overhead_bytes || datagram.size() > max_datagram_bytes || datagram[0] != magic)
        return {.cause = DropReason::malformed, .plain = {}};
    if (datagram[1] != format) return {.cause = DropReason::unknown_format, .plain = {}};
    std::uint32_t id = 0;
    for (unsigned i = 0; i < 4; ++i)
        id |= static_cast<std::uint32_t>(datagram[2 + i]) << (8 * i);
    const auto key = std::ranges::find(keys_, id, &Key::id);
    if (key == keys_.end()) return {.cause = DropReason::unknown_key, .plain = {}};
    Opened out{.good = true, .plain = Bytes(datagram.size() - overhead_bytes)};
    const unsigned char* sealed = datagram.data() + head + nonce_size;
    if (::crypto_aead_xchacha20poly1305_ietf_decrypt(out.plain.data(), nullptr, nullptr, sealed,
                                                     datagram.size() - head - nonce_size, datagram.data(),
                                                     head, datagram.data() + head, key->secret.data()) != 0)
        return {.cause = DropReason::forged, .plain = {}};
    return out;
}

bool Replay::take(std::uint64_t life, std::uint64_t count) {
    const auto known = by_life_.find(life);
    if (known == by_life_.end()) {
        if (senders_.size() >= most_) {
            by_life_.erase(senders_.back().life);
            senders_.pop_back();
        }
        senders_.push_front({.life = life, .highest = count});
        by_life_.emplace(life, senders_.begin());
    } else {
        senders_.splice(senders_.begin(), senders_, known->second);
    }
    Sender& sender = senders_.front();
    if (count > sender.highest) {
        const std::uint64_t ahead = count - sender.highest;
        if (ahead >= window) {
            sender.seen.fill(0);
        } else { // the places of the counts that were passed over are those of old ones
            for (std::uint64_t passed = sender.highest + 1; passed < count; ++passed)
                sender.seen[passed % window / 64] &= ~(std::uint64_t{1} << (passed % 64));
        }
        sender.highest = count;
        sender.seen[count % window / 64] |= std::uint64_t{1} << (count % 64);
        return true;
    }
    if (sender.highest - count >= window) return false;
    std::uint64_t& word = sender.seen[count % window / 64];
    const std::uint64_t bit = std::uint64_t{1} << (count % 64);
    if ((word & bit) != 0) return false;
    word |= bit;
    return true;
}

} // namespace willowrill::gossip
