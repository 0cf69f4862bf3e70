#include "system/transport/frame_connection.h"

#include "system/logging/log.h"
#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{1500};
constexpr std::size_t kept_buffer_bytes = 65536; // a longer message's buffer is released

} // namespace

FrameConnection::FrameConnection(Tcp::socket socket)
    : socket_(std::move(socket)), linger_timer_(socket_.get_executor()) {
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
                         std::size_t length = 0;
                         for (const unsigned char byte : self->length_)
                             length = (length << 8U) | byte;
                         if (length == 0 || length > max_frame_bytes) return self->close();
                         self->read_body(length);
                     });
}

void FrameConnection::read_body(std::size_t length) {
    body_.resize(length);
    asio::async_read(socket_, asio::buffer(body_),
                     [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                         if (error || !self->open_) return self->close();
                         self->on_body();
                     });
}

void FrameConnection::on_body() {
    try {
        if (!lingering_) on_message_(message_in(std::string_view(body_)));
    } catch (const nlohmann::json::exception& problem) {
        logging::warning("peer-message-malformed").text("detail", problem.what());
        return close();
    }
    if (body_.capacity() > kept_buffer_bytes) std::string().swap(body_);
    if (open_) read_length();
}

void FrameConnection::close() {
    if (!std::exchange(open_, false)) return;
    ErrorCode ignored;
    socket_.close(ignored);
    linger_timer_.cancel();
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
