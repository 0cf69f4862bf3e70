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

void disable_nagle(const Fd& fd) { // small writes are sent without delay
    const int enabled = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

const sockaddr* to_sockaddr(const Endpoint& endpoint) {
    return reinterpret_cast<const sockaddr*>(&endpoint.address);
}

} // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host(text.substr(0, colon));
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = port_text.data() + port_text.size();
    const auto [parsed_end, error] = std::from_chars(port_text.data(), end, port);
    Endpoint endpoint;
    endpoint.address.sin_family = AF_INET;
    endpoint.address.sin_port = htons(port);
    if (error != std::errc{} || parsed_end != end) return std::nullopt;
    if (::inet_pton(AF_INET, host.c_str(), &endpoint.address.sin_addr) != 1) return std::nullopt;
    return endpoint;
}

std::string Endpoint::text() const {
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

Fd listen_on(const Endpoint& endpoint, bool reuse_port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int enabled = 1; // binds even while old connections are in TIME_WAIT
    if (!fd.valid() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) != 0 ||
        (reuse_port && ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) != 0) ||
        ::bind(fd.get(), to_sockaddr(endpoint), sizeof endpoint.address) != 0 ||
        ::listen(fd.get(), SOMAXCONN) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + endpoint.text());
    }
    return fd;
}

Fd accept_from(const Fd& listener) {
    Fd fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.valid()) disable_nagle(fd);
    return fd;
}

Fd connect_to(const Endpoint& endpoint) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.valid()) return fd;
    disable_nagle(fd);
    if (::connect(fd.get(), to_sockaddr(endpoint), sizeof endpoint.address) != 0 && errno != EINPROGRESS)
        fd.reset();
    return fd;
}

Fd bind_udp_socket(const Endpoint& endpoint) {
    Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.valid() && ::bind(fd.get(), to_sockaddr(endpoint), sizeof endpoint.address) != 0) {
        const int error = errno;
        fd.reset();
        errno = error;
    }
    return fd;
}

Endpoint local_address(const Fd& fd) {
    Endpoint endpoint;
    socklen_t size = sizeof endpoint.address;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&endpoint.address), &size);
    return endpoint;
}

bool has_hung_up(const Fd& fd) {
    char byte = 0;
    const auto received = ::recv(fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace willowrill::net
