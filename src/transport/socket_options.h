// Options of TCP sockets that go beyond Asio's portable ones.
#pragma once

#include "transport/asio.h"

#include <chrono>

namespace willowrill::transport {

// No delay of small writes, and a peer that acknowledges nothing for so long is taken for gone: a machine
// without power says nothing, and a write to it would hang.
void prepare(Tcp::socket& socket, std::chrono::milliseconds unacknowledged);

} // namespace willowrill::transport
