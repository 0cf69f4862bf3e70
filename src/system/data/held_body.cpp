#include "system/data/held_body.h"

#include <algorithm>

namespace willowrill::data {

asio::mutable_buffer HeldBody::prepare() {
    const std::size_t used_of_last = size_ % block_bytes;
    const bool last_is_full = blocks_.size() * block_bytes == size_;
    if (last_is_full) {
        if (!memory_.grow_to(blocks_.size() * block_bytes)) return {};
        blocks_.push_back(std::make_unique<Block>());
    }
    Block& last = *blocks_.back();
    return {last.data() + used_of_last, block_bytes - used_of_last};
}

std::vector<asio::const_buffer> HeldBody::data() const {
    std::vector<asio::const_buffer> out;
    out.reserve(blocks_.size());
    std::size_t left = size_;
    for (const auto& block : blocks_) {
        const std::size_t bytes = std::min(left, block_bytes);
        out.emplace_back(block->data(), bytes);
        left -= bytes;
    }
    return out;
}

void HeldBody::clear() {
    blocks_.clear();
    size_ = 0;
    memory_.shrink_to(0);
}

} // namespace willowrill::data
