#include "system/transport/dial.h"

#include <utility>

namespace willowrill::transport {
namespace {

struct DialAttempt {
    Tcp::socket socket;
    SteadyTimer timer;
    std::shared_ptr<budget::ByteBudget> input_memory;
    std::function<void(FrameConnectionPtr)> done;
};

} // namespace

void dial(asio::io_context& loop, const std::string& host, std::uint16_t port,
          std::chrono::milliseconds timeout, std::shared_ptr<budget::ByteBudget> input_memory,
          std::function<void(FrameConnectionPtr)> done) {
    ErrorCode malformed;
    const auto address = asio::ip::make_address(host, malformed);
    if (malformed) return asio::post(loop, [done = std::move(done)] { done(nullptr); });
    auto attempt = std::make_shared<DialAttempt>(
        DialAttempt{Tcp::socket(loop), SteadyTimer(loop), std::move(input_memory), std::move(done)});
    attempt->timer.expires_after(timeout);
    attempt->timer.async_wait([attempt](ErrorCode error) {
        ErrorCode ignored;
        if (!error) attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(Tcp::endpoint(address, port), [attempt](ErrorCode error) {
        attempt->timer.cancel();
        if (error || !attempt->socket.is_open()) return attempt->done(nullptr);
        attempt->done(std::make_shared<FrameConnection>(std::move(attempt->socket), attempt->input_memory));
    });
}

} // namespace willowrill::transport
