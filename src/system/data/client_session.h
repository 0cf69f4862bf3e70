// One client's connection: reads complete requests one after the other, has a `ProxiedRequest` answer each
// that has a route, and rejects the others. One thread.
#pragma once

#include "system/data/context.h"
#include "system/data/proxied_request.h"
#include "system/data/upstream_request.h"
#include "system/errors/error.h"
#include "system/http_reader/body_memory.h"
#include "system/http_reader/input_buffer.h"
#include "system/transport/asio.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace willowrill::data {

// What the sessions of one listener count together.
struct ClientCounts {
    std::size_t connections = 0;
    std::size_t active_requests = 0; // being answered
};

// Counts one from its construction to its destruction; the counter must outlive it.
class ScopedCount {
  public:
    explicit ScopedCount(std::size_t& counter) : counter_(counter) { ++counter_; }
    ~ScopedCount() { --counter_; }
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

  private:
    std::size_t& counter_;
};

// Lets a session stand in the list of its listener until it is destroyed.
using ClientSessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class ClientSession : public std::enable_shared_from_this<ClientSession>, public ClientSessionHook {
  public:
    ClientSession(Context& context, std::shared_ptr<ClientCounts> counts, Tcp::socket socket);
    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    // Serves the connection to its end; keeps the session alive meanwhile.
    static asio::awaitable<void> run(std::shared_ptr<ClientSession> self);

    // It waits for a request, of which no byte has been read.
    bool is_idle() const { return awaits_request_; }
    // Ends the connection if it is idle. A request whose bytes have been read by then is still served; one
    // that crosses the end stays unread, and its client sees a reset.
    void close_if_idle();
    // Answers the request under way, if there is one, that it was given up.
    void give_up_request();

  private:
    using Parser = http::request_parser<http::string_body>;
    using BodyMemory = http_reader::BodyMemory;

    // These return false when the connection is at its end.
    asio::awaitable<bool> serve_request();
    asio::awaitable<bool> respond(const ClientRequest& request);
    asio::awaitable<bool> proxy(const ClientRequest& request, const ActiveConfigurationPtr& configuration,
                                const configuration::Route& route, routing::Time arrived);
    asio::awaitable<bool> reject_unreadable(ErrorCode error, const Parser& parser);
    asio::awaitable<bool> reject_for_memory(const ClientRequest& request);
    asio::awaitable<bool> reject(const ClientRequest& request, const errors::Error& error);

    asio::awaitable<bool> await_request();
    // `error`: boost::asio::error::no_memory where the body has no room in `memory`; the rest of the request
    // is not read then.
    asio::awaitable<void> read_request(Parser& parser, BodyMemory& memory, ErrorCode& error);
    asio::awaitable<void> send_continue();
    asio::awaitable<bool> write_rejection(const http::response<http::string_body>& response);
    // Lets a client that is still sending read the response before the connection ends.
    asio::awaitable<void> discard_rest_of_request();
    void close();

    Context& context_;
    std::shared_ptr<ClientCounts> counts_;
    ScopedCount connection_count_;
    beast::tcp_stream stream_;
    http_reader::InputBuffer input_;
    bool awaits_request_ = false;
    ProxiedRequest* proxied_ = nullptr; // the one under way
    std::uint64_t requests_read_ = 0;
};

// Owns nothing. At most as many as the listener accepts.
using ClientSessionList = boost::intrusive::list<ClientSession, boost::intrusive::constant_time_size<false>>;

} // namespace willowrill::data
