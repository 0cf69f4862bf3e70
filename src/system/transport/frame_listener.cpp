#include "system/transport/frame_listener.h"

#include <utility>

namespace willowrill::transport {

FrameListener::FrameListener(asio::io_context& loop, const std::string& host, std::uint16_t port,
                             std::shared_ptr<budget::ByteBudget> input_memory,
                             std::function<void(FrameConnectionPtr)> on_accept)
    : listener_(
          loop, host, port,
          [input_memory = std::move(input_memory), on_accept = std::move(on_accept)](Tcp::socket socket) {
              on_accept(std::make_shared<FrameConnection>(std::move(socket), input_memory));
          }) {}

} // namespace willowrill::transport
