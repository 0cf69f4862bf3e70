// A small HTTP/1.1 server for the system's own interfaces: whole requests in, whole answers out. Bounds
// heads, bodies, connections and time. One thread.
#pragma once

#include "system/errors/error.h"
#include "system/transport/asio.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::http_server {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
// Called once for each request, from the loop, at once or later.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Respond)>;

struct Options {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 8U << 20U;
    std::chrono::milliseconds read_timeout{15000};
    std::size_t most_connections = 512;
};

class Server {
  public:
    Server(asio::io_context& loop, const std::string& host, std::uint16_t port, Options options,
           Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    // Accepts nobody more; connections that are open go on.
    void stop_accepting();

  private:
    struct Shared;
    void accept();

    std::shared_ptr<Shared> shared_;
};

Response json_response(const Request& request, unsigned status, std::string body);
// The answer that the table of error kinds gives.
Response error_response(const Request& request, const errors::Error& error);

} // namespace willowrill::http_server
