#include "system/transport/frame_connection.h"

#include "system/logging/log.h"
#include "system/transport/socket_options.h"

#include <algorithm>
#include <utility>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{1500};
constexpr std::size_t kept_buffer_bytes = 65536; // a longer message's buffer is released
constexpr std::size_t read_step_bytes = 16384;

// Beyond the first step, which each connection may hold. A growing string may take twice its length.
std::size_t counted_bytes(std::size_t body_bytes) {
    return 2 * (body_bytes - std::min(body_bytes, read_step_bytes));
}

} // namespace

FrameConnection::FrameConnection(Tcp::socket socket, std::shared_ptr<budget::ByteBudget> input_memory)
    : socket_(std::move(socket)), linger_timer_(socket_.get_executor()),
      body_memory_(std::move(input_memory)), frame_timer_(socket_.get_executor()) {
    configure_socket(socket_, unacknowledged_timeout);
}

void FrameConnection::start(OnMessage on_message, OnClosed on_closed) {
    on_message_ = std::move(on_message);
    on_closed_ = std::move(on_closed);
    read_length();
}

void FrameConnection::send(const nlohmann::json& message) {
    if (open_) send_frame(frame_of(message));
}

void FrameConnection::send_frame(Frame frame) {
    if (!open_ || lingering_) return;
    if (on_frame_sent_) on_frame_sent_(frame->size());
    queued_bytes_ += frame->size();
    if (queued_bytes_ > max_queued_bytes) return close(); // a peer that does not read
    queue_.push_back(std::move(frame));
    if (!writing_) write_next();
}

void FrameConnection::write_next() {
    if (queue_.empty() || !open_) return;
    writing_ = true;
    const Frame frame = queue_.front();
    asio::async_write(socket_, asio::buffer(*frame),
                      [self = shared_from_this(), frame](ErrorCode error, std::size_t /*bytes*/) {
                          self->on_written(error, frame);
                      });
}

void FrameConnection::on_written(ErrorCode error, const Frame& frame) {
    writing_ = false;
    if (error || !open_) return close(); // closing has emptied the queue
    queued_bytes_ -= frame->size();
    queue_.pop_front();
    if (lingering_ && queue_.empty()) return finish_sending();
    write_next();
}

void FrameConnection::close_when_sent() {
    if (!open_ || std::exchange(lingering_, true)) return;
    linger_timer_.expires_after(linger_timeout);
    linger_timer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error) self->close();
    });
    if (queue_.empty()) finish_sending();
}

// To close with unread bytes would reset the connection, and the peer might lose what was sent: it closes.
void FrameConnection::finish_sending() {
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
}

void FrameConnection::read_length() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                         if (error || !self->open_) return self->close();
                         self->on_length();
                     });
}

void FrameConnection::on_length() {
    frame_bytes_ = 0;
    for (const unsigned char byte : length_)
        frame_bytes_ = (frame_bytes_ << 8U) | byte;
    const std::size_t max_bytes = short_frames_only_ ? max_short_frame_bytes : max_frame_bytes;
    if (frame_bytes_ == 0 || frame_bytes_ > max_bytes) return close();
    body_.clear();
    if (frame_bytes_ > read_step_bytes) start_frame_timer();
    read_body();
}

void FrameConnection::read_body() {
    const std::size_t begin = body_.size();
    const std::size_t end = std::min(frame_bytes_, begin + read_step_bytes);
    if (!body_memory_.grow_to(counted_bytes(end))) {
        logging::warning("peer-message-without-memory").field("bytes", frame_bytes_);
        return close();
    }
    body_.resize(end);
    asio::async_read(
        socket_, asio::buffer(body_.data() + begin, end - begin),
        [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) { self->on_body_part(error); });
}

void FrameConnection::on_body_part(ErrorCode error) {
    if (error || !open_) return close();
    if (body_.size() < frame_bytes_) return read_body();
    frame_timer_.cancel();
    on_body();
}

// A peer that begins a long frame and does not end it holds memory of others.
void FrameConnection::start_frame_timer() {
    frame_timer_.expires_after(frame_timeout);
    frame_timer_.async_wait([weak = weak_from_this()](ErrorCode error) {
        const auto self = weak.lock();
        if (!error && self) self->close();
    });
}

void FrameConnection::on_body() {
    try {
        const std::size_t max_bytes = short_frames_only_ ? max_short_frame_bytes : max_message_bytes;
        if (!lingering_) on_message_(message_in(std::string_view(body_), max_bytes));
    } catch (const nlohmann::json::exception& problem) {
        logging::warning("peer-message-malformed").text("detail", problem.what());
        return close();
    }
    if (body_.capacity() > kept_buffer_bytes) std::string().swap(body_);
    body_memory_.shrink_to(0);
    if (open_) read_length();
}

void FrameConnection::close() {
    if (!std::exchange(open_, false)) return;
    ErrorCode ignored;
    socket_.close(ignored);
    linger_timer_.cancel();
    frame_timer_.cancel();
    queue_.clear();
    // Later, as the caller may be in the middle of something; and the callbacks may own this connection.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        const OnClosed closed = std::move(self->on_closed_);
        self->on_message_ = nullptr;
        self->on_closed_ = nullptr;
        if (closed) closed();
    });
}

} // namespace willowrill::transport
