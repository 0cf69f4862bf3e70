#include "system/transport/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace willowrill::transport {

void prepare(Tcp::socket& socket, std::chrono::milliseconds unacknowledged) {
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(unacknowledged.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

Pending pending(Tcp::socket& socket) {
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return Pending::bytes;
    const bool none = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return none ? Pending::nothing : Pending::ended;
}

} // namespace willowrill::transport
