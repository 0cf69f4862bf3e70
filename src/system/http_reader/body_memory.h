// The memory that the body of one message takes while it is read and used. Pure; one thread.
#pragma once

#include "system/budget/byte_budget.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace willowrill::http_reader {

class BodyMemory {
  public:
    // Each byte of the body is counted `copies` times. `uncounted_bytes`: of the body, that it may have
    // whatever others hold.
    BodyMemory(std::shared_ptr<budget::ByteBudget> memory, std::size_t copies,
               std::size_t uncounted_bytes = 0)
        : reservation_(std::move(memory)), copies_(copies), uncounted_bytes_(uncounted_bytes) {}

    // Whether there is room for what a parser with a string body has read, and for the length that the
    // message declares. The parser has its head.
    template <class Parser> bool has_room(const Parser& parser) {
        const std::size_t declared = parser.content_length().value_or(0);
        const std::size_t bytes = std::max(declared, parser.get().body().size());
        return reservation_.grow_to(copies_ * (bytes - std::min(bytes, uncounted_bytes_)));
    }

  private:
    budget::ByteBudget::Reservation reservation_;
    std::size_t copies_;
    std::size_t uncounted_bytes_;
};

// For parsers whose body goes elsewhere.
struct NoBodyMemory {
    template <class Parser> bool has_room(const Parser& /*parser*/) const { return true; }
};

} // namespace willowrill::http_reader
