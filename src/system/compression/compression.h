// Packs long texts, which repeat themselves much, for disks and links. By libzstd. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::compression {

// The packed bytes, or the text itself where packing does not make it shorter.
std::string pack(std::string_view text);

// The text that was packed; what does not begin as packed bytes do is returned as it is. Nothing where the
// bytes are damaged, or stand for more than `most_bytes`.
std::optional<std::string> unpack(std::string_view bytes, std::size_t most_bytes);

} // namespace willowrill::compression
