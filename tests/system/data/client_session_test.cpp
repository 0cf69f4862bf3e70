// One client's connection: which requests are proxied, which are rejected and how, and when the connection
// ends.
#include "data/session_fixture.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;
using namespace willowrill::data;

Test(client_session, proxies_requests_one_after_the_other) {
    SessionFixture session;
    for (int i = 0; i < 2; ++i) {
        session.send(complete_request);
        const auto response = session.receive();
        cr_assert_eq(response.result_int(), 200U);
        cr_assert(response.keep_alive());
    }
    cr_assert_eq(session.proxy.first.requests.size(), 2U);
    cr_assert_eq(session.proxy.context->counters.served, 2U);
    cr_assert_eq(session.counts->connections, 1U);
}

Test(client_session, rejects_a_request_without_a_route_and_goes_on) {
    SessionFixture session;
    session.send("GET /b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\n\r\n");
    const auto rejection = session.receive();
    cr_assert_eq(rejection.result_int(), 404U);
    expect_text(std::string(rejection["Attempt-Id"]), "0b");
    cr_assert(rejection.keep_alive());
    session.send(complete_request);
    cr_assert_eq(session.receive().result_int(), 200U);
    cr_assert_eq(session.proxy.context->counters.bad, 1U);
}

Test(client_session, rejects_a_request_without_an_attempt_id) {
    SessionFixture session;
    session.send("GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n");
    const auto rejection = session.receive();
    cr_assert_eq(rejection.result_int(), 400U);
    cr_assert(rejection.find("Attempt-Id") == rejection.end());
    cr_assert(session.proxy.first.requests.empty());
}

Test(client_session, rejects_bytes_that_are_no_request_and_ends) {
    SessionFixture session;
    session.send("garbage garbage\r\n\r\n");
    const auto rejection = session.receive();
    cr_assert_eq(rejection.result_int(), 400U);
    cr_assert_not(rejection.keep_alive());
    cr_assert(session.session_ended());
    cr_assert_eq(session.proxy.context->counters.bad, 1U);
}

// Guards against rule UNASKED: a body in a coding that the parser does not know was read as the next request.
Test(client_session, rejects_a_body_in_another_coding_than_chunks_and_ends) {
    const std::string head = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\n";
    const std::string body = "GET /a/smuggled HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0c\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    for (const std::string& fields :
         {std::string("Transfer-Encoding: gzip\r\n"), "Transfer-Encoding: gzip\r\n" + length,
          std::string("Transfer-Encoding: identity\r\n"), std::string("Transfer-Encoding: \r\n"),
          std::string("Transfer-Encoding: xchunked\r\n"), std::string("Transfer-Encoding: chunked, gzip\r\n"),
          std::string("Transfer-Encoding: gzip, chunked\r\n")}) {
        SessionFixture session;
        session.send(head);
        session.send(fields);
        session.send("\r\n" + body);
        const auto rejection = session.receive();
        cr_assert_eq(rejection.result_int(), 400U, "%s", fields.c_str());
        cr_assert_not(rejection.keep_alive());
        session.end_of_session();
        cr_assert_eq(session.surplus_bytes(), 0U, "%s", fields.c_str());
        cr_assert(session.proxy.first.requests.empty(), "%s", fields.c_str());
    }
}

Test(client_session, rejects_a_body_over_the_limit_and_ends) {
    SessionFixture session;
    const std::size_t limit =
        session.proxy.context->active_configuration->configuration.limits.max_body_bytes;
    session.send("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\nContent-Length: " +
                 std::to_string(limit + 1) + "\r\n\r\n");
    cr_assert_eq(session.receive().result_int(), 413U);
    cr_assert(session.session_ended());
}

// Guards against rules CONFIG and DENIED: limits as they were when the connection began to rest.
Test(client_session, a_request_on_a_kept_connection_has_the_limits_of_now) {
    SessionFixture session;
    session.send(complete_request);
    cr_assert_eq(session.receive().result_int(), 200U);
    session.run_until([&] { return session.session().is_idle(); });
    std::string text = configuration_text("safe", false, 1, 10000);
    text.replace(text.rfind('}'), 1, R"(,"limits":{"maxBodyBytes":100}})");
    session.proxy.activate_text(text);
    session.send("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0c\r\nContent-Length: 101\r\n\r\n");
    cr_assert_eq(session.receive().result_int(), 413U);
    cr_assert(session.session_ended());
}

Test(client_session, ends_after_a_response_while_shutting_down) {
    SessionFixture session;
    session.proxy.context->shutting_down = true;
    session.send(complete_request);
    const auto response = session.receive();
    cr_assert_eq(response.result_int(), 200U);
    cr_assert_not(response.keep_alive());
    cr_assert(session.session_ended());
}

Test(client_session, counts_a_request_while_it_is_answered) {
    SessionFixture session;
    session.proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
    session.send(complete_request);
    session.run_until([&] { return !session.proxy.first.requests.empty(); });
    cr_assert_eq(session.counts->active_requests, 1U);
    cr_assert_eq(session.proxy.context->workers.at("w1").in_flight, 1U);
}

