// Datagrams between real processes on loopback, with loss, delay, duplicates and cuts. Each process
// advertises an address of the proxy's; what is sent there goes on to the process, from the address that its
// sender advertises.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace willowrill::lab {

class Proxy {
  public:
    Proxy(net::Loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

    // The address that process number `at` is to advertise. Its own becomes known when it has started.
    std::size_t add();
    net::Endpoint advertised(std::size_t at) const { return net::local_address(doors_[at]->socket); }
    void set_process(std::size_t at, net::Endpoint own) { doors_[at]->own = own; }

    double loss = 0, duplicate = 0;
    net::Duration delay_most{0};
    void cut_off(std::size_t at, bool is_cut) { doors_[at]->cut = is_cut; }

    std::uint64_t passed() const { return passed_; }
    std::uint64_t lost() const { return lost_; }
    std::uint64_t bytes() const { return bytes_; }

  private:
    struct Door final : net::Pollable {
        Door(Proxy& proxy, net::Fd fd) : proxy(proxy), socket(std::move(fd)) {}
        void on_ready(short) override { proxy.take(*this); }
        Proxy& proxy;
        net::Fd socket;
        net::Endpoint own{};
        bool cut = false;
    };
    struct Held { // a datagram on its way
        Held(net::TimerWheel& wheel, std::function<void()> action) : timer(wheel, std::move(action)) {}
        net::Timer timer;
    };

    void take(Door& to);
    void pass(Door& from, Door& to, std::vector<unsigned char> datagram);
    bool chance(double share) { return share > 0 && random_() < share * 4294967296.0; }

    net::Loop& loop_;
    pcg32 random_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::deque<std::unique_ptr<Held>> held_; // bounded: beyond it datagrams are lost
    std::uint64_t passed_ = 0, lost_ = 0, bytes_ = 0;
};

} // namespace willowrill::lab
