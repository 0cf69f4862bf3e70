// Every pair of what was sent so far and what came back, for each class of route, on new and on kept
// connections. A plain model says what is allowed: whether a second worker may be asked, and what the client
// may get.
#include "data/broken_responses.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace willowrill;
using namespace willowrill::data;

namespace {

// What the worker's behaviour tells of the request, from the pages alone.
// `misdirected`: not run, as the instance it was sent to is not there; that was no send to a worker.
enum class Execution { answered, not_run, misdirected, unknown };

struct Outcome {
    const char* name;
    Step step;
    Execution on_new;  // on a connection that has carried nothing else
    Execution on_kept; // on one that has
};

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<Outcome> outcomes() {
    const auto responds = [](const std::string& text) {
        return Step{ReadAmount::all, Reaction::respond, text};
    };
    const Execution answered = Execution::answered, not_run = Execution::not_run,
                    misdirected = Execution::misdirected, unknown = Execution::unknown;
    return {
        {"whole answer", responds(worker_response("200 OK", id + seal)), answered, answered},
        {"failure of the worker's", responds(worker_response("500 Internal Server Error", id + seal)),
         answered, answered},
        {"503 with the promise", responds(worker_response("503 Service Unavailable", id + promise)), not_run,
         not_run},
        {"429 with the promise", responds(worker_response("429 Too Many Requests", id + promise)), not_run,
         not_run},
        {"408 with the promise", responds(worker_response("408 Request Timeout", id + promise)), not_run,
         not_run},
        {"400 with the promise", responds(worker_response("400 Bad Request", id + promise)), not_run,
         not_run},
        {"421 is a promise", responds(worker_response("421 Misdirected Request", id)), misdirected,
         misdirected},
        {"503 without the promise", responds(worker_response("503 Service Unavailable", id + seal)), unknown,
         unknown},
        {"429 without the promise", responds(worker_response("429 Too Many Requests", id + seal)), unknown,
         unknown},
        {"408 without the promise", responds(worker_response("408 Request Timeout", id + seal)), unknown,
         unknown},
        {"promise without an id", responds(worker_response("503 Service Unavailable", promise)), not_run,
         unknown},
        {"421 without an id", responds(worker_response("421 Misdirected Request", "")), misdirected, unknown},
        {"answer without an id", responds(worker_response("200 OK", seal)), unknown, unknown},
        {"answer with another id, then the own one",
         responds(worker_response("200 OK", other_id + seal, "wrong") + worker_response("200 OK", id + seal)),
         unknown, answered},
        {"promise with another id, then the own answer",
         responds(worker_response("503 Service Unavailable", other_id + promise, "wrong") +
                  worker_response("200 OK", id + seal)),
         unknown, answered},
        {"promise with another id, then silence and a close",
         {ReadAmount::all, Reaction::respond_and_close,
          worker_response("503 Service Unavailable", other_id + promise, "wrong")},
         unknown,
         unknown},
        {"2xx without a seal", responds(worker_response("200 OK", id)), unknown, unknown},
        {"bytes that are no answer", responds("garbage garbage\r\n\r\n"), unknown, unknown},
        {"cut short and closed",
         {ReadAmount::all, Reaction::respond_and_close, sealed_head + "Content-Length: 100\r\n\r\ndata: x"},
         unknown,
         unknown},
        {"no length, ended in order",
         {ReadAmount::all, Reaction::respond_and_close, sealed_head + "\r\ndata: x\n\n"},
         answered,
         answered},
        {"no length, ended in order before the body was read",
         {ReadAmount::head, Reaction::respond_and_close, sealed_head + "\r\ndata: x\n\n"},
         answered,
         answered},
        {"HTTP/1.0, to its close",
         {ReadAmount::all, Reaction::respond_and_close,
          "HTTP/1.0 200 OK\r\n" + id + seal + "\r\ndata: x\n\n"},
         answered,
         answered},
        {"closed after all", {ReadAmount::all, Reaction::close, ""}, unknown, unknown},
        {"reset after all", {ReadAmount::all, Reaction::reset, ""}, unknown, unknown},
        {"closed after the head", {ReadAmount::head, Reaction::close, ""}, unknown, unknown},
        {"reset after the head", {ReadAmount::head, Reaction::reset, ""}, unknown, unknown},
        {"closed after part of the body", {ReadAmount::part_of_body, Reaction::close, ""}, unknown, unknown},
        {"reset after part of the body", {ReadAmount::part_of_body, Reaction::reset, ""}, unknown, unknown},
        {"answered after the head, body unread",
         {ReadAmount::head, Reaction::respond, worker_response("200 OK", id + seal)},
         answered,
         answered},
        {"refused after the head, body unread",
         {ReadAmount::head, Reaction::respond, worker_response("503 Service Unavailable", id + promise)},
         not_run,
         not_run},
    };
}

bool may_ask_again(const RouteKind& route, Execution execution) {
    if (execution == Execution::misdirected) return true;
    return route.attempts > 1 &&
           (execution == Execution::not_run || (execution == Execution::unknown && route.repeatable()));
}

void check(const RouteKind& route, const Outcome& outcome, bool kept, std::size_t body) {
    const std::string where =
        fmt::format("{}, {}, {} connection, {} bytes", route.name, outcome.name, kept ? "kept" : "new", body);
    ProxyFixture proxy(route.route_class, route.resumable, route.attempts);
    if (kept) cr_assert_eq(status_of(proxy.serve("0a")), 200, "%s", where.c_str());
    proxy.first.expect(outcome.step);
    const std::string got = proxy.serve("0b", body);
    const Execution execution = kept ? outcome.on_kept : outcome.on_new;
    const int status = status_of(got);
    const bool asked_again = !proxy.second.requests.empty();
    cr_assert_eq(asked_again, execution != Execution::answered && may_ask_again(route, execution),
                 "%s: asked again: %d", where.c_str(), asked_again);
    cr_assert(!contains(got, "wrong"), "%s: bytes of another request", where.c_str());
    if (execution == Execution::answered) {
        cr_assert(status == 200 || status == 500, "%s: %d", where.c_str(), status);
        cr_assert(contains(got, "0b"), "%s", where.c_str());
    } else if (asked_again) {
        cr_assert_eq(status, 200, "%s: %d", where.c_str(), status);
        cr_assert(contains(proxy.second.requests[0], "Attempt-Id: 0b\r\n"), "%s", where.c_str());
    } else if (execution == Execution::unknown) {
        // 408, 421, 429 and 503 would promise that nothing has run.
        cr_assert(status == 502 || status == 504, "%s: %d", where.c_str(), status);
    } else {
        cr_assert_eq(status, 503, "%s: %d", where.c_str(), status);
        cr_assert(contains(got, "Retry-After:"), "%s", where.c_str());
    }
    // What comes next on the client's connection and on kept ones is its own.
    const std::string next = proxy.serve("0c");
    cr_assert_eq(status_of(next), 200, "%s: next %d", where.c_str(), status_of(next));
    cr_assert(contains(next, "0c") && !contains(next, "0b"), "%s: next", where.c_str());
    // No worker finds the rest of another request's body where a request begins.
    for (const ScriptedWorker* worker : {&proxy.first, &proxy.second})
        for (const std::string& request : worker->requests)
            cr_assert(request.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"), "%s: %s", where.c_str(),
                      request.substr(0, 40).c_str());
}

// Nobody gets anything of these.
void check_broken(const std::vector<BrokenResponse>& responses, std::size_t body) {
    for (const RouteKind& route : route_kinds)
        for (const BrokenResponse& one : responses)
            for (const bool kept : {false, true})
                check(route, {one.name.c_str(), one.step, Execution::unknown, Execution::unknown}, kept,
                      body);
}

} // namespace

