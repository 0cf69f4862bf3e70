// The bytes that have come on a connection and are not parsed yet. Bounded for each connection, and beyond a
// small part by what all input of the process may hold together. One thread.
#pragma once

#include "system/budget/byte_budget.h"
#include "system/transport/asio.h"

#include <cstddef>
#include <memory>

namespace willowrill::http_reader {

// What each connection may hold whatever the others do.
inline constexpr std::size_t uncounted_buffer_bytes = 4096;

class InputBuffer {
  public:
    // At most `max_bytes` wait unparsed.
    InputBuffer(std::shared_ptr<budget::ByteBudget> memory, std::size_t max_bytes);

    // Room for the next read. Sets `error` where there is none: http::error::buffer_overflow for this
    // connection, asio::error::no_memory for the process.
    asio::mutable_buffer prepare(ErrorCode& error);
    // So many bytes were read into the room.
    void commit(std::size_t bytes) { bytes_.commit(bytes); }

    asio::const_buffer data() const { return bytes_.data(); }
    std::size_t size() const { return bytes_.size(); }
    std::size_t capacity() const { return bytes_.capacity(); }
    // So many bytes, the first ones, are parsed.
    void consume(std::size_t bytes) { bytes_.consume(bytes); }

    // What is there already stays.
    void set_max_bytes(std::size_t max_bytes);
    // Gives memory back where nothing waits: for a connection at rest.
    void trim();

  private:
    beast::flat_buffer bytes_;
    budget::ByteBudget::Reservation memory_;
};

} // namespace willowrill::http_reader
