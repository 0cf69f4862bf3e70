// Responses that end with their heads: to HEAD, and of the statuses 204 and 304. Each is followed by a
// request on the same connection, which a byte of a body would put out of step.
#include "data/session_fixture.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <vector>

using namespace willowrill;
using namespace willowrill::data;

namespace {

const std::string body = "data: x\n\n";

std::string request(const std::string& method, const std::string& path = "/a/x",
                    const std::string& fields = "Attempt-Id: 0b\r\n") {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n";
}

// How a worker says where the body ends that a GET gets.
struct Framing {
    const char* name;
    std::string fields;
    std::string sent_body;
    Reaction reaction = Reaction::respond;
    bool states_length = false;
};

std::vector<Framing> framings() {
    return {{"length", fmt::format("Content-Length: {}\r\n", body.size()), body, Reaction::respond, true},
            {"chunks", "Transfer-Encoding: chunked\r\n", chunk(body) + "0\r\n\r\n"},
            {"end of connection", "", body, Reaction::respond_and_close}};
}

void expect_from_worker(SessionFixture& session, int status, const Framing& framing, bool with_body) {
    const std::string head = fmt::format("HTTP/1.1 {} R\r\n", status) + id + seal + framing.fields + "\r\n";
    session.proxy.first.expect(
        {ReadAmount::all, framing.reaction, head + (with_body ? framing.sent_body : "")});
}

void expect_as_given(const http::response<http::string_body>& response, int status, const Framing& framing) {
    cr_assert_eq(response.result_int(), static_cast<unsigned>(status), "%s", framing.name);
    cr_assert(response["Server-Seal"] == "seal", "%d, %s", status, framing.name);
}

std::string length_of(const http::response<http::string_body>& response) {
    return std::string(response[http::field::content_length]);
}

// A refusal of the scheduler's own.
struct Refusal {
    const char* name;
    unsigned status;
    std::function<void(SessionFixture&)> prepare;
    std::string path = "/a/x";
    std::string fields = "Attempt-Id: 0b\r\n";
};

// The first worker alone is asked, whatever it did before.
void let_worker(SessionFixture& session, const Step& step) {
    session.proxy.context->workers.erase("w2");
    routing::Worker& worker = session.proxy.context->workers["w1"];
    worker.ejected_until = worker.saturated_until = std::nullopt;
    session.proxy.first.expect(step);
}

std::vector<Refusal> refusals() {
    const auto nothing = [](SessionFixture&) {};
    const auto no_workers = [](SessionFixture& session) { session.proxy.context->workers.clear(); };
    const auto worker_closes = [](SessionFixture& session) {
        let_worker(session, {ReadAmount::all, Reaction::close, ""});
    };
    const auto worker_refuses = [](SessionFixture& session) {
        let_worker(session,
                   {ReadAmount::all, Reaction::respond, worker_response("503 Full", id + promise, "")});
    };
    const auto worker_is_silent = [](SessionFixture& session) {
        let_worker(session, {ReadAmount::all, Reaction::stay_silent, ""});
    };
    return {{"no route", 404, nothing, "/b"},
            {"no Attempt-Id", 400, nothing, "/a/x", ""},
            {"no worker", 503, no_workers},
            {"broken off", 502, worker_closes},
            {"refused by the worker", 503, worker_refuses},
            {"late", 504, worker_is_silent, "/a/x", "Attempt-Id: 0b\r\nTime-Remaining: 40\r\n"}};
}

} // namespace

// Guards against rule MIXED: bytes behind the head of an answer to HEAD, read as the next answer, and against
// a length of 0 in place of the worker's.
Test(responses_without_body, a_head_is_answered_with_the_head_that_the_worker_gave) {
    for (const RouteKind& route : route_kinds) {
        for (const Framing& framing : framings()) {
            SessionFixture session(route.route_class);
            session.proxy.context->workers.erase("w2");
            for (const int status : {200, 201, 299, 302, 404, 418, 500, 529, 599}) {
                expect_from_worker(session, status, framing, false);
                session.send(request("HEAD"));
                const auto to_head = session.receive(true);
                expect_as_given(to_head, status, framing);
                cr_assert_eq(length_of(to_head), framing.states_length ? std::to_string(body.size()) : "",
                             "%d, %s, %s: %s", status, route.name, framing.name, length_of(to_head).c_str());
                expect_from_worker(session, status, framing, true);
                session.send(request("GET"));
                const auto to_get = session.receive();
                expect_as_given(to_get, status, framing);
                cr_assert_eq(to_get.body(), body, "%d, %s, %s", status, route.name, framing.name);
            }
        }
    }
}

