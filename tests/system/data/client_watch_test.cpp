// A watch of a client's connection: what it hears, and that it hears nothing once it is gone.
#include "system/data/client_watch.h"

#include <criterion/criterion.h>

#include <optional>

using namespace willowrill;
using data::ClientWatch;

namespace {

struct Connection {
    Connection() : client(loop), server(loop) {
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server);
    }
    void watch() {
        heard.emplace(server, [this] { ++gone; });
    }
    void run_dry() {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(50));
    }
    asio::io_context loop;
    Tcp::socket client, server;
    std::optional<ClientWatch> heard;
    int gone = 0;
};

} // namespace

Test(client_watch, hears_once_that_the_client_has_left) {
    Connection connection;
    connection.watch();
    connection.run_dry();
    cr_assert_eq(connection.gone, 0);
    connection.client.close();
    connection.run_dry();
    cr_assert_eq(connection.gone, 1);
}

Test(client_watch, the_next_request_is_no_end) {
    Connection connection;
    connection.watch();
    asio::write(connection.client, asio::buffer(std::string("GET ")));
    connection.run_dry();
    connection.client.close();
    connection.run_dry();
    cr_assert_eq(connection.gone, 0);
}

// However the request ended, by an exception too: what the watch would call is gone with it.
Test(client_watch, nothing_is_called_once_it_is_destroyed) {
    Connection connection;
    connection.watch();
    connection.client.close();
    connection.heard.reset();
    connection.run_dry();
    cr_assert_eq(connection.gone, 0);
}

// The watch may end in the same turn of the loop in which the client's end is seen.
Test(client_watch, nothing_is_called_where_it_is_destroyed_when_the_end_is_seen) {
    Connection connection;
    connection.watch();
    connection.client.close();
    asio::post(connection.loop, [&] { connection.heard.reset(); });
    connection.run_dry();
    cr_assert_eq(connection.gone, 0);
}
