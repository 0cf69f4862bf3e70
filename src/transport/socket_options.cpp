#include "transport/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace willowrill::transport {

void prepare(Tcp::socket& socket, std::chrono::milliseconds unacknowledged) {
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto timeout = static_cast<unsigned>(unacknowledged.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

} // namespace willowrill::transport
