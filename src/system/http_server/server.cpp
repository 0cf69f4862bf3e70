#include "system/http_server/server.h"

#include "system/http_server/session.h"
#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::http_server {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{5000};

} // namespace

Server::Server(asio::io_context& loop, const std::string& host, std::uint16_t port, Options options,
               Handler handler)
    : sessions_(std::make_shared<SessionContext>(std::move(options), std::move(handler))),
      listener_(loop, host, port,
                [sessions = sessions_](Tcp::socket socket) { on_accepted(sessions, std::move(socket)); }) {}

void Server::on_accepted(const std::shared_ptr<SessionContext>& sessions, Tcp::socket socket) {
    if (sessions->open_sessions >= sessions->options.max_connections) {
        if (sessions->waiting.empty()) return;
        sessions->waiting.front().close();
    }
    transport::configure_socket(socket, unacknowledged_timeout);
    std::make_shared<Session>(sessions, std::move(socket))->read();
}

} // namespace willowrill::http_server
