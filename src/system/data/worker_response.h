// Reads one response from a worker's connection: its head, then its body piece by piece. Bounds heads and
// what is discarded. The object must outlive its reads. One thread.
#pragma once

#include "system/data/worker_pool.h"
#include "system/transport/asio.h"

#include <cstddef>

namespace willowrill::data {

inline constexpr std::size_t max_response_body_bytes = 16U << 20U;
inline constexpr std::size_t read_buffer_bytes = 16384;

class WorkerResponse {
  public:
    // `without_body`: the response to a HEAD request.
    WorkerResponse(WorkerConnectionPtr connection, bool without_body);

    // False where the connection ended or what came is no response.
    asio::awaitable<bool> read_head();
    // Reads some of the body into the buffer; returns how many bytes it got. `last_error` tells of failure.
    asio::awaitable<std::size_t> read_some(asio::mutable_buffer buffer);
    // Reads the rest of a response that goes to nobody, up to so many bytes. Says whether it was complete.
    asio::awaitable<bool> discard_body(std::size_t max_bytes);

    // Without what trailers add to the message.
    const http::response_header<>& head() const { return head_; }
    // The body was read to its end. One without a length ends with its connection.
    bool complete() const { return parser_.is_done(); }
    // It has no length.
    bool ends_with_connection() const { return parser_.need_eof(); }
    // The worker keeps the connection open.
    bool keep_alive() const { return parser_.keep_alive(); }

    bool has_head() const { return has_head_; }
    // How the last read ended.
    ErrorCode last_error() const { return last_error_; }
    std::size_t body_bytes() const { return body_bytes_; }
    // Memory that what has come and isn't parsed yet takes.
    std::size_t buffered_bytes() const { return connection_->input.capacity(); }

  private:
    WorkerConnectionPtr connection_;
    ErrorCode last_error_;
    std::size_t body_bytes_ = 0; // read so far
    bool has_head_ = false;
    http::response_header<> head_;
    http::response_parser<http::buffer_body> parser_;
};

} // namespace willowrill::data
