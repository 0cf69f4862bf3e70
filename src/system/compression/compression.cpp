#include "system/compression/compression.h"

#include <zstd.h>

namespace willowrill::compression {
namespace {

// Time of the processor is dearer than the last tenth of the bytes.
constexpr int compression_level = 1;
constexpr std::string_view zstd_magic("\x28\xb5\x2f\xfd", 4); // of every zstd frame; no JSON begins so

} // namespace

std::string compress(std::string_view text) {
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size =
        ZSTD_compress(out.data(), out.size(), text.data(), text.size(), compression_level);
    if (ZSTD_isError(size) != 0 || size >= text.size()) return std::string(text);
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_size) {
    if (!bytes.starts_with(zstd_magic)) return std::string(bytes);
    const unsigned long long stated = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN || stated > max_size)
        return std::nullopt;
    std::string out(stated, '\0');
    const std::size_t size = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(size) != 0 || size != stated) return std::nullopt;
    return out;
}

} // namespace willowrill::compression
