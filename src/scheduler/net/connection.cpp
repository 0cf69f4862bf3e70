#include "scheduler/net/connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace willowrill::net {

namespace {

constexpr int reads_a_round = 16;

} // namespace

Connection::Connection(Loop& loop, Owner& owner, Fd fd, State state, std::size_t input_limit)
    : loop_(loop), owner_(owner), fd_(std::move(fd)), state_(state), input_limit_(input_limit) {
    update();
}

void Connection::consume(std::size_t count) {
    input_.erase(0, count);
    if (input_.empty() && input_.capacity() > 4096) input_ = {}; // idle connections hold no memory
    update();
}

void Connection::write(std::string bytes) {
    if (state_ == State::closed || broken_) return;
    if (output_.empty()) {
        output_ = std::move(bytes);
    } else {
        output_ += bytes;
    }
    if (state_ == State::open) flush();
    update();
}

void Connection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    loop_.unwatch(fd_.get());
    fd_.reset();
}

void Connection::close_when_sent() {
    if (state_ != State::open) return close();
    leaving_ = true;
    input_ = {};
    if (output_.empty()) end_output();
    update();
}

void Connection::end_output() { ::shutdown(fd_.get(), SHUT_WR); }

// The owner is told of a broken write by the next poll and not from within its own call of `write`.
void Connection::flush() {
    while (written_ < output_.size()) {
        const auto sent =
            ::send(fd_.get(), output_.data() + written_, output_.size() - written_, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent < 0) {
            broken_ = errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
        written_ += static_cast<std::size_t>(sent);
    }
    output_ = {};
    written_ = 0;
}

bool Connection::fill() {
    std::array<char, 16384> bytes; // NOLINT: filled by recv
    // What is dropped does not fill the buffer: without the bound, one that sends at full speed after its
    // answer would hold the round for as long as it likes.
    for (int reads = 0; reads < reads_a_round && input_.size() < input_limit_; ++reads) {
        const auto got =
            ::recv(fd_.get(), bytes.data(), std::min(bytes.size(), input_limit_ - input_.size()), 0);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
        if (got == 0) return false;
        if (!leaving_) input_.append(bytes.data(), static_cast<std::size_t>(got));
        if (static_cast<std::size_t>(got) < bytes.size()) return true;
    }
    return true;
}

void Connection::update() {
    if (state_ == State::closed) return;
    short events = 0;
    if (state_ == State::opening) {
        events = POLLOUT;
    } else {
        // What the owner leaves unread must not hide that the other side has ended.
        events |= input_.size() < input_limit_ ? POLLIN : POLLRDHUP;
        if (!output_.empty() && !broken_) events |= POLLOUT;
    }
    loop_.watch(fd_.get(), events, *this);
}

void Connection::lost() {
    close();
    owner_.on_closed();
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Connection::on_ready(short events) {
    if (state_ == State::opening) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0 || (events & POLLOUT) == 0) return lost();
        state_ = State::open;
        const bool waiting = !output_.empty();
        flush();
        update();
        owner_.on_open();
        if (waiting && state_ == State::open && output_.empty()) owner_.on_sent();
        return;
    }
    if ((events & POLLOUT) != 0 && !output_.empty()) {
        flush();
        if (output_.empty()) {
            leaving_ ? end_output() : owner_.on_sent();
        }
        if (state_ != State::open) return;
    }
    if ((events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        const std::size_t before = input_.size();
        const bool more = fill();
        if (input_.size() > before) owner_.on_input();
        if (state_ != State::open) return;
        // With the buffer full, a hang-up is all there is to learn; without this, poll would spin on it.
        if (!more || (broken_ && input_.size() == before) ||
            ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0 && input_.size() >= input_limit_))
            return lost();
    }
    update();
}

} // namespace willowrill::net
