#include "scheduler/counts/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace willowrill::counts {

std::uint64_t Identity::key() const { return XXH3_64bits_withSeed(instance.data(), instance.size(), number); }

std::uint64_t next_life_number(Time now, std::uint32_t random, std::uint64_t last) {
    constexpr unsigned bits = 20;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::uint64_t own = (static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0)) << bits) |
                              (random & ((1U << bits) - 1));
    // The random step beyond `last` keeps two instances of one name apart here, too.
    return std::max(own, last + 1 + (random & ((1U << bits) - 1)));
}

} // namespace willowrill::counts
