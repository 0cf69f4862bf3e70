// One TCP connection with its buffers. It moves bytes and tells its owner; it knows no protocol.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <string>
#include <string_view>

namespace willowrill::net {

class Connection final : public Pollable {
  public:
    // The owner may close, but not destroy the connection within a callback (see `Loop::bury`).
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void on_open() {}     // a connection that was under way stands
        virtual void on_input() = 0;  // `input` has grown
        virtual void on_sent() {}     // the last byte of the output was written
        virtual void on_closed() = 0; // the other side ended or broke it, or it never came up
    };

    enum class State { opening, open, closed };

    // An accepted socket is open; one from `connect_to` is still opening.
    Connection(Loop& loop, Owner& owner, Fd fd, State state, std::size_t input_limit);
    ~Connection() override { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    State state() const { return state_; }
    std::string_view input() const { return input_; }
    void consume(std::size_t count);
    void write(std::string bytes); // sent as far as it goes now, the rest as the socket takes it
    bool all_sent() const { return state_ != State::opening && output_.empty() && !broken_; }
    bool has_hung_up() const { return state_ == State::open && (broken_ || net::has_hung_up(fd_)); }
    void close(); // at once, with no callback
    // Sends what is left, ends the output, and drops what still comes in until the other side closes too: a
    // close with unread input would reset the connection and could take the last answer with it. The owner
    // sets the bound on that, and hears of the end by `on_closed`.
    void close_when_sent();

  private:
    void on_ready(short events) override;
    void flush();
    void end_output();
    bool fill(); // false at the end of the input
    void update();
    void lost();

    Loop& loop_;
    Owner& owner_;
    Fd fd_;
    State state_;
    std::size_t input_limit_;
    std::string input_, output_;
    std::size_t written_ = 0; // of `output_`
    bool broken_ = false;     // a write has failed
    bool leaving_ = false;    // ends the output once all is sent
};

} // namespace willowrill::net
