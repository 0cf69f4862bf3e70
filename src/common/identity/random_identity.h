// Identities that two processes, or two starts of one process, must not share.
#pragma once

#include <cstdint>
#include <random>

namespace willowrill::identity {

// 64 random bits from the system's source. May be called from any thread; throws std::exception where the
// system has no such source.
inline std::uint64_t random_identity() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device();
}

} // namespace willowrill::identity
