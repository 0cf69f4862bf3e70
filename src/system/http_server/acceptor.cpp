#include "system/http_server/acceptor.h"

#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::http_server {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{5000};

} // namespace

Acceptor::Acceptor(asio::io_context& loop, const std::string& host, std::uint16_t port,
                   std::shared_ptr<SessionContext> sessions)
    : acceptor_(loop), sessions_(std::move(sessions)) {
    const Tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
}

void Acceptor::accept_next() {
    acceptor_.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
        self->on_accepted(error, std::move(socket));
    });
}

void Acceptor::on_accepted(ErrorCode error, Tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error && sessions_->open_sessions < sessions_->options.max_connections) {
        transport::configure_socket(socket, unacknowledged_timeout);
        std::make_shared<Session>(sessions_, std::move(socket))->read();
    }
    accept_next();
}

void Acceptor::close() {
    ErrorCode ignored;
    acceptor_.close(ignored);
}

} // namespace willowrill::http_server
