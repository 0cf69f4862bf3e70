// Compression of long texts, which repeat themselves much, for disks and links; by libzstd. Pure: any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::compression {

// The compressed bytes, or the text itself where they would not be shorter.
std::string compress(std::string_view text);

// The text that was compressed; what does not begin as compressed bytes do is returned as it is. Nothing
// where the bytes are damaged, or stand for more than `max_size` bytes.
std::optional<std::string> decompress(std::string_view bytes, std::size_t max_size);

// The text as its difference to `base`, for a reader that has the very same base. Short where the two have
// much in common, wherever in the text it stands.
std::string compress_against(std::string_view base, std::string_view text);

// The text that was compressed against this base. Nothing where the bytes are damaged or stand for more than
// `max_size` bytes. Another base than the writer's gives nothing, or a text that is not the writer's: whoever
// cannot rule that out compares a digest.
std::optional<std::string> decompress_against(std::string_view base, std::string_view bytes,
                                              std::size_t max_size);

} // namespace willowrill::compression
