// A port for a server of a test.
#pragma once

#include "system/transport/asio.h"

#include <cstdint>

namespace willowrill {

// A port of the loopback address that nobody listens at now.
inline std::uint16_t free_port(asio::io_context& loop) {
    const Tcp::acceptor free(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return free.local_endpoint().port();
}

} // namespace willowrill
