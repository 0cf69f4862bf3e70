// A model of a connection's states, against which random steps are checked: what has been read, written and
// told at any time, whatever the other side does.
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

constexpr std::size_t limit = 10000;

struct Owner final : net::Connection::Owner {
    void on_input() override { ++inputs; }
    void on_sent() override { ++sents; }
    void on_closed() override { ++closes; }
    int inputs = 0, sents = 0, closes = 0;
};

class Model {
  public:
    explicit Model(unsigned seed) : random_(seed) {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        other_ = net::Fd(ends[1]);
        connection_.emplace(loop_, owner_, net::Fd(ends[0]), net::Connection::State::open, limit);
    }

    void step() {
        switch (pick(12)) {
        case 0:
        case 1:
            return other_sends(text(1 + pick(4000)));
        case 2:
        case 3:
            return other_reads(1 + pick(150000));
        case 4:
        case 5:
            return we_write(text(1 + pick(pick(4) == 0 ? 400000 : 2000)));
        case 6:
            return we_consume(pick(connection_->input().size() + 1));
        case 7:
            return pick(20) == 0 ? other_ends_output() : loop_.run_once(0ms);
        case 8:
            return pick(40) == 0 ? we_leave() : loop_.run_once(0ms);
        case 9:
            return pick(60) == 0 ? we_close() : loop_.run_once(0ms);
        default:
            return loop_.run_once(0ms);
        }
    }

    void check() {
        using State = net::Connection::State;
        const std::string_view input = connection_->input();
        CHECK(input.size() <= limit);
        if (!leaving_) CHECK(input == std::string_view(to_us_).substr(consumed_, input.size()));
        CHECK(std::string_view(from_us_).substr(0, received_.size()) == received_);
        CHECK(owner_.closes <= (closed_by_us_ ? 0 : 1)); // told once, and never of our own close
        CHECK((connection_->state() == State::closed) == (closed_by_us_ || owner_.closes == 1));
        if (owner_.closes == 1) CHECK(output_ended_); // no connection is lost without a cause
        if (connection_->state() == State::open && received_ == from_us_) CHECK(connection_->all_sent());
    }

    // Nothing that was written or sent before an orderly end may be missing.
    void finish() {
        if (closed_by_us_) return;
        if (!leaving_) we_leave();
        for (int i = 0; i < 2000 && received_.size() < from_us_.size(); ++i) {
            loop_.run_once(0ms);
            other_reads(1U << 20U);
        }
        if (!output_ended_) {
            CHECK(received_ == from_us_);
            CHECK(owner_.closes == 0); // it waits for the other side
            other_ends_output();
        }
        for (int i = 0; i < 2000 && owner_.closes == 0; ++i) {
            loop_.run_once(0ms);
        }
        check();
        CHECK(owner_.closes == 1);
    }

  private:
    std::size_t pick(std::size_t below) { return random_() % below; }
    std::string text(std::size_t size) {
        std::string out(size, ' ');
        for (char& c : out)
            c = static_cast<char>('a' + pick(26));
        return out;
    }
    void other_sends(const std::string& bytes) {
        if (output_ended_) return;
        const auto sent = ::send(other_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) to_us_.append(bytes, 0, static_cast<std::size_t>(sent));
    }
    void other_reads(std::size_t most) {
        std::string bytes(most, '\0');
        const auto got = ::recv(other_.get(), bytes.data(), most, 0);
        if (got > 0) received_.append(bytes, 0, static_cast<std::size_t>(got));
    }
    void other_ends_output() {
        ::shutdown(other_.get(), SHUT_WR);
        output_ended_ = true;
    }
    void we_write(std::string bytes) {
        if (leaving_ || connection_->state() != net::Connection::State::open || from_us_.size() > 2000000)
            return;
        from_us_ += bytes;
        connection_->write(std::move(bytes));
    }
    void we_consume(std::size_t count) {
        consumed_ += count;
        connection_->consume(count);
    }
    void we_leave() {
        if (connection_->state() != net::Connection::State::open) return;
        leaving_ = true;
        connection_->close_when_sent();
    }
    void we_close() {
        if (connection_->state() == net::Connection::State::closed) return;
        closed_by_us_ = true;
        connection_->close();
    }

    std::mt19937 random_;
    net::Loop loop_;
    Owner owner_;
    net::Fd other_;
    std::optional<net::Connection> connection_;
    std::string to_us_, from_us_, received_;
    std::size_t consumed_ = 0;
    bool output_ended_ = false, leaving_ = false, closed_by_us_ = false;
};

} // namespace

TEST_CASE("a connection keeps to the model under random steps") {
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

TEST_CASE("a connection that is refused is told as closed, and its output never counts as sent") {
    net::Loop loop;
    net::Endpoint nowhere;
    {
        const Listener gone(loop); // a port that nobody listens on any more
        nowhere = gone.address;
    }
    const auto peer = call(loop, nowhere);
    peer->connection.write("hello");
    CHECK(settle(loop, [&] { return peer->closed; }));
    CHECK_FALSE(peer->connection.all_sent());
}

TEST_CASE("timers go off in order, once, and not after they are disarmed") {
    net::TimerWheel wheel(0ms);
    std::string log;
    net::Timer a(wheel, [&] { log += 'a'; }), c(wheel, [&] { log += 'c'; });
    net::Timer b(wheel, [&] {
        log += 'b';
        c.disarm(); // though it is due in the same call
        b.arm(0ms); // in the past: the next tick
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
    a.arm(21ms + 3s); // more than once round the wheel
    wheel.advance(3s);
    CHECK(log == "abb");
    wheel.advance(10s);
    CHECK(log == "abba");
    CHECK_FALSE(wheel.next_wakeup().has_value());
}

// The handler wrote each signal into a pipe: 65,536 unread ones, and the next was lost.
TEST_CASE("a flood of one signal does not hide another") {
    net::Loop loop;
    std::vector<int> told;
    const net::SignalHandler signals(loop, {SIGUSR1, SIGUSR2}, [&](int signal) { told.push_back(signal); });
    for (int i = 0; i < 70000; ++i)
        std::raise(SIGUSR1);
    std::raise(SIGUSR2);
    for (int i = 0; i < 200; ++i)
        loop.run_once(0ms);
    CHECK(std::ranges::count(told, SIGUSR1) >= 1);
    CHECK(std::ranges::count(told, SIGUSR2) == 1);
}

} // namespace willowrill::testing
