// Accepts connections from other processes of the system. One thread, that of the loop.
#pragma once

#include "system/transport/asio.h"
#include "system/transport/frame_connection.h"
#include "system/transport/listener.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::transport {

// Accepts for as long as it lives; must not outlive the loop, nor be destroyed while the loop runs on.
class FrameListener {
  public:
    // Listens at `host`, an IP address, and `port` (0: any free one); throws boost::system::system_error
    // where that cannot be had. `input_memory`: see `FrameConnection`. `on_accept` gets each connection, not
    // started yet, and bounds their number.
    FrameListener(asio::io_context& loop, const std::string& host, std::uint16_t port,
                  std::shared_ptr<budget::ByteBudget> input_memory,
                  std::function<void(FrameConnectionPtr)> on_accept);

  private:
    Listener listener_;
};

} // namespace willowrill::transport
