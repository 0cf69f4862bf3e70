// Connects to another process of the system. One thread, that of the loop.
#pragma once

#include "system/transport/asio.h"
#include "system/transport/frame_connection.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::transport {

// Connects to `host`, an IP address, within `timeout`. `input_memory`: see `FrameConnection`. `done` comes
// once, from the loop: with null where that failed.
void dial(asio::io_context& loop, const std::string& host, std::uint16_t port,
          std::chrono::milliseconds timeout, std::shared_ptr<budget::ByteBudget> input_memory,
          std::function<void(FrameConnectionPtr)> done);

} // namespace willowrill::transport
