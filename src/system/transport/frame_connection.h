// A TCP connection between processes of the system that carries frames. Bounds what it reads, which takes
// memory as it comes and not as it is announced, and what waits to be written; anything malformed ends it,
// which the log says. One thread, that of the loop; all callbacks come from the loop, never from inside a
// call.
#pragma once

#include "system/budget/byte_budget.h"
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
// Of a peer that has not said who it is, or that has nothing long to say.
inline constexpr std::size_t max_short_frame_bytes = 65536;
// For a frame to come, once its begin is there.
inline constexpr std::chrono::milliseconds frame_timeout{30000};
inline constexpr std::size_t max_queued_bytes = 24U << 20U;
inline constexpr std::chrono::milliseconds linger_timeout{1000};

// Must be owned by a std::shared_ptr: operations under way keep it alive.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
  public:
    // May throw nlohmann::json::exception on a message of the wrong shape, which ends the connection.
    using OnMessage = std::function<void(const nlohmann::json&)>;
    using OnClosed = std::function<void()>;
    using OnFrameSent = std::function<void(std::size_t bytes)>;

    // `socket`: connected. `input_memory`: what is read of long frames is part of it.
    explicit FrameConnection(Tcp::socket socket, std::shared_ptr<budget::ByteBudget> input_memory =
                                                     std::make_shared<budget::ByteBudget>(max_message_bytes));

    // From the next frame on, one is at most so long, decompressed too. Not called: `max_frame_bytes`, and
    // `max_message_bytes` decompressed.
    void accept_short_frames_only() { short_frames_only_ = true; }
    void accept_long_frames() { short_frames_only_ = false; }

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
    void on_length();
    void read_body();
    void on_body_part(ErrorCode error);
    void on_body();
    void start_frame_timer();
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
    std::size_t frame_bytes_ = 0; // of the frame that is read
    std::string body_;            // as much of it as has come
    budget::ByteBudget::Reservation body_memory_;
    bool short_frames_only_ = false;
    SteadyTimer frame_timer_;
    std::deque<Frame> queue_; // the first is being written
    std::size_t queued_bytes_ = 0;
};

using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

} // namespace willowrill::transport
