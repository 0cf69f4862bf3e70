#include "system/transport/frame_connection.h"

#include "system/transport/socket_options.h"

#include <fmt/format.h>

#include <utility>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds unacknowledged{1500};
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

FrameConnection::FrameConnection(Tcp::socket socket) : socket_(std::move(socket)) {
    prepare(socket_, unacknowledged);
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
    if (!open_) return;
    if (on_sent_) on_sent_(frame->size());
    waiting_bytes_ += frame->size();
    if (waiting_bytes_ > most_waiting_bytes) return close(); // a peer that does not read
    queue_.push_back(std::move(frame));
    if (!writing_) write_next();
}

void FrameConnection::write_next() {
    if (queue_.empty() || !open_) return;
    writing_ = true;
    const auto frame = queue_.front();
    asio::async_write(socket_, asio::buffer(*frame),
                      [self = shared_from_this(), frame](ErrorCode error, std::size_t /*bytes*/) {
                          self->writing_ = false;
                          if (error || !self->open_) return self->close(); // closing has emptied the queue
                          self->waiting_bytes_ -= frame->size();
                          self->queue_.pop_front();
                          self->write_next();
                      });
}

void FrameConnection::read_length() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](ErrorCode error, std::size_t) {
                         if (error || !self->open_) return self->close();
                         std::size_t length = 0;
                         for (const unsigned char byte : self->length_)
                             length = (length << 8U) | byte;
                         if (length == 0 || length > longest_frame) return self->close();
                         self->read_body(length);
                     });
}

void FrameConnection::read_body(std::size_t length) {
    body_.resize(length);
    asio::async_read(socket_, asio::buffer(body_), [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (error || !self->open_) return self->close();
        try {
            self->on_message_(message_in(std::string_view(self->body_)));
        } catch (const nlohmann::json::exception& problem) {
            fmt::print(stderr, "level=warning event=peer-message-malformed detail=\"{}\"\n", problem.what());
            return self->close();
        }
        constexpr std::size_t usual = 65536;
        if (self->body_.capacity() > usual) std::string().swap(self->body_);
        if (self->open_) self->read_length();
    });
}

void FrameConnection::close() {
    if (!std::exchange(open_, false)) return;
    ErrorCode ignored;
    socket_.close(ignored);
    queue_.clear();
    // Later, as the caller may be in the middle of something; and the callbacks may own this connection.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        const OnClosed closed = std::move(self->on_closed_);
        self->on_message_ = nullptr;
        self->on_closed_ = nullptr;
        if (closed) closed();
    });
}

void dial(asio::io_context& loop, const std::string& host, std::uint16_t port,
          std::chrono::milliseconds timeout, std::function<void(FrameConnectionPtr)> done) {
    struct Attempt {
        Tcp::socket socket;
        SteadyTimer timer;
        std::function<void(FrameConnectionPtr)> done;
    };
    ErrorCode malformed;
    const auto address = asio::ip::make_address(host, malformed);
    if (malformed) return asio::post(loop, [done = std::move(done)] { done(nullptr); });
    auto attempt = std::make_shared<Attempt>(Attempt{Tcp::socket(loop), SteadyTimer(loop), std::move(done)});
    attempt->timer.expires_after(timeout);
    attempt->timer.async_wait([attempt](ErrorCode error) {
        ErrorCode ignored;
        if (!error) attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(Tcp::endpoint(address, port), [attempt](ErrorCode error) {
        attempt->timer.cancel();
        if (error || !attempt->socket.is_open()) return attempt->done(nullptr);
        attempt->done(std::make_shared<FrameConnection>(std::move(attempt->socket)));
    });
}

FrameListener::FrameListener(asio::io_context& loop, const std::string& host, std::uint16_t port,
                             std::function<void(FrameConnectionPtr)> on_accept)
    : acceptor_(loop, Tcp::endpoint(asio::ip::make_address(host), port)), pause_(loop),
      on_accept_(std::move(on_accept)) {
    accept();
}

void FrameListener::accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            on_accept_(std::make_shared<FrameConnection>(std::move(socket)));
            return accept();
        }
        pause_.expires_after(accept_pause); // out of descriptors, most likely
        pause_.async_wait([this](ErrorCode aborted) {
            if (!aborted) accept();
        });
    });
}

} // namespace willowrill::transport
