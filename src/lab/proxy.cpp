#include "lab/proxy.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace willowrill::lab {
namespace {

constexpr std::size_t most_held = 10'000;

} // namespace

std::size_t Proxy::add() {
    net::Fd fd = net::bind_udp_socket(*net::Endpoint::parse("127.0.0.1:0"));
    if (!fd.valid()) throw std::system_error(errno, std::generic_category(), "cannot have a socket");
    doors_.push_back(std::make_unique<Door>(*this, std::move(fd)));
    loop_.watch(doors_.back()->socket.get(), POLLIN, *doors_.back());
    return doors_.size() - 1;
}

void Proxy::take(Door& to) {
    std::array<unsigned char, 2048> buffer{};
    for (;;) {
        net::Endpoint from;
        socklen_t size = sizeof from.address;
        const auto got = ::recvfrom(to.socket.get(), buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from.address), &size);
        if (got < 0) return;
        const auto sender = std::ranges::find_if(doors_, [&](const auto& door) { return door->own == from; });
        if (sender == doors_.end() || to.cut || (*sender)->cut || chance(loss)) {
            ++lost_;
            continue;
        }
        const int copies = chance(duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            pass(**sender, to, {buffer.begin(), buffer.begin() + got});
    }
}

void Proxy::pass(Door& from, Door& to, std::vector<unsigned char> datagram) {
    const auto send = [this, &from, &to, datagram = std::move(datagram)] {
        ++passed_;
        bytes_ += datagram.size();
        ::sendto(from.socket.get(), datagram.data(), datagram.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to.own.address), sizeof to.own.address);
    };
    if (delay_most.count() == 0) return send();
    while (!held_.empty() && !held_.front()->timer.armed())
        held_.pop_front();
    if (held_.size() >= most_held) {
        ++lost_;
        return;
    }
    held_.push_back(std::make_unique<Held>(loop_.timer_wheel(), send));
    const double share = static_cast<double>(random_()) / 4294967296.0;
    held_.back()->timer.arm(loop_.now() + net::Duration(static_cast<std::int64_t>(
                                              static_cast<double>(delay_most.count()) * share)));
}

} // namespace willowrill::lab
