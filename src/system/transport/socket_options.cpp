#include "system/transport/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace willowrill::transport {

void configure_socket(Tcp::socket& socket, std::chrono::milliseconds unacknowledged_timeout) {
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto timeout_ms = static_cast<unsigned>(unacknowledged_timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

Pending pending(Tcp::socket& socket) {
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) return Pending::bytes;
    const bool none = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return none ? Pending::nothing : Pending::ended;
}

PeerEnd peer_end(Tcp::socket& socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool known = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    if (!known || info.tcpi_state != TCP_CLOSE_WAIT) return PeerEnd::reset;
    int unacknowledged_bytes = 0;
    ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged_bytes);
    return unacknowledged_bytes > 0 ? PeerEnd::unacknowledged : PeerEnd::in_order;
}

} // namespace willowrill::transport
