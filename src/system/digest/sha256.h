// SHA-256, by which contents are told apart and recognised; by libsodium. Pure: any thread.
#pragma once

#include <array>
#include <string_view>

namespace willowrill::digest {

using Sha256 = std::array<unsigned char, 32>;

Sha256 sha256(std::string_view bytes);

} // namespace willowrill::digest
