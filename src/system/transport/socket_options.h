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

// How the peer ended a connection.
enum class PeerEnd {
    in_order,       // it has closed its side, and has all that was sent to it
    unacknowledged, // it has closed its side; what is still on its way to it may be answered by a reset
    reset           // or the connection failed
};
// To be asked once a read has met the end. The read itself does not tell: an error is reported only once, and
// a write under way beside it may have taken that of a reset.
PeerEnd peer_end(Tcp::socket& socket);

} // namespace willowrill::transport
