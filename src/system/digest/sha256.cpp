#include "system/digest/sha256.h"

#include <sodium.h>

namespace willowrill::digest {

Sha256 sha256(std::string_view bytes) {
    Sha256 out{};
    static_assert(out.size() == crypto_hash_sha256_BYTES);
    crypto_hash_sha256(out.data(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    return out;
}

} // namespace willowrill::digest
