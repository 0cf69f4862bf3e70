#include "scheduler/counts/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace willowrill::counts {

std::uint64_t Identity::key() const { return XXH3_64bits_withSeed(instance.data(), instance.size(), number); }

std::uint64_t next_number(Time now, std::uint32_t random, std::uint64_t last) {
    constexpr unsigned bits = 20;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::uint64_t own = (static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)) << bits) |
                              (random & ((1U << bits) - 1));
    // Past `last` by a random step, for the same reason that the number has random bits.
    return std::max(own, last + 1 + (random & ((1U << bits) - 1)));
}

} // namespace willowrill::counts
