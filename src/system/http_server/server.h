// A small HTTP/1.1 server for the system's own interfaces: complete requests in, complete responses out.
// Bounds headers, bodies, connections and time. One thread, that of the loop.
#pragma once

#include "system/http_server/messages.h"
#include "system/http_server/options.h"
#include "system/http_server/responses.h"
#include "system/transport/asio.h"
#include "system/transport/listener.h"

#include <cstdint>
#include <memory>
#include <string>

namespace willowrill::http_server {

struct SessionContext;

class Server {
  public:
    // Listens at `host`, an IP address, and `port`; throws boost::system::system_error where that cannot be
    // had. `loop` must outlive the server, and what `handler` refers to must outlive the loop's last run.
    Server(asio::io_context& loop, const std::string& host, std::uint16_t port, Options options,
           Handler handler);

    // Accepts no more connections; those that are open go on.
    void stop_accepting() { listener_.close(); }

  private:
    static void on_accepted(const std::shared_ptr<SessionContext>& sessions, Tcp::socket socket);

    std::shared_ptr<SessionContext> sessions_;
    transport::Listener listener_;
};

} // namespace willowrill::http_server
