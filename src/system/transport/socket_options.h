// Options of TCP sockets that go beyond Asio's portable ones. To be called by the thread that owns the
// socket.
#pragma once

#include "system/transport/asio.h"

#include <chrono>

namespace willowrill::transport {

// Small writes are sent without delay, and a connection whose peer acknowledges nothing for that time fails:
// a machine without power says nothing, and a write to it would hang. Errors are ignored: the first use of a
// broken socket shows them.
void configure_socket(Tcp::socket& socket, std::chrono::milliseconds unacknowledged_timeout);

// What there is to read at a socket.
enum class Pending {
    nothing, // a spurious wake-up: bytes that were read meanwhile
    bytes,
    ended // by the peer, or by an error
};
// Looks without reading, and without waiting.
Pending pending(Tcp::socket& socket);

} // namespace willowrill::transport
