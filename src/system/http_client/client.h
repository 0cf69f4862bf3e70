// A client for one HTTP/1.1 server, given by its address: one kept connection, one request at a time, each
// with a timeout. Does not resolve names, follow redirects or retry. One thread, that of the loop; callbacks
// come from the loop, never from inside a call.
#pragma once

#include "system/http_reader/body_memory.h"
#include "system/http_reader/input_buffer.h"
#include "system/transport/asio.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::http_client {

inline constexpr std::size_t default_input_bytes = 32U << 20U;
// Of a response: its head, the header of a chunk, its trailers.
inline constexpr std::size_t max_framing_bytes = 8192;

using Response = http::response<http::string_body>;
// Null where no complete response came in time. The response is valid during the call only.
using OnResponse = std::function<void(const Response*)>;

// What a response may take.
struct Options {
    std::uint64_t max_body_bytes = 8U << 20U;
    // What is read is part of this; a process shares one between all that it reads.
    std::shared_ptr<budget::ByteBudget> input_memory =
        std::make_shared<budget::ByteBudget>(default_input_bytes);
};

// Must be owned by a std::shared_ptr: operations under way keep it alive.
class Client : public std::enable_shared_from_this<Client> {
  public:
    // `loop` must outlive the client. `host`: an IP address; where it does not parse, every request fails.
    Client(asio::io_context& loop, std::string host, std::uint16_t port, Options options = {});

    // Sends a request; `done` is called once, unless `close` comes first. Must not be called while `busy`.
    // `timeout`: from now to the complete response, a new connection included.
    void get(const std::string& target, std::chrono::milliseconds timeout, OnResponse done);
    // Whether a request is under way.
    bool busy() const { return done_ != nullptr; }
    // Ends the connection; the callback of a request under way is not called any more.
    void close();

  private:
    // Shared with the operations under way, which may end only after the client has dropped it.
    struct Connection {
        Connection(asio::io_context& loop, const Options& options)
            : stream(loop), input(options.input_memory, max_framing_bytes) {}
        beast::tcp_stream stream;
        bool connected = false;
        http::request<http::empty_body> request;
        http_reader::InputBuffer input;
        std::optional<http::response_parser<http::string_body>> parser;
        std::optional<http_reader::BodyMemory> body_memory; // until the response was delivered
    };

    void connect(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds timeout);
    void write();
    void read(const std::shared_ptr<Connection>& connection, std::uint64_t request_number);
    void on_read(ErrorCode error);
    // Once for each series of answers that cannot be read.
    void report_unreadable(ErrorCode error);
    void finish(bool answered);

    std::string host_;
    std::uint16_t port_;
    asio::io_context& loop_;
    Options options_;
    std::shared_ptr<Connection> connection_;
    OnResponse done_;
    bool unreadable_reported_ = false; // since the last answer that could be read
    std::uint64_t request_number_ = 0; // of the request under way; handlers of an older one do nothing
};

} // namespace willowrill::http_client
