// Waits at the start of a process until its addresses are free: the process before it may be on its way out,
// or stand still until the platform kills it. One thread, that of the loop.
#pragma once

#include "system/transport/asio.h"
#include "system/transport/process_signals.h"

#include <chrono>
#include <vector>

namespace willowrill::transport {

inline constexpr std::chrono::milliseconds address_timeout{30000};

// Returns true once a socket could be bound to each of the addresses, false where SIGTERM or SIGINT came
// before. Throws boost::system::system_error where an address cannot be had for another reason than that it
// is in use, or is in use still after `timeout`. The loop must not run meanwhile.
bool wait_for_addresses(asio::io_context& loop, ProcessSignals& signals,
                        const std::vector<Tcp::endpoint>& addresses,
                        std::chrono::milliseconds timeout = address_timeout);

} // namespace willowrill::transport
