// One client's connection to an HTTP server: reads a request, hands it over, writes the response, and so on.
// Keeps itself alive while an operation is under way. One thread, that of the loop.
#pragma once

#include "system/http_reader/body_memory.h"
#include "system/http_reader/input_buffer.h"
#include "system/http_server/messages.h"
#include "system/http_server/options.h"
#include "system/transport/asio.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace willowrill::http_server {

struct SessionContext;
using SessionHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

class Session : public std::enable_shared_from_this<Session>, public SessionHook {
  public:
    Session(std::shared_ptr<SessionContext> context, Tcp::socket socket);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Reads the next request.
    void read();
    // Ends the connection of a session that waits for a request.
    void close();

  private:
    void on_read(ErrorCode error);
    // `last`: the connection ends after this response.
    void write(Response response, bool last);
    void on_written(ErrorCode error, bool last);

    std::shared_ptr<SessionContext> context_;
    beast::tcp_stream stream_;
    http_reader::InputBuffer input_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http_reader::BodyMemory> body_memory_; // until the response is written
    std::string request_method_;                         // of the request that is answered
    Response response_;
};

// What the sessions of one server share; outlives the server for as long as one of them is open.
struct SessionContext {
    SessionContext(Options o, Handler h) : options(std::move(o)), handler(std::move(h)) {}

    Options options;
    Handler handler;
    std::size_t open_sessions = 0;
    // Those that wait for a request, the longest first; at most `options.max_connections`.
    boost::intrusive::list<Session, boost::intrusive::constant_time_size<false>> waiting;
};

} // namespace willowrill::http_server
