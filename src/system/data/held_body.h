// The body of a worker's response, held until it is complete, so that another attempt may be made where the
// worker breaks off. In blocks, so that it takes no more memory than it counts. One thread.
#pragma once

#include "system/budget/byte_budget.h"
#include "system/transport/asio.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace willowrill::data {

class HeldBody {
  public:
    static constexpr std::size_t block_bytes = 16384;

    // The first block is held whatever others hold; the rest is part of `memory`.
    explicit HeldBody(std::shared_ptr<budget::ByteBudget> memory) : memory_(std::move(memory)) {}

    // Room for the next read; of no size where there is no memory for it.
    asio::mutable_buffer prepare();
    // So many bytes were read into the room.
    void commit(std::size_t bytes) { size_ += bytes; }

    std::size_t size() const { return size_; }
    std::vector<asio::const_buffer> data() const;
    void clear();

  private:
    using Block = std::array<char, block_bytes>;

    std::vector<std::unique_ptr<Block>> blocks_; // at most as many as the memory has room for, and one
    std::size_t size_ = 0;
    budget::ByteBudget::Reservation memory_;
};

} // namespace willowrill::data
