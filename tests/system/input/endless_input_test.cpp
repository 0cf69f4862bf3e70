// Guards against rule FAULT: a process that keeps bytes without end, from whoever sends them, until the
// platform ends it for its memory.
#include "data/proxy_fixture.h"
#include "support/flood.h"
#include "support/free_port.h"
#include "system/data/client_session.h"
#include "system/http_client/client.h"
#include "system/http_server/server.h"
#include "system/transport/frame_connection.h"

#include <criterion/criterion.h>

#include <functional>

using namespace willowrill;

namespace {

const std::string answer_head = "HTTP/1.1 200 OK\r\nAttempt-Id: 0b\r\nServer-Seal: seal\r\n";
const std::string request_head = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\n";

void run_until(asio::io_context& loop, const std::function<bool()>& condition) {
    while (!condition())
        cr_assert_gt(loop.run_one_for(std::chrono::seconds(20)), 0U, "nothing happens any more");
}

struct ClientAnswer {
    bool came = false;
    bool usable = false;
};

ClientAnswer ask(asio::io_context& loop, std::uint16_t port) {
    const auto client = std::make_shared<http_client::Client>(loop, "127.0.0.1", port);
    ClientAnswer answer;
    client->get("/", std::chrono::seconds(10), [&](const http_client::Response* response) {
        answer = {true, response != nullptr};
    });
    run_until(loop, [&] { return answer.came; });
    return answer;
}

// Connects and pours; returns once the other end has closed, or all has gone.
std::size_t pour_into(asio::io_context& loop, const Tcp::endpoint& to, const FloodText& text) {
    Tcp::socket socket(loop);
    socket.connect(to);
    const auto flood = std::make_shared<Flood>(std::move(socket));
    flood->pour(text);
    run_until(loop, [&] { return flood->ended(); });
    return flood->bytes_sent();
}

} // namespace

Test(endless_input, an_answer_that_declares_an_enormous_length_fails_its_request_alone) {
    asio::io_context loop;
    const FloodingServer server(loop, {answer_head + "Content-Length: 999999999999\r\n\r\n", flood_junk});
    cr_assert_not(ask(loop, server.port()).usable);
    cr_assert_lt(server.bytes_sent(), Flood::max_taken);
}

Test(endless_input, an_answer_of_a_server_whose_framing_has_no_end_is_read_no_further) {
    for (const FloodText& framing : endless_framings) {
        asio::io_context loop;
        const FloodingServer server(loop, {answer_head + framing.begin, framing.piece});
        cr_assert_not(ask(loop, server.port()).usable);
        cr_assert_lt(server.bytes_sent(), Flood::max_taken, "%s", framing.begin.c_str());
    }
}

Test(endless_input, an_answer_of_a_worker_whose_framing_has_no_end_is_read_no_further) {
    for (const char* const route_class : {"safe", "streaming"}) {
        for (const FloodText& framing : endless_framings) {
            data::ProxyFixture proxy(route_class, false, 1);
            const FloodingServer worker(proxy.loop, {answer_head + framing.begin, framing.piece});
            proxy.context->workers.at("w1").instance.address = worker.address();
            const std::string response = proxy.serve("0b");
            cr_assert_eq(data::status_of(response), 502, "%s", response.c_str());
            cr_assert_lt(worker.bytes_sent(), Flood::max_taken, "%s", framing.begin.c_str());
        }
    }
}

// What reads it up to 16 MiB costs every other request on the loop.
Test(endless_input, a_promise_whose_body_has_no_end_leads_to_another_worker_at_once) {
    data::ProxyFixture proxy("non_idempotent", false, 2);
    const FloodingServer worker(
        proxy.loop,
        {"HTTP/1.1 503 Full\r\nAttempt-Id: 0b\r\nNot-Executed: 1\r\nContent-Length: 999999999999\r\n\r\n",
         flood_junk});
    proxy.context->workers.at("w1").instance.address = worker.address();
    const std::string response = proxy.serve("0b");
    cr_assert_eq(data::status_of(response), 200, "%s", response.c_str());
    cr_assert_eq(proxy.second.requests.size(), 1U);
    // Beside what the system buffers on the way.
    cr_assert_lt(worker.bytes_sent(), 12U << 20U);
}

Test(endless_input, a_request_of_a_client_whose_framing_has_no_end_is_read_no_further) {
    for (const FloodText& framing : endless_framings) {
        data::ProxyFixture proxy("safe", false, 1);
        Tcp::acceptor acceptor(proxy.loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto counts = std::make_shared<data::ClientCounts>();
        acceptor.async_accept([&](ErrorCode error, Tcp::socket socket) {
            cr_assert(!error);
            auto session = std::make_shared<data::ClientSession>(*proxy.context, counts, std::move(socket));
            asio::co_spawn(proxy.loop, data::ClientSession::run(std::move(session)), asio::detached);
        });
        const std::size_t sent =
            pour_into(proxy.loop, acceptor.local_endpoint(), {request_head + framing.begin, framing.piece});
        cr_assert_lt(sent, Flood::max_taken, "%s", framing.begin.c_str());
        cr_assert(proxy.first.requests.empty());
    }
}

Test(endless_input, a_request_to_an_own_interface_whose_framing_has_no_end_is_read_no_further) {
    for (const FloodText& framing : endless_framings) {
        asio::io_context loop;
        const std::uint16_t port = free_port(loop);
        std::size_t requests = 0;
        const http_server::Server server(
            loop, "127.0.0.1", port, {},
            [&](const http_server::Request&, const http_server::Respond&) { ++requests; });
        const std::size_t sent = pour_into(loop, transport::endpoint_of("127.0.0.1", port),
                                           {request_head + framing.begin, framing.piece});
        cr_assert_lt(sent, Flood::max_taken, "%s", framing.begin.c_str());
        cr_assert_eq(requests, 0U);
    }
}
