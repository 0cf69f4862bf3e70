#include "system/http_server/server.h"

#include "system/http_server/acceptor.h"
#include "system/http_server/session.h"

#include <utility>

namespace willowrill::http_server {

Server::Server(asio::io_context& loop, const std::string& host, std::uint16_t port, Options options,
               Handler handler) {
    auto sessions = std::make_shared<SessionContext>();
    sessions->options = options;
    sessions->handler = std::move(handler);
    acceptor_ = std::make_shared<Acceptor>(loop, host, port, std::move(sessions));
    acceptor_->accept_next();
}

Server::~Server() { stop_accepting(); }

void Server::stop_accepting() { acceptor_->close(); }

} // namespace willowrill::http_server
