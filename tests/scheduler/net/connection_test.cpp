// Checks `Connection` against a model under random operations of both sides: the bytes read and written, the
// state and the callbacks must match after each operation. Also tests timers and signals.
#include "scheduler/net/signals.h"
#include "support/sockets.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <optional>
#include <random>
#include <vector>

namespace willowrill::testing {
namespace {

constexpr std::size_t input_limit = 10000;

struct Owner final : net::Connection::Owner {
    void on_input() override { ++input_events; }
    void on_sent() override { ++sent_events; }
    void on_closed() override { ++close_events; }
    int input_events = 0, sent_events = 0, close_events = 0;
};

// A connection on one end of a socket pair, its peer on the other, and what each has sent so far.
class Model {
  public:
    explicit Model(unsigned seed) : random_(seed) {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        peer_ = net::Fd(ends[1]);
        connection_.emplace(loop_, owner_, net::Fd(ends[0]), net::Connection::State::open, input_limit);
    }

    void step() {
        switch (random_below(12)) {
        case 0:
        case 1:
            return peer_sends(random_text(1 + random_below(4000)));
        case 2:
        case 3:
            return peer_reads(1 + random_below(150000));
        case 4:
        case 5:
            return write(random_text(1 + random_below(random_below(4) == 0 ? 400000 : 2000)));
        case 6:
            return consume(random_below(connection_->input().size() + 1));
        case 7:
            return random_below(20) == 0 ? peer_ends_output() : loop_.run_once(0ms);
        case 8:
            return random_below(40) == 0 ? close_when_sent() : loop_.run_once(0ms);
        case 9:
            return random_below(60) == 0 ? close() : loop_.run_once(0ms);
        default:
            return loop_.run_once(0ms);
        }
    }

    void check() {
        using State = net::Connection::State;
        const std::string_view input = connection_->input();
        CHECK(input.size() <= input_limit);
        if (!closing_when_sent_)
            CHECK(input == std::string_view(sent_by_peer_).substr(consumed_bytes_, input.size()));
        CHECK(std::string_view(written_).substr(0, received_by_peer_.size()) == received_by_peer_);
        CHECK(owner_.close_events <=
              (closed_locally_ ? 0 : 1)); // at most once, and never after a local close
        CHECK((connection_->state() == State::closed) == (closed_locally_ || owner_.close_events == 1));
        if (owner_.close_events == 1) CHECK(peer_output_ended_); // the peer must have ended its output
        if (connection_->state() == State::open && received_by_peer_ == written_)
            CHECK(connection_->all_sent());
    }

    // After an orderly close, the peer must have received all that was written.
    void finish() {
        if (closed_locally_) return;
        if (!closing_when_sent_) close_when_sent();
        for (int i = 0; i < 2000 && received_by_peer_.size() < written_.size(); ++i) {
            loop_.run_once(0ms);
            peer_reads(1U << 20U);
        }
        if (!peer_output_ended_) {
            CHECK(received_by_peer_ == written_);
            CHECK(owner_.close_events == 0); // waits for the peer to close
            peer_ends_output();
        }
        for (int i = 0; i < 2000 && owner_.close_events == 0; ++i) {
            loop_.run_once(0ms);
        }
        check();
        CHECK(owner_.close_events == 1);
    }

  private:
    std::size_t random_below(std::size_t below) { return random_() % below; }
    std::string random_text(std::size_t size) {
        std::string result(size, ' ');
        for (char& c : result)
            c = static_cast<char>('a' + random_below(26));
        return result;
    }
    void peer_sends(const std::string& bytes) {
        if (peer_output_ended_) return;
        const auto sent = ::send(peer_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) sent_by_peer_.append(bytes, 0, static_cast<std::size_t>(sent));
    }
    void peer_reads(std::size_t max_bytes) {
        std::string bytes(max_bytes, '\0');
        const auto received = ::recv(peer_.get(), bytes.data(), max_bytes, 0);
        if (received > 0) received_by_peer_.append(bytes, 0, static_cast<std::size_t>(received));
    }
    void peer_ends_output() {
        ::shutdown(peer_.get(), SHUT_WR);
        peer_output_ended_ = true;
    }
    void write(std::string bytes) {
        if (closing_when_sent_ || connection_->state() != net::Connection::State::open ||
            written_.size() > 2000000)
            return;
        written_ += bytes;
        connection_->write(std::move(bytes));
    }
    void consume(std::size_t count) {
        consumed_bytes_ += count;
        connection_->consume(count);
    }
    void close_when_sent() {
        if (connection_->state() != net::Connection::State::open) return;
        closing_when_sent_ = true;
        connection_->close_when_sent();
    }
    void close() {
        if (connection_->state() == net::Connection::State::closed) return;
        closed_locally_ = true;
        connection_->close();
    }

    std::mt19937 random_;
    net::Loop loop_;
    Owner owner_;
    net::Fd peer_;
    std::optional<net::Connection> connection_;
    std::string sent_by_peer_, written_, received_by_peer_;
    std::size_t consumed_bytes_ = 0;
    bool peer_output_ended_ = false, closing_when_sent_ = false, closed_locally_ = false;
};

} // namespace

TEST_CASE("a connection matches the model under random operations") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        Model model(seed);
        for (int i = 0; i < 300; ++i) {
            CAPTURE(i);
            model.step();
            model.check();
        }
        model.finish();
    }
}

TEST_CASE("a refused connection is reported as closed, and its output never counts as sent") {
    net::Loop loop;
    net::Endpoint unused_address;
    {
        const Listener closed_listener(loop); // leaves a port on which nobody listens
        unused_address = closed_listener.address;
    }
    const auto peer = connect_peer(loop, unused_address);
    peer->connection.write("hello");
    CHECK(run_until(loop, [&] { return peer->closed; }));
    CHECK_FALSE(peer->connection.all_sent());
}

TEST_CASE("timers fire in order, once, and not after they are disarmed") {
    net::TimerWheel wheel(0ms);
    std::string log;
    net::Timer a(wheel, [&] { log += 'a'; }), c(wheel, [&] { log += 'c'; });
    net::Timer b(wheel, [&] {
        log += 'b';
        c.disarm(); // although it is due in the same call
        b.arm(0ms); // in the past: fires in the next tick
    });
    a.arm(5ms);
    c.arm(7ms);
    b.arm(6ms);
    CHECK(wheel.next_wakeup() == std::optional<net::Time>(5ms));
    wheel.advance(4999us);
    CHECK(log.empty());
    wheel.advance(20ms);
    CHECK(log == "ab");
    wheel.advance(21ms);
    CHECK(log == "abb");
    b.disarm();
    a.arm(21ms + 3s); // more than one rotation of the wheel
    wheel.advance(3s);
    CHECK(log == "abb");
    wheel.advance(10s);
    CHECK(log == "abba");
    CHECK_FALSE(wheel.next_wakeup().has_value());
}

// Guards against a handler that writes each signal to a pipe: with 65,536 unread ones, the next is lost.
TEST_CASE("a flood of one signal does not hide another") {
    net::Loop loop;
    std::vector<int> handled_signals;
    const net::SignalHandler signals(loop, {SIGUSR1, SIGUSR2},
                                     [&](int signal) { handled_signals.push_back(signal); });
    for (int i = 0; i < 70000; ++i)
        std::raise(SIGUSR1);
    std::raise(SIGUSR2);
    for (int i = 0; i < 200; ++i)
        loop.run_once(0ms);
    CHECK(std::ranges::count(handled_signals, SIGUSR1) >= 1);
    CHECK(std::ranges::count(handled_signals, SIGUSR2) == 1);
}

} // namespace willowrill::testing
