// The other end of a connection in tests: sends a beginning, then the same piece again and again, until the
// connection ends. Counts what went out. Runs on the loop of the test.
#pragma once

#include "system/transport/asio.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace willowrill {

struct FloodText {
    std::string begin;
    std::string piece;
};

class Flood : public std::enable_shared_from_this<Flood> {
  public:
    // Nobody who reads with a bound lets so many bytes come, whatever the system buffers on the way.
    static constexpr std::size_t max_taken = 24U << 20U;
    // It gives up here, so that a test of a reader without a bound ends.
    static constexpr std::size_t max_bytes = 96U << 20U;

    explicit Flood(Tcp::socket socket) : socket_(std::move(socket)) {}

    // Sends at once.
    void pour(FloodText text) {
        text_ = std::move(text);
        write(text_.begin);
    }
    // Sends once a first byte has come.
    void answer(FloodText text) {
        socket_.async_read_some(asio::buffer(received_), [self = shared_from_this(), text = std::move(text)](
                                                             ErrorCode error, std::size_t) {
            if (!error) self->pour(text);
        });
    }

    std::size_t bytes_sent() const { return bytes_sent_; }
    // The connection has ended, or the flood was given up.
    bool ended() const { return ended_; }

  private:
    void write(const std::string& text) {
        asio::async_write(socket_, asio::buffer(text),
                          [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                              self->bytes_sent_ += bytes;
                              self->ended_ = error || self->bytes_sent_ >= max_bytes;
                              if (!self->ended_) self->write(self->text_.piece);
                          });
    }

    Tcp::socket socket_;
    FloodText text_;
    std::array<char, 4096> received_{};
    std::size_t bytes_sent_ = 0;
    bool ended_ = false;
};

// A server whose every answer is a flood.
class FloodingServer {
  public:
    FloodingServer(asio::io_context& loop, FloodText text)
        : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), text_(std::move(text)) {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    std::size_t connections() const { return connections_; }
    std::size_t bytes_sent() const { return newest_ ? newest_->bytes_sent() : 0; }

  private:
    void accept() {
        acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
            if (error) return;
            ++connections_;
            newest_ = std::make_shared<Flood>(std::move(socket));
            newest_->answer(text_);
            accept();
        });
    }

    Tcp::acceptor acceptor_;
    FloodText text_;
    std::shared_ptr<Flood> newest_;
    std::size_t connections_ = 0;
};

inline const std::string flood_junk = std::string(65536, 'j');

// What comes behind the head of a message whose framing has no end.
inline const std::array endless_framings{
    FloodText{"Transfer-Encoding: chunked\r\n\r\n1;", flood_junk},
    FloodText{"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Junk: ", flood_junk},
    FloodText{"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Junk: " + std::string(54, 'j') + "\r\n"},
    FloodText{"X-Junk: ", flood_junk},
};

} // namespace willowrill
