#include "system/transport/frame_listener.h"

#include <utility>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds accept_retry_time{50};

} // namespace

FrameListener::FrameListener(asio::io_context& loop, const std::string& host, std::uint16_t port,
                             std::function<void(FrameConnectionPtr)> on_accept)
    : acceptor_(loop, Tcp::endpoint(asio::ip::make_address(host), port)), retry_timer_(loop),
      on_accept_(std::move(on_accept)) {
    accept();
}

void FrameListener::accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) return retry_later(); // out of descriptors, most likely
        on_accept_(std::make_shared<FrameConnection>(std::move(socket)));
        accept();
    });
}

void FrameListener::retry_later() {
    retry_timer_.expires_after(accept_retry_time);
    retry_timer_.async_wait([this](ErrorCode aborted) {
        if (!aborted) accept();
    });
}

} // namespace willowrill::transport
