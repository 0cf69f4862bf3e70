#include "scheduler/net/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>

namespace willowrill::net {
namespace {

void send_at_once(const Fd& fd) { // no waiting for more bytes to fill a packet
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const sockaddr* raw(const Endpoint& endpoint) { return reinterpret_cast<const sockaddr*>(&endpoint.address); }

} // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host(text.substr(0, colon));
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = port_text.data() + port_text.size();
    const auto [stop, error] = std::from_chars(port_text.data(), end, port);
    Endpoint out;
    out.address.sin_family = AF_INET;
    out.address.sin_port = htons(port);
    if (error != std::errc{} || stop != end) return std::nullopt;
    if (::inet_pton(AF_INET, host.c_str(), &out.address.sin_addr) != 1) return std::nullopt;
    return out;
}

std::string Endpoint::text() const {
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

Fd listen_on(const Endpoint& endpoint, bool shared) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1; // a restart takes its address over from connections that linger
    if (!fd.valid() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        (shared && ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0) ||
        ::bind(fd.get(), raw(endpoint), sizeof endpoint.address) != 0 || ::listen(fd.get(), SOMAXCONN) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + endpoint.text());
    }
    return fd;
}

Fd accept_from(const Fd& listener) {
    Fd fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.valid()) send_at_once(fd);
    return fd;
}

Fd connect_to(const Endpoint& endpoint) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.valid()) return fd;
    send_at_once(fd);
    if (::connect(fd.get(), raw(endpoint), sizeof endpoint.address) != 0 && errno != EINPROGRESS) fd.reset();
    return fd;
}

Fd bind_udp_socket(const Endpoint& endpoint) {
    Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.valid() && ::bind(fd.get(), raw(endpoint), sizeof endpoint.address) != 0) {
        const int error = errno;
        fd.reset();
        errno = error;
    }
    return fd;
}

Endpoint local_address(const Fd& fd) {
    Endpoint out;
    socklen_t size = sizeof out.address;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&out.address), &size);
    return out;
}

bool has_hung_up(const Fd& fd) {
    char byte = 0;
    const auto got = ::recv(fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace willowrill::net
