// A TCP connection between processes of the system that carries frames. Bounds what it reads and what waits
// to be written; anything malformed ends it, which the log says. One thread, that of the loop; all callbacks
// come from the loop, never from inside a call.
#pragma once

#include "system/transport/asio.h"
#include "system/transport/frame.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::transport {

inline constexpr std::size_t max_frame_bytes = 16U << 20U;
inline constexpr std::size_t max_queued_bytes = 24U << 20U;
inline constexpr std::chrono::milliseconds linger_timeout{1000};

// Must be owned by a std::shared_ptr: operations under way keep it alive.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
  public:
    // May throw nlohmann::json::exception on a message of the wrong shape, which ends the connection.
    using OnMessage = std::function<void(const nlohmann::json&)>;
    using OnClosed = std::function<void()>;
    using OnFrameSent = std::function<void(std::size_t bytes)>;

    // `socket`: connected.
    explicit FrameConnection(Tcp::socket socket);

    // Begins to read. `on_closed` comes once, whoever ends the connection; after it nothing else does.
    void start(OnMessage on_message, OnClosed on_closed);
    // Queues a message; on a closed connection does nothing. A peer that does not read, so that more than
    // `max_queued_bytes` wait, is disconnected.
    void send(const nlohmann::json& message);
    // The same frame to many connections, made once.
    void send_frame(Frame frame);
    // Ends the connection at once; what is queued is lost.
    void close();
    // Ends the connection once the peer has got what is queued, or after `linger_timeout`; nothing that it
    // sends from now on is looked at.
    void close_when_sent();
    bool is_open() const { return open_; }
    // `on_frame_sent`: called with the size of each frame that is queued from now on, from inside the call
    // that queues it.
    void observe_sent_frames(OnFrameSent on_frame_sent) { on_frame_sent_ = std::move(on_frame_sent); }

  private:
    void read_length();
    void read_body(std::size_t length);
    void on_body();
    void write_next();
    void on_written(ErrorCode error, const Frame& frame);
    void finish_sending();

    Tcp::socket socket_;
    OnMessage on_message_;
    OnClosed on_closed_;
    OnFrameSent on_frame_sent_;
    bool open_ = true;
    bool writing_ = false;
    bool lingering_ = false; // is to end once all is sent
    SteadyTimer linger_timer_;
    std::array<unsigned char, frame_length_bytes> length_{};
    std::string body_;
    std::deque<Frame> queue_; // the first is being written
    std::size_t queued_bytes_ = 0;
};

using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

} // namespace willowrill::transport
