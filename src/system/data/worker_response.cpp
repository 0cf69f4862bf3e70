#include "system/data/worker_response.h"

#include "system/http_reader/read.h"

#include <limits>
#include <string>
#include <utility>

namespace willowrill::data {
namespace {

// Less than the connection's buffer has room for, so that a head over the limit is told from one that is not
// complete.
constexpr std::uint32_t max_head_bytes = max_response_framing_bytes - 1;

} // namespace

WorkerResponse::WorkerResponse(WorkerConnectionPtr connection, bool without_body)
    : connection_(std::move(connection)) {
    parser_.header_limit(max_head_bytes);
    // None at all is taken for 0 by this Beast.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (without_body) parser_.skip(true);
}

asio::awaitable<bool> WorkerResponse::read_head() {
    ErrorCode error;
    co_await http_reader::async_read(connection_->socket, connection_->input, parser_,
                                     http_reader::ReadUntil::head,
                                     asio::redirect_error(asio::use_awaitable, error));
    last_error_ = error;
    has_head_ = !error;
    // The parser writes the fields of trailers to where it wrote those of the head.
    if (has_head_) head_ = std::move(parser_.get().base());
    co_return has_head_;
}

asio::awaitable<std::size_t> WorkerResponse::read_some(asio::mutable_buffer buffer) {
    ErrorCode error;
    auto& body = parser_.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    body.more = true;
    co_await http_reader::async_read(connection_->socket, connection_->input, parser_,
                                     http_reader::ReadUntil::progress,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    last_error_ = error;
    const std::size_t got = buffer.size() - body.size;
    body_bytes_ += got;
    co_return got;
}

asio::awaitable<bool> WorkerResponse::discard_body(std::size_t max_bytes) {
    std::string discarded(read_buffer_bytes, '\0');
    while (!complete() && !last_error_ && body_bytes_ <= max_bytes)
        co_await read_some(asio::buffer(discarded));
    co_return complete() && !last_error_;
}

} // namespace willowrill::data
