#include "system/verification/state_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace willowrill::verification {

void StateHasher::add(Time at) { add(std::clamp(at - now_, -horizon_, horizon_).count()); }

StateHash StateHasher::result() const {
    const XXH128_hash_t hash = XXH3_128bits(bytes_.data(), bytes_.size());
    return {hash.low64, hash.high64};
}

} // namespace willowrill::verification