Test(proxied_request, every_outcome_on_a_new_connection) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, false, 10);
}

Test(proxied_request, every_outcome_on_a_kept_connection) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, true, 10);
}

Test(proxied_request, every_outcome_of_a_long_body) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, false, long_body_bytes);
}

Test(proxied_request, a_status_that_no_response_has_is_no_response) { check_broken(broken_statuses(), 10); }

Test(proxied_request, a_coded_body_is_not_the_workers) { check_broken(coded_bodies(), 10); }

Test(proxied_request, an_ambiguous_head_is_no_response) { check_broken(ambiguous_heads(), 10); }

Test(proxied_request, a_malformed_head_is_no_response) { check_broken(malformed_heads(), 10); }

// The write of the request is under way, and the kernel reports the reset to whichever asks first.
Test(proxied_request, a_body_without_a_length_that_is_reset_is_not_complete) {
    for (const std::size_t body : {std::size_t{10}, long_body_bytes})
        check_broken(reset_bodies(), body);
}

Test(proxied_request, a_body_without_a_length_is_not_complete_before_its_request_was_taken) {
    check_broken(bodies_closed_under_upload(), long_body_bytes);
}

// A recipient that took them for fields of the head would see a second seal, or a coding that the body lacks.
Test(proxied_request, trailers_do_not_become_fields_of_the_head) {
    ProxyFixture proxy("safe", false, 2);
    proxy.first.expect({ReadAmount::all, Reaction::respond,
                        sealed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("body") +
                            "0\r\nServer-Seal: trailing\r\nContent-Encoding: gzip\r\nX-Last: 1\r\n\r\n"});
    const std::string got = proxy.serve("0b");
    cr_assert_eq(status_of(got), 200);
    cr_assert(contains(got, "Server-Seal: seal\r\n") && got.ends_with("\r\n\r\nbody"));
    for (const char* const trailer : {"trailing", "gzip", "X-Last"})
        cr_assert(!contains(got, trailer), "%s", trailer);
    cr_assert_eq(status_of(proxy.serve("0c")), 200);
    cr_assert_eq(proxy.first.connections, 1U, "its connection is kept");
}
