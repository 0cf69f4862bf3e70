// Whether a request goes to a second worker after one that took nothing, was silent or broke off.
#include "data/proxy_fixture.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace willowrill;
using namespace willowrill::data;

// Nothing could be sent, as nobody is there: it has not run, whatever its class.
Test(proxied_request, a_worker_that_cannot_be_reached_has_run_nothing) {
    for (const RouteKind& route : route_kinds) {
        ProxyFixture proxy(route.route_class, route.resumable, route.attempts);
        proxy.context->workers["w1"].instance.address = "127.0.0.1:1";
        cr_assert_eq(status_of(proxy.serve("0b")), 200, "%s", route.name);
        cr_assert_eq(proxy.second.requests.size(), 1U, "%s", route.name);
    }
}

Test(proxied_request, silence_until_the_deadline_is_no_promise) {
    ProxyFixture proxy("non_idempotent", false, 2, 150);
    proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
    cr_assert_eq(status_of(proxy.serve("0b")), 504);
    cr_assert(proxy.second.requests.empty());
}

Test(proxied_request, an_answer_without_a_length_that_is_reset_is_not_whole) {
    ProxyFixture proxy("non_idempotent", false, 2);
    proxy.first.expect(
        {ReadAmount::all, Reaction::respond_and_reset, "HTTP/1.1 200 OK\r\n" + id + seal + "\r\npart"});
    asio::steady_timer later(proxy.loop, std::chrono::milliseconds(50));
    later.async_wait([&](ErrorCode) { proxy.first.reset_pending(); });
    cr_assert_eq(status_of(proxy.serve("0b")), 502);
    cr_assert(proxy.second.requests.empty());
}

// Guards against rule TWICE: the class of a route is tightened while a request is under way.
Test(proxied_request, a_request_is_not_repeated_once_its_route_is_non_idempotent) {
    ProxyFixture proxy("safe", false, 2);
    proxy.activate("non_idempotent", false, 2);
    proxy.first.expect({ReadAmount::all, Reaction::close, ""});
    cr_assert_eq(status_of(proxy.serve("0b")), 502);
    cr_assert(proxy.second.requests.empty());
}

// Its worker is silent for longer than a repeatable request would wait for it.
Test(proxied_request, a_request_whose_route_is_non_idempotent_by_now_waits_for_its_worker) {
    ProxyFixture proxy("safe", false, 2, 1200);
    proxy.activate("non_idempotent", false, 2, 1200);
    proxy.first.expect({ReadAmount::all, Reaction::stay_silent, ""});
    const routing::Time began = steady_now();
    cr_assert_eq(status_of(proxy.serve("0b")), 504);
    cr_assert_geq((steady_now() - began).count(), 1100);
    cr_assert(proxy.second.requests.empty());
}

// What tells a choice by an older state from a scheduler that has not heard of the newer one.
Test(proxied_request, a_send_after_a_change_of_the_configuration_is_counted) {
    ProxyFixture proxy("safe", false, 2);
    const std::string counter = "willowrill_sends_after_change_total{chosen_by=";
    cr_assert_eq(status_of(proxy.serve("0a")), 200);
    cr_assert_not(contains(proxy.context->metrics.text(), counter));
    proxy.activate("safe", false, 2);
    cr_assert_eq(status_of(proxy.serve("0b")), 200);
    cr_assert(contains(proxy.context->metrics.text(), counter));
}

// Guards against rule FAILBACK: the bound of cold workers as it was when the request began.
Test(proxied_request, a_later_attempt_keeps_to_the_rate_that_cold_workers_have_by_now) {
    ProxyFixture proxy("safe", false, 2);
    proxy.context->cold = budget::ColdBudget({1, 0});
    const std::string cold = R"("maxConnections":100,"coldStartS":3,"coldRateS":2)";
    proxy.activate_text(configuration_text("safe", false, 2, 10000, "", cold));
    routing::Worker& second = proxy.context->workers["w2"];
    second.extend_warming(steady_now() + std::chrono::seconds(60));
    proxy.context->cold.record_send(steady_now(), "w2"); // all of its share of this second
    proxy.first.expect({ReadAmount::all, Reaction::close, ""});
    cr_assert_eq(status_of(proxy.serve("0b")), 502);
    cr_assert(proxy.second.requests.empty());
}

// Guards against rule TWICE: the class of a route is tightened between an attempt that may have run and one
// that was refused.
Test(proxied_request, a_request_that_may_have_run_is_not_repeated_after_a_refusal_either) {
    constexpr std::chrono::milliseconds until_refusal{100}, until_change{50};
    ProxyFixture proxy("safe", false, 3);
    ScriptedWorker third(proxy.loop);
    routing::Worker& last = proxy.context->workers["w3"] = proxy.context->workers["w2"];
    last.instance.id = "w3";
    last.instance.address = third.address();
    proxy.first.expect({ReadAmount::all, Reaction::close, ""});
    const std::string refusal = worker_response("503 Service Unavailable", id + promise);
    proxy.second.expect({ReadAmount::all, Reaction::respond, "", "", {{until_refusal, refusal}}});
    third.expect({ReadAmount::all, Reaction::respond, "", "", {{until_refusal, refusal}}});
    SteadyTimer change(proxy.loop, until_change);
    change.async_wait([&](ErrorCode) { proxy.activate("non_idempotent", false, 3); });
    cr_assert_eq(status_of(proxy.serve("0b")), 502);
    cr_assert_eq(proxy.second.requests.size() + third.requests.size(), 1U);
}
