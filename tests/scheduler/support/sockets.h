// Helpers for tests on real loopback sockets. The system picks the ports, and tests wait for conditions
// rather than for fixed times.
#pragma once

#include "scheduler/net/connection.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace willowrill::testing {

using namespace std::chrono_literals;

// Runs the loop until `condition` returns true, and returns its last value. The limit on rounds is only
// reached by a test that fails.
template <class Condition> bool run_until(net::Loop& loop, Condition condition) {
    for (int round = 0; round < 20000 && !condition(); ++round) {
        loop.run_once(1ms);
    }
    return condition();
}

// The remote end of a connection under test; it stores everything that it receives.
class Peer final : public net::Connection::Owner {
  public:
    Peer(net::Loop& loop, net::Fd fd, net::Connection::State state)
        : connection(loop, *this, std::move(fd), state, 1U << 20U) {}
    void on_input() override {
        received += connection.input();
        connection.consume(connection.input().size());
    }
    void on_closed() override { closed = true; }
    bool has_received(std::string_view text) const { return received.find(text) != std::string::npos; }

    std::string received;
    bool closed = false;
    net::Connection connection;
};

// Listens on a loopback port picked by the system, and accepts and keeps every connection.
class Listener final : public net::Pollable {
  public:
    explicit Listener(net::Loop& loop)
        : loop_(loop), fd_(net::listen_on(*net::Endpoint::parse("127.0.0.1:0"))),
          address(net::local_address(fd_)) {
        loop_.watch(fd_.get(), POLLIN, *this);
    }
    ~Listener() override { loop_.unwatch(fd_.get()); }
    void on_ready(short) override {
        net::Fd fd = net::accept_from(fd_);
        if (fd.valid())
            peers.push_back(std::make_unique<Peer>(loop_, std::move(fd), net::Connection::State::open));
    }

  private:
    net::Loop& loop_;
    net::Fd fd_;

  public:
    const net::Endpoint address;
    std::deque<std::unique_ptr<Peer>> peers; // in the order in which they were accepted
};

// Starts to connect to the address; the connection may not be established yet on return.
inline std::unique_ptr<Peer> connect_peer(net::Loop& loop, const net::Endpoint& address) {
    return std::make_unique<Peer>(loop, net::connect_to(address), net::Connection::State::opening);
}

} // namespace willowrill::testing
