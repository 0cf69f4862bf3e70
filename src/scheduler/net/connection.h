// A non-blocking TCP connection with input and output buffers. It knows nothing of the protocol spoken on it.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <string>
#include <string_view>

namespace willowrill::net {

class Connection final : public Pollable {
  public:
    // Receives the events of a connection. It may close the connection within a callback, but not destroy it
    // (see `Loop::defer_destruction`).
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void on_open() {}     // a connection from `connect_to` is established
        virtual void on_input() = 0;  // `input` has grown
        virtual void on_sent() {}     // the output buffer has been written completely
        virtual void on_closed() = 0; // the peer closed or reset it, or connecting failed
    };

    enum class State { opening, open, closed };

    // `state` is `open` for an accepted socket and `opening` for one from `connect_to`. Reading pauses while
    // `input_limit` bytes wait unread. `loop` and `owner` must outlive the connection.
    Connection(Loop& loop, Owner& owner, Fd fd, State state, std::size_t input_limit);
    ~Connection() override { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    State state() const { return state_; }
    std::string_view input() const { return input_; } // received and not yet consumed
    void consume(std::size_t count);                  // drops the first `count` bytes of the input
    void write(std::string bytes);                    // sends what the socket takes now and buffers the rest
    bool all_sent() const { return state_ != State::opening && output_.empty() && !write_failed_; }
    // Whether the peer has closed the connection or sent bytes that are not in `input` yet.
    bool has_hung_up() const { return state_ == State::open && (write_failed_ || net::has_hung_up(fd_)); }
    void close(); // immediately and without a callback
    // Sends the buffered output, shuts down the write side, and discards input until the peer closes too. A
    // close with unread input would reset the connection, and the peer could lose the last response. Calls
    // `on_closed` when the peer has closed; the owner must bound that wait with a timer.
    void close_when_sent();

  private:
    void on_ready(short events) override;
    void flush();
    void end_output();
    bool read_available(); // false at end of stream or after a read error
    void update_poll_events();
    void close_and_notify();

    Loop& loop_;
    Owner& owner_;
    Fd fd_;
    State state_;
    std::size_t input_limit_;
    std::string input_, output_;
    std::size_t written_bytes_ = 0;  // prefix of `output_` that has been sent
    bool write_failed_ = false;      // `on_closed` follows from the event loop
    bool closing_when_sent_ = false; // `close_when_sent` was called
};

} // namespace willowrill::net
