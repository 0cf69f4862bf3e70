// Random identities that are unique across processes and restarts.
#pragma once

#include <cstdint>
#include <random>

namespace willowrill::identity {

// Returns 64 random bits from the operating system. Thread-safe. Throws std::exception if the system has no
// source of randomness.
inline std::uint64_t random_identity() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device();
}

} // namespace willowrill::identity
