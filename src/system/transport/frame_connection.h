// A TCP connection between processes of the system that carries JSON documents, each with its length before
// it. Bounds what it reads and what waits to be written; anything malformed ends it. One thread; all
// callbacks come from the loop, never from inside a call.
#pragma once

#include "system/transport/asio.h"
#include "system/transport/frame.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::transport {

inline constexpr std::size_t longest_frame = 16U << 20U;
inline constexpr std::size_t most_waiting_bytes = 24U << 20U;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
  public:
    using OnMessage = std::function<void(const nlohmann::json&)>;
    using OnClosed = std::function<void()>;

    explicit FrameConnection(Tcp::socket socket);

    // Begins to read. `on_closed` comes once, whoever ends the connection; after it nothing else does.
    void start(OnMessage on_message, OnClosed on_closed);
    void send(const nlohmann::json& message);
    // The same frame to many connections, made once.
    void send_frame(Frame frame);
    void close();
    bool is_open() const { return open_; }
    // Told of the bytes of each frame that is sent from now on.
    void count_into(std::function<void(std::size_t)> on_sent) { on_sent_ = std::move(on_sent); }

  private:
    void read_length();
    void read_body(std::size_t length);
    void write_next();

    Tcp::socket socket_;
    OnMessage on_message_;
    OnClosed on_closed_;
    std::function<void(std::size_t)> on_sent_;
    bool open_ = true;
    bool writing_ = false;
    std::array<unsigned char, frame_length_bytes> length_{};
    std::string body_;
    std::deque<Frame> queue_;
    std::size_t waiting_bytes_ = 0;
};

using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

// Connects within `timeout`; the callback gets null where that failed.
void dial(asio::io_context& loop, const std::string& host, std::uint16_t port,
          std::chrono::milliseconds timeout, std::function<void(FrameConnectionPtr)> done);

// Accepts connections for as long as it lives; `max_open` at once, others are closed.
class FrameListener {
  public:
    FrameListener(asio::io_context& loop, const std::string& host, std::uint16_t port,
                  std::function<void(FrameConnectionPtr)> on_accept);

  private:
    void accept();

    Tcp::acceptor acceptor_;
    SteadyTimer pause_;
    std::function<void(FrameConnectionPtr)> on_accept_;
};

} // namespace willowrill::transport
