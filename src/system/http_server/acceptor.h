// Accepts the connections of an HTTP server and starts a session for each. Keeps itself alive while an accept
// is under way. One thread, that of the loop.
#pragma once

#include "system/http_server/session.h"
#include "system/transport/asio.h"

#include <cstdint>
#include <memory>
#include <string>

namespace willowrill::http_server {

class Acceptor : public std::enable_shared_from_this<Acceptor> {
  public:
    // Listens; throws boost::system::system_error where the address cannot be had.
    Acceptor(asio::io_context& loop, const std::string& host, std::uint16_t port,
             std::shared_ptr<SessionContext> sessions);

    void accept_next();
    // Accepts no more; sessions go on.
    void close();

  private:
    void on_accepted(ErrorCode error, Tcp::socket socket);

    Tcp::acceptor acceptor_;
    std::shared_ptr<SessionContext> sessions_;
};

} // namespace willowrill::http_server
