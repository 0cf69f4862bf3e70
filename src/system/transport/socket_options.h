// Options of TCP sockets that go beyond Asio's portable ones.
#pragma once

#include "system/transport/asio.h"

#include <chrono>

namespace willowrill::transport {

// No delay of small writes, and a peer that acknowledges nothing for so long is taken for gone: a machine
// without power says nothing, and a write to it would hang.
void prepare(Tcp::socket& socket, std::chrono::milliseconds unacknowledged);

// What stands at a socket whose wait for reading came to an end, without reading it.
enum class Pending {
    nothing, // a spurious wake-up: bytes that were read meanwhile
    bytes,
    ended // by the peer, or by an error
};
Pending pending(Tcp::socket& socket);

} // namespace willowrill::transport