// Guards against rule TWICE: a connection that ends without a byte of an answer is taken for one that was not
// read, and what a worker has run is sent again.
Test(client_session, a_request_that_a_worker_has_at_shutdown_is_answered_as_maybe_executed) {
    for (const char* const route_class : {"non_idempotent", "streaming", "safe"}) {
        SessionFixture session(route_class);
        session.proxy.context->shutting_down = true;
        session.proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
        session.send(complete_request);
        session.run_until([&] { return !session.proxy.first.requests.empty(); });
        session.session().give_up_request();
        const auto response = session.receive();
        cr_assert_eq(response.result_int(), 502U);
        expect_text(std::string(response["Attempt-Id"]), "0b");
        cr_assert_not(response.keep_alive());
        cr_assert(session.session_ended());
        cr_assert(session.proxy.second.requests.empty(), "nothing is attempted any more");
    }
}

// Guards against REFUSED and a lost request: what no worker has is answered with the promise, not with a
// close.
Test(client_session, a_request_that_no_worker_has_at_shutdown_is_answered_with_the_promise) {
    SessionFixture session("non_idempotent");
    session.proxy.context->shutting_down = true;
    for (auto& [id, worker] : session.proxy.context->workers)
        worker.replaced = true; // none can be chosen, and the request waits for one
    session.send(complete_request);
    session.run_until([&] { return session.counts->active_requests == 1; });
    session.session().give_up_request();
    const auto response = session.receive();
    cr_assert_eq(response.result_int(), 503U);
    cr_assert(response.find(http::field::retry_after) != response.end());
    cr_assert(session.session_ended());
    cr_assert(session.proxy.first.requests.empty() && session.proxy.second.requests.empty());
}

Test(client_session, an_idle_connection_is_closed_in_order) {
    SessionFixture session;
    session.send(complete_request);
    cr_assert_eq(session.receive().result_int(), 200U);
    session.run_until([&] { return session.session().is_idle(); });
    session.session().close_if_idle();
    cr_assert(session.session_ended());
}

// Guards against rule TWICE and a lost request: what was read is served, what was not is reset.
Test(client_session, a_request_that_crosses_the_close_is_either_served_or_reset) {
    SessionFixture crossing;
    crossing.run_until([&] { return crossing.session().is_idle(); });
    crossing.session().close_if_idle();
    crossing.send(complete_request); // before the session has seen that its read was ended
    cr_assert(crossing.end_of_session() == asio::error::connection_reset);
    cr_assert(crossing.proxy.first.requests.empty(), "it was not read");

    SessionFixture reading;
    reading.send("GET /a/x HTTP/1.1\r\nHost: h.exa");
    reading.run_until([&] { return !reading.session().is_idle(); });
    reading.session().close_if_idle();
    reading.send("mple\r\nAttempt-Id: 0b\r\n\r\n");
    cr_assert_eq(reading.receive().result_int(), 200U);
}

// The loop destroys what is suspended in it at its own end, after the context and the workers.
Test(client_session, a_request_under_way_may_be_destroyed_with_the_loop) {
    const auto counts = [] {
        SessionFixture session;
        session.proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
        session.send(complete_request);
        session.run_until([&] { return !session.proxy.first.requests.empty(); });
        cr_assert_eq(session.counts->active_requests, 1U);
        return session.counts;
    }();
    cr_assert_eq(counts->active_requests, 0U);
    cr_assert_eq(counts->connections, 0U);
}

namespace {

// Twice the body's bytes are counted.
constexpr std::size_t small_memory = 400;

std::string request_with_body(std::size_t bytes) {
    return "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'b');
}

std::string request_in_chunks(int chunks) {
    std::string out =
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 0b\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < chunks; ++i)
        out += "64\r\n" + std::string(100, 'b') + "\r\n";
    return out + "0\r\n\r\n";
}

} // namespace

// Guards against a process that the platform ends: bodies were held whole without a bound on their memory.
Test(client_session, a_body_without_room_in_memory_is_rejected_before_it_runs) {
    for (const std::string& request : {request_with_body(201), request_in_chunks(3)}) {
        SessionFixture session;
        session.proxy.context->input_memory.requests = std::make_shared<budget::ByteBudget>(small_memory);
        session.send(request);
        const auto rejection = session.receive();
        cr_assert_eq(rejection.result_int(), 503U);
        expect_text(std::string(rejection["Attempt-Id"]), "0b");
        cr_assert(rejection.find(http::field::retry_after) != rejection.end());
        cr_assert_not(rejection.keep_alive());
        cr_assert(session.proxy.first.requests.empty());
        session.finish_sending();
        cr_assert(session.session_ended());
        cr_assert_eq(session.proxy.context->input_memory.requests->reserved(), 0U);
        cr_assert_eq(session.proxy.context->counters.refused, 1U);
    }
}

Test(client_session, a_body_gives_its_memory_back_with_the_response) {
    SessionFixture session;
    session.proxy.context->input_memory.requests = std::make_shared<budget::ByteBudget>(small_memory);
    for (int i = 0; i < 3; ++i) {
        session.send(i == 1 ? request_in_chunks(2) : request_with_body(200));
        cr_assert_eq(session.receive().result_int(), 200U);
    }
    session.run_until([&] { return session.session().is_idle(); });
    cr_assert_eq(session.proxy.context->input_memory.requests->reserved(), 0U);
}
