// The HTTP client and server of the system's own interfaces, against each other on loopback.
#include "system/http_client/client.h"
#include "system/http_server/server.h"

#include "support/expect.h"
#include "support/free_port.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace willowrill;

Test(http, a_client_and_a_server_use_one_connection_for_all_requests) {
    asio::io_context loop;
    const std::uint16_t port = free_port(loop);
    std::vector<std::string> targets;
    http_server::Server server(loop, "127.0.0.1", port, {},
                               [&](const http_server::Request& request, const http_server::Respond& respond) {
                                   targets.emplace_back(request.target());
                                   respond(http_server::json_response(request, 200, "{\"n\":1}"));
                               });
    const auto client = std::make_shared<http_client::Client>(loop, "127.0.0.1", port);
    int responses = 0;
    for (int i = 0; i < 3; ++i) {
        client->get("/x" + std::to_string(i), std::chrono::seconds(5),
                    [&](const http_client::Response* response) {
                        cr_assert_not_null(response);
                        expect_text(response->body().c_str(), "{\"n\":1}");
                        ++responses;
                    });
        cr_assert(client->busy());
        while (client->busy())
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U);
    }
    cr_assert_eq(responses, 3);
    expect_text(targets[2].c_str(), "/x2");
}

Test(http, an_unreachable_server_gives_no_response) {
    asio::io_context loop;
    const auto client = std::make_shared<http_client::Client>(loop, "127.0.0.1", 1);
    bool called = false;
    client->get("/", std::chrono::seconds(5), [&](const http_client::Response* response) {
        cr_assert_null(response);
        called = true;
    });
    loop.run_for(std::chrono::seconds(5));
    cr_assert(called);
}

// Guards against a process that is mute: connections that said nothing held all there are.
Test(http, a_new_client_is_served_beside_as_many_silent_ones_as_may_connect) {
    asio::io_context loop;
    const std::uint16_t port = free_port(loop);
    http_server::Options options;
    options.max_connections = 2;
    http_server::Server server(loop, "127.0.0.1", port, options,
                               [](const http_server::Request& request, const http_server::Respond& respond) {
                                   respond(http_server::json_response(request, 200, "{}"));
                               });
    std::vector<Tcp::socket> silent;
    for (std::size_t i = 0; i < options.max_connections; ++i)
        silent.emplace_back(loop).connect(transport::endpoint_of("127.0.0.1", port));
    const auto client = std::make_shared<http_client::Client>(loop, "127.0.0.1", port);
    bool served = false;
    client->get("/", std::chrono::seconds(5),
                [&](const http_client::Response* response) { served = response != nullptr; });
    while (client->busy())
        cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U);
    cr_assert(served);
}

Test(http, a_request_that_declares_more_than_the_limit_is_rejected_as_too_large) {
    asio::io_context loop;
    const std::uint16_t port = free_port(loop);
    std::size_t requests = 0;
    const http_server::Server server(
        loop, "127.0.0.1", port, {},
        [&](const http_server::Request&, const http_server::Respond&) { ++requests; });
    Tcp::socket client(loop);
    client.connect(transport::endpoint_of("127.0.0.1", port));
    asio::write(client,
                asio::buffer(std::string("PUT / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n{}")));
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    bool received = false;
    http::async_read(client, buffer, response, [&](ErrorCode, std::size_t) { received = true; });
    while (!received)
        cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U);
    cr_assert_eq(response.result_int(), 413U);
    cr_assert_eq(requests, 0U);
}

namespace {

// What a server that knows one resource answers on one connection; `is_head`: of each request in turn.
std::vector<http::response<http::string_body>> responses_to(const std::string& requests,
                                                            const std::vector<bool>& is_head) {
    asio::io_context loop;
    const std::uint16_t port = free_port(loop);
    const http_server::Server server(
        loop, "127.0.0.1", port, {},
        [](const http_server::Request& request, const http_server::Respond& respond) {
            if (request.target() == "/known") return respond(http_server::json_response(request, 200, "{}"));
            respond(http_server::error_response(request, {errors::ErrorKind::unknown_resource, "none"}));
        });
    Tcp::socket client(loop);
    client.connect(transport::endpoint_of("127.0.0.1", port));
    asio::write(client, asio::buffer(requests));
    beast::flat_buffer buffer;
    std::vector<http::response<http::string_body>> responses;
    for (const bool to_head : is_head) {
        http::response_parser<http::string_body> parser;
        parser.skip(to_head);
        bool received = false;
        http::async_read(client, buffer, parser, [&](ErrorCode error, std::size_t) {
            cr_assert(!error, "%s", error.message().c_str());
            received = true;
        });
        while (!received)
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U);
        responses.push_back(parser.release());
    }
    cr_assert_eq(buffer.size(), 0U, "bytes behind the last response");
    return responses;
}

} // namespace

// Guards against bytes behind the head of an answer to HEAD, read as the next answer: readiness, directory,
// operators' API, metrics.
Test(http, a_head_is_answered_with_the_head_that_a_get_gets) {
    for (const std::string target : {"/known", "/unknown"}) {
        const std::string head = fmt::format("HEAD {} HTTP/1.1\r\n\r\n", target);
        const std::string get = fmt::format("GET {} HTTP/1.1\r\n\r\n", target);
        const auto responses = responses_to(fmt::format("{}{}{}", head, get, head), {true, false, true});
        for (const auto& response : responses) {
            cr_assert_eq(response.result_int(), responses[1].result_int());
            cr_assert(response[http::field::content_length] == responses[1][http::field::content_length]);
        }
        cr_assert_not(responses[1].body().empty());
    }
}

// Guards against the same where the connection ends, as the request could not be read.
Test(http, an_unreadable_head_is_answered_with_a_head_alone) {
    responses_to("HEAD / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n", {true});
    responses_to("HEAD / HTTP/1.1\r\nnot a field\r\n\r\n", {true});
    responses_to("HEAD /" + std::string(100'000, 'x') + " HTTP/1.1\r\n\r\n", {true});
}

// Health answers, load reports and the platform's list.
Test(http, what_is_no_response_is_not_delivered) {
    for (const std::string& response :
         {std::string("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"),
          std::string("HTTP/1.1 100 Continue\r\n\r\n"),
          std::string("HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}"),
          std::string("HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}"),
          std::string("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}"),
          std::string("HTTP/1.1 200 OK\r\nServing Instance: i\r\nContent-Length: 2\r\n\r\n{}")}) {
        asio::io_context loop;
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto client =
            std::make_shared<http_client::Client>(loop, "127.0.0.1", acceptor.local_endpoint().port());
        bool called = false, delivered = false;
        client->get("/", std::chrono::seconds(5), [&](const http_client::Response* got) {
            called = true;
            delivered = got != nullptr;
        });
        loop.run_one_for(std::chrono::seconds(5));
        Tcp::socket server = acceptor.accept();
        asio::write(server, asio::buffer(response));
        server.shutdown(Tcp::socket::shutdown_send);
        while (!called)
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U);
        cr_assert_not(delivered, "%s", response.c_str());
    }
}
