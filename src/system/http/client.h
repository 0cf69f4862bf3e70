// A client for one HTTP/1.1 server: one kept connection, one request at a time, each with its time. One
// thread.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::http_client {

using Response = http::response<http::string_body>;
// Null where there was no whole answer in time.
using OnResponse = std::function<void(const Response*)>;

class Client : public std::enable_shared_from_this<Client> {
  public:
    Client(asio::io_context& loop, std::string host, std::uint16_t port);

    // Nothing may be under way: see `busy`.
    void get(const std::string& target, std::chrono::milliseconds timeout, OnResponse done);
    bool busy() const { return done_ != nullptr; }
    // Ends the connection and forgets what was asked.
    void close();

  private:
    void write();
    void finish(bool answered);

    std::string host_;
    std::uint16_t port_;
    // Kept by the operations under way, which end only after the connection was given up.
    struct Connection {
        explicit Connection(asio::io_context& loop) : stream(loop) {}
        beast::tcp_stream stream;
        bool connected = false;
        http::request<http::empty_body> request;
        beast::flat_buffer buffer;
        std::optional<http::response_parser<http::string_body>> parser;
    };
    asio::io_context& loop_;
    std::shared_ptr<Connection> connection_;
    OnResponse done_;
    std::uint64_t serial_ = 0; // of the request under way; handlers of an older one do nothing
};

} // namespace willowrill::http_client
