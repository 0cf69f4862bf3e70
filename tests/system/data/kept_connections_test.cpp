// Which connections to workers are kept for later requests.
#include "data/proxy_fixture.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace willowrill;
using namespace willowrill::data;

Test(proxied_request, a_second_answer_in_the_same_segment_goes_to_nobody) {
    ProxyFixture proxy("safe", false, 1);
    proxy.first.expect(
        {ReadAmount::all, Reaction::respond,
         worker_response("200 OK", id + seal, "mine") + worker_response("200 OK", id + seal, "again")});
    cr_assert(contains(proxy.serve("0b"), "mine"));
    const std::string next = proxy.serve("0c");
    cr_assert(!contains(next, "again"));
    cr_assert_eq(status_of(next), 200);
    cr_assert_eq(proxy.first.connections, 2U, "such a connection is not kept");
}

Test(proxied_request, responses_that_say_nothing_of_the_attempt_are_counted) {
    ProxyFixture proxy("safe", false, 1);
    proxy.serve("0b");
    proxy.first.expect({ReadAmount::all, Reaction::respond,
                        worker_response("503 Service Unavailable", other_id + promise) +
                            worker_response("200 OK", id + seal, "mine")});
    cr_assert(contains(proxy.serve("0c"), "mine"));
    proxy.first.expect(
        {ReadAmount::all, Reaction::respond, worker_response("503 Service Unavailable", promise)});
    cr_assert_eq(status_of(proxy.serve("0d")), 502);
    const std::string metrics = proxy.context->metrics.text();
    for (const char* const reason : {"earlier_request", "unusable"}) {
        const std::string line =
            fmt::format("willowrill_discarded_responses_total{{reason=\"{}\"}} 1", reason);
        cr_assert(contains(metrics, line), "%s", line.c_str());
    }
}

// Guards against rule TWICE: a worker's second "misdirected" was taken for its response to the same request,
// sent again to another instance at that address over the same connection, while that instance ran it.
Test(proxied_request, a_request_is_not_sent_twice_over_one_connection) {
    ProxyFixture proxy("non_idempotent", false, 3);
    proxy.context->workers.at("w2").instance.address = proxy.first.address();
    const std::string misdirected = worker_response("421 Misdirected Request", id + promise);
    proxy.first.expect({ReadAmount::all, Reaction::respond, misdirected});
    const std::string answer = worker_response("200 OK", id + seal, "mine");
    proxy.first.expect({ReadAmount::all, Reaction::respond, answer, misdirected});
    cr_assert(contains(proxy.serve("0b"), "mine"));
    cr_assert_eq(proxy.first.requests.size(), 2U, "rejected once, run once");
}

// Guards against rule TWICE: a surplus promise without an id, on a connection that had carried another
// request, was taken for the response to the next one, which then went to a second worker as well.
Test(proxied_request, a_promise_without_an_id_on_a_kept_connection_moves_no_request) {
    ProxyFixture proxy("non_idempotent", false, 3);
    proxy.serve("0b");
    const std::string stray = worker_response("503 Service Unavailable", promise);
    proxy.first.expect({ReadAmount::all, Reaction::respond, stray + worker_response("200 OK", id + seal)});
    cr_assert_eq(status_of(proxy.serve("0c")), 502, "it may have run");
    cr_assert(proxy.second.requests.empty());
}
