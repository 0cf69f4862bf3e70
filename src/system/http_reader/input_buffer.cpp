#include "system/http_reader/input_buffer.h"

#include <algorithm>
#include <utility>

namespace willowrill::http_reader {
namespace {

constexpr std::size_t max_read_bytes = 65536; // of one read

std::size_t counted_bytes(std::size_t capacity) {
    return capacity - std::min(capacity, uncounted_buffer_bytes);
}

} // namespace

InputBuffer::InputBuffer(std::shared_ptr<budget::ByteBudget> memory, std::size_t max_bytes)
    : bytes_(max_bytes), memory_(std::move(memory)) {}

asio::mutable_buffer InputBuffer::prepare(ErrorCode& error) {
    const std::size_t wanted = beast::read_size(bytes_, max_read_bytes);
    if (wanted == 0) {
        error = http::error::buffer_overflow;
        return {};
    }
    const std::size_t needed = bytes_.size() + wanted;
    if (needed > bytes_.capacity()) {
        const std::size_t grown = std::min(bytes_.max_size(), std::max(needed, 2 * bytes_.size()));
        if (!memory_.grow_to(counted_bytes(grown))) {
            error = asio::error::no_memory;
            return {};
        }
    }
    return bytes_.prepare(wanted);
}

void InputBuffer::set_max_bytes(std::size_t max_bytes) {
    bytes_.max_size(std::max(max_bytes, bytes_.size()));
}

void InputBuffer::trim() {
    if (bytes_.size() > 0 || bytes_.capacity() <= uncounted_buffer_bytes) return;
    bytes_.shrink_to_fit();
    memory_.shrink_to(0);
}

} // namespace willowrill::http_reader
