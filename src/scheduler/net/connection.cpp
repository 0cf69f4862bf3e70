#include "scheduler/net/connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace willowrill::net {

namespace {

constexpr int max_reads_per_event = 16; // bounds the time that one connection takes in an iteration

} // namespace

Connection::Connection(Loop& loop, Owner& owner, Fd fd, State state, std::size_t input_limit)
    : loop_(loop), owner_(owner), fd_(std::move(fd)), state_(state), input_limit_(input_limit) {
    update_poll_events();
}

void Connection::consume(std::size_t count) {
    input_.erase(0, count);
    if (input_.empty() && input_.capacity() > 4096) input_ = {}; // release the memory of idle connections
    update_poll_events();
}

void Connection::write(std::string bytes) {
    if (state_ == State::closed || write_failed_) return;
    if (output_.empty()) {
        output_ = std::move(bytes);
    } else {
        output_ += bytes;
    }
    if (state_ == State::open) flush();
    update_poll_events();
}

void Connection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    loop_.unwatch(fd_.get());
    fd_.reset();
}

void Connection::close_when_sent() {
    if (state_ != State::open) return close();
    closing_when_sent_ = true;
    input_ = {};
    if (output_.empty()) end_output();
    update_poll_events();
}

void Connection::end_output() { ::shutdown(fd_.get(), SHUT_WR); }

// Does not report a failed write: the owner must not get `on_closed` from within its own call of `write`. The
// next poll reports it.
void Connection::flush() {
    while (written_bytes_ < output_.size()) {
        const auto sent_bytes =
            ::send(fd_.get(), output_.data() + written_bytes_, output_.size() - written_bytes_, MSG_NOSIGNAL);
        if (sent_bytes < 0 && errno == EINTR) continue;
        if (sent_bytes < 0) {
            write_failed_ = errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
        written_bytes_ += static_cast<std::size_t>(sent_bytes);
    }
    output_ = {};
    written_bytes_ = 0;
}

bool Connection::read_available() {
    std::array<char, 16384> bytes; // NOLINT: filled by recv
    // Input that is discarded never fills the buffer, so the number of reads needs a bound of its own:
    // without it, a peer that sends at full speed after its response could block the event loop.
    for (int reads = 0; reads < max_reads_per_event && input_.size() < input_limit_; ++reads) {
        const auto received =
            ::recv(fd_.get(), bytes.data(), std::min(bytes.size(), input_limit_ - input_.size()), 0);
        if (received < 0 && errno == EINTR) continue;
        if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
        if (received == 0) return false;
        if (!closing_when_sent_) input_.append(bytes.data(), static_cast<std::size_t>(received));
        if (static_cast<std::size_t>(received) < bytes.size()) return true;
    }
    return true;
}

void Connection::update_poll_events() {
    if (state_ == State::closed) return;
    short events = 0;
    if (state_ == State::opening) {
        events = POLLOUT;
    } else {
        // With a full input buffer, still notice that the peer has closed.
        events |= input_.size() < input_limit_ ? POLLIN : POLLRDHUP;
        if (!output_.empty() && !write_failed_) events |= POLLOUT;
    }
    loop_.watch(fd_.get(), events, *this);
}

void Connection::close_and_notify() {
    close();
    owner_.on_closed();
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Connection::on_ready(short events) {
    if (state_ == State::opening) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0 || (events & POLLOUT) == 0) return close_and_notify();
        state_ = State::open;
        const bool had_pending_output = !output_.empty();
        flush();
        update_poll_events();
        owner_.on_open();
        if (had_pending_output && state_ == State::open && output_.empty()) owner_.on_sent();
        return;
    }
    if ((events & POLLOUT) != 0 && !output_.empty()) {
        flush();
        if (output_.empty()) {
            closing_when_sent_ ? end_output() : owner_.on_sent();
        }
        if (state_ != State::open) return;
    }
    if ((events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        const std::size_t previous_size = input_.size();
        const bool input_open = read_available();
        if (input_.size() > previous_size) owner_.on_input();
        if (state_ != State::open) return;
        // With a full buffer nothing can be read, and poll would report the same hang-up again and again.
        if (!input_open || (write_failed_ && input_.size() == previous_size) ||
            ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0 && input_.size() >= input_limit_))
            return close_and_notify();
    }
    update_poll_events();
}

} // namespace willowrill::net
