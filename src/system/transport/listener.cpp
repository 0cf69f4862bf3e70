#include "system/transport/listener.h"

#include "system/logging/log.h"

#include <chrono>
#include <utility>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds retry_pause{50};

} // namespace

Tcp::endpoint endpoint_of(const std::string& host, std::uint16_t port) {
    return {asio::ip::make_address(host), port};
}

struct Listener::State : std::enable_shared_from_this<State> {
    State(asio::io_context& loop, OnAccept callback)
        : acceptor(loop), retry_timer(loop), on_accept(std::move(callback)) {}

    void accept_next() {
        acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
            if (self->acceptor.is_open()) self->on_accepted(error, std::move(socket));
        });
    }

    void on_accepted(ErrorCode error, Tcp::socket socket) {
        if (error) return retry_later(error);
        failing = false;
        on_accept(std::move(socket));
        if (acceptor.is_open()) accept_next();
    }

    // The connections that wait would wake the loop again at once.
    void retry_later(ErrorCode error) {
        if (!std::exchange(failing, true)) {
            ErrorCode ignored;
            logging::warning("accept-failed")
                .field("port", acceptor.local_endpoint(ignored).port())
                .text("detail", error.message());
        }
        retry_timer.expires_after(retry_pause);
        retry_timer.async_wait([self = shared_from_this()](ErrorCode aborted) {
            if (!aborted && self->acceptor.is_open()) self->accept_next();
        });
    }

    Tcp::acceptor acceptor;
    SteadyTimer retry_timer;
    OnAccept on_accept;
    bool failing = false; // the last attempt failed, and the log says so
};

Listener::Listener(asio::io_context& loop, const std::string& host, std::uint16_t port, OnAccept on_accept)
    : state_(std::make_shared<State>(loop, std::move(on_accept))) {
    const Tcp::endpoint endpoint = endpoint_of(host, port);
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen();
    state_->accept_next();
}

Listener::~Listener() { close(); }

void Listener::close() {
    ErrorCode ignored;
    state_->acceptor.close(ignored);
    state_->retry_timer.cancel();
}

std::uint16_t Listener::port() const { return state_->acceptor.local_endpoint().port(); }

} // namespace willowrill::transport
