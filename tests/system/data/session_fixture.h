// What the tests of clients' connections share: a session on loopback, its workers, and the client's end.
#pragma once

#include "data/proxy_fixture.h"

#include "system/data/client_session.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>

namespace willowrill::data {

inline const std::string complete_request = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\n\r\n";

// A session on loopback with the client's end of its connection.
class SessionFixture {
  public:
    explicit SessionFixture(const char* route_class = "safe")
        : proxy(route_class, false, 1), client_(proxy.loop) {
        Tcp::acceptor acceptor(proxy.loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        client_.connect(acceptor.local_endpoint());
        auto session = std::make_shared<ClientSession>(*proxy.context, counts, acceptor.accept());
        sessions.push_back(*session);
        asio::co_spawn(proxy.loop, ClientSession::run(std::move(session)), asio::detached);
    }

    ClientSession& session() { return sessions.front(); }

    void send(const std::string& bytes) { asio::write(client_, asio::buffer(bytes)); }
    void finish_sending() { client_.shutdown(Tcp::socket::shutdown_send); }

    void run_until(const std::function<bool()>& condition) {
        while (!condition())
            cr_assert_gt(proxy.loop.run_one_for(std::chrono::seconds(20)), 0U, "nothing happens any more");
    }

    // The next response, complete with its body. `to_head`: it answers a HEAD, and ends with its head.
    http::response<http::string_body> receive(bool to_head = false) {
        http::response_parser<http::string_body> parser;
        parser.skip(to_head);
        bool received = false;
        http::async_read(client_, buffer_, parser, [&](ErrorCode error, std::size_t /*bytes*/) {
            cr_assert(!error, "%s", error.message().c_str());
            received = true;
        });
        run_until([&] { return received; });
        return parser.release();
    }

    // What has come behind the responses that were received.
    std::size_t surplus_bytes() const { return buffer_.size(); }

    bool session_ended() { return end_of_session() == asio::error::eof; }

    // What the client sees once the session is over and all responses are read.
    ErrorCode end_of_session() {
        run_until([&] { return counts->connections == 0; });
        ErrorCode error;
        char byte = 0;
        client_.read_some(asio::buffer(&byte, 1), error);
        return error;
    }

    ProxyFixture proxy;
    std::shared_ptr<ClientCounts> counts = std::make_shared<ClientCounts>();
    ClientSessionList sessions;

  private:
    Tcp::socket client_;
    beast::flat_buffer buffer_;
};

} // namespace willowrill::data