// Guards against a length in a 204, which has none, and one of 0 in a 304, which states that of the 200.
Test(responses_without_body, a_status_that_has_no_body_is_passed_on_with_its_head_alone) {
    for (const Framing& framing : framings()) {
        SessionFixture session;
        session.proxy.context->workers.erase("w2");
        for (const std::string method : {"GET", "HEAD", "POST"}) {
            for (const int status : {204, 304}) {
                expect_from_worker(session, status, framing, false);
                session.send(request(method, "/a/x", "Attempt-Id: 0b\r\nContent-Length: 0\r\n"));
                const auto response = session.receive(method == "HEAD");
                expect_as_given(response, status, framing);
                const bool has_length = framing.states_length && status == 304;
                cr_assert_eq(length_of(response), has_length ? std::to_string(body.size()) : "", "%d, %s",
                             status, framing.name);
                cr_assert_eq(session.surplus_bytes(), 0U);
            }
        }
    }
}

// Guards against rule MIXED: a refused HEAD was answered with a body, which stood before the next answer.
Test(responses_without_body, a_refused_head_is_answered_with_the_head_that_a_get_gets) {
    for (const Refusal& refusal : refusals()) {
        SessionFixture session;
        refusal.prepare(session);
        session.send(request("HEAD", refusal.path, refusal.fields));
        const auto to_head = session.receive(true);
        cr_assert_eq(to_head.result_int(), refusal.status, "%s: %u", refusal.name, to_head.result_int());
        cr_assert(to_head.keep_alive(), "%s", refusal.name);
        refusal.prepare(session);
        session.send(request("GET", refusal.path, refusal.fields));
        const auto to_get = session.receive();
        cr_assert_eq(to_get.result_int(), refusal.status, "%s", refusal.name);
        cr_assert_not(to_get.body().empty(), "%s", refusal.name);
        cr_assert_eq(length_of(to_head), length_of(to_get), "%s", refusal.name);
    }
}

// Guards against bytes behind the head also where the connection ends: what could not be read was a HEAD.
Test(responses_without_body, an_unreadable_head_is_answered_with_a_head_alone) {
    const std::string long_text(100'000, 'x');
    for (const std::string& unreadable :
         {"HEAD /" + long_text + " HTTP/1.1\r\n\r\n", request("HEAD", "/a/x", "X: " + long_text + "\r\n"),
          request("HEAD", "/a/x", "Content-Length: 999999999999\r\n"),
          request("HEAD", "/a/x", "not a field\r\n")}) {
        SessionFixture session;
        session.send(unreadable);
        const auto rejection = session.receive(true);
        cr_assert(rejection.result_int() == 400 || rejection.result_int() == 413, "%u",
                  rejection.result_int());
        cr_assert_not(rejection.keep_alive());
        session.end_of_session();
        cr_assert_eq(session.surplus_bytes(), 0U, "%s", unreadable.substr(0, 60).c_str());
    }
}

// Guards against bytes behind the head where the process ends.
Test(responses_without_body, a_head_that_is_given_up_is_answered_with_a_head_alone) {
    SessionFixture session;
    session.proxy.context->shutting_down = true;
    session.proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
    session.send(request("HEAD"));
    session.run_until([&] { return !session.proxy.first.requests.empty(); });
    session.session().give_up_request();
    cr_assert_eq(session.receive(true).result_int(), 502U);
    cr_assert(session.session_ended());
    cr_assert_eq(session.surplus_bytes(), 0U);
}
