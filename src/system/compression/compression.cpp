#include "system/compression/compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>

namespace willowrill::compression {
namespace {

// Time of the processor is dearer than the last tenth of the bytes.
constexpr int compression_level = 1;
constexpr std::string_view zstd_magic("\x28\xb5\x2f\xfd", 4); // of every zstd frame; no JSON begins so

// Bases above this size are searched for long matches too: the tables of the level alone forget their begin.
constexpr std::size_t min_size_for_long_matches = 64U << 10U;
constexpr unsigned min_window_log = 10;

struct FreeContext {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};
using CompressionContext = std::unique_ptr<ZSTD_CCtx, FreeContext>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, FreeContext>;

// The window has to reach from the end of the text back to the begin of the base.
int window_log(std::size_t size) {
    const auto bits = static_cast<unsigned>(std::bit_width(size));
    return static_cast<int>(std::max(bits, min_window_log));
}

void check(std::size_t result) {
    if (ZSTD_isError(result) != 0) throw std::runtime_error(ZSTD_getErrorName(result));
}

// The size that the compressed bytes state, where it is one that may be asked for.
std::optional<std::size_t> stated_size(std::string_view bytes, std::size_t max_size) {
    const unsigned long long stated = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN || stated > max_size)
        return std::nullopt;
    return stated;
}

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
    const std::optional<std::size_t> stated = stated_size(bytes, max_size);
    if (!stated) return std::nullopt;
    std::string out(*stated, '\0');
    const std::size_t size = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(size) != 0 || size != *stated) return std::nullopt;
    return out;
}

std::string compress_against(std::string_view base, std::string_view text) {
    const CompressionContext context(ZSTD_createCCtx());
    const auto set = [&](ZSTD_cParameter parameter, int value) {
        check(ZSTD_CCtx_setParameter(context.get(), parameter, value));
    };
    set(ZSTD_c_compressionLevel, compression_level);
    set(ZSTD_c_windowLog, window_log(base.size() + text.size()));
    set(ZSTD_c_checksumFlag, 1);
    if (base.size() >= min_size_for_long_matches) set(ZSTD_c_enableLongDistanceMatching, 1);
    check(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), out.data(), out.size(), text.data(), text.size());
    check(size);
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

std::optional<std::string> decompress_against(std::string_view base, std::string_view bytes,
                                              std::size_t max_size) {
    const std::optional<std::size_t> stated = stated_size(bytes, max_size);
    if (!stated) return std::nullopt;
    const DecompressionContext context(ZSTD_createDCtx());
    check(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log(base.size() + max_size)));
    check(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string out(*stated, '\0');
    const std::size_t size =
        ZSTD_decompressDCtx(context.get(), out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(size) != 0 || size != *stated) return std::nullopt;
    return out;
}

} // namespace willowrill::compression
