// Where a request that is under way may still go once a zone is evacuated, at every moment at which it can
// be.
#include "data/proxy_fixture.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;
using namespace willowrill::data;

namespace {

// Two workers in zones of their own, and a route whose requests may go to both of them.
struct TwoZones : ProxyFixture {
    explicit TwoZones(const std::string& route_class = "streaming", bool resumable = true)
        : ProxyFixture(route_class, resumable, 2), its_class(route_class), is_resumable(resumable) {
        context->workers["w1"].instance.zone = "first-zone";
        context->workers["w2"].instance.zone = "second-zone";
    }
    void evacuate(const std::set<std::string>& zones) { activate(its_class, is_resumable, 2, 10000, zones); }
    // After the next choice of a worker whose connection has yet to come up.
    void evacuate_while_connecting(const std::set<std::string>& zones) {
        asio::post(loop, [this, zones] { asio::post(loop, [this, zones] { evacuate(zones); }); });
    }

    std::string its_class;
    bool is_resumable;
};

} // namespace

// Guards against rule EVAC: a stream taken up at another worker by the evacuations of the time when it began.
Test(evacuation, a_stream_is_not_resumed_in_a_zone_that_was_evacuated_since_it_began) {
    TwoZones proxy;
    proxy.evacuate({"second-zone"});
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, stream_head + chunk(event(1))});
    const std::string got = proxy.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert_not(got.ends_with("0\r\n\r\n"));
    cr_assert(proxy.second.requests.empty());
}

// Guards against rule EVAC: a request rejected by its first worker, or lost there.
Test(evacuation, a_request_is_not_sent_again_into_a_zone_that_was_evacuated_since_it_began) {
    const std::string rejection = worker_response("503 Service Unavailable", id + promise);
    for (const Step& step :
         {Step{ReadAmount::all, Reaction::respond, rejection}, Step{ReadAmount::all, Reaction::close, ""}}) {
        TwoZones proxy("safe", false);
        proxy.evacuate({"second-zone"});
        proxy.first.expect(step);
        cr_assert_eq(status_of(proxy.serve("0b")) / 100, 5);
        cr_assert(proxy.second.requests.empty());
    }
}

// Guards against rule EVAC: a first attempt that had to wait for a worker.
Test(evacuation, a_request_that_waits_for_a_worker_does_not_go_to_one_in_a_zone_evacuated_meanwhile) {
    TwoZones proxy("non_idempotent", false);
    const routing::Worker later = proxy.context->workers.at("w2");
    proxy.context->workers.clear();
    proxy.evacuate_while_connecting({"second-zone"});
    asio::steady_timer listed(proxy.loop, std::chrono::milliseconds(1));
    listed.async_wait([&](ErrorCode) { proxy.context->workers["w2"] = later; });
    cr_assert_eq(status_of(proxy.serve("0b")), 503);
    cr_assert(proxy.second.requests.empty());
}

// Guards against rule EVAC: between the choice of a worker and the request that is sent there.
Test(evacuation, a_request_whose_worker_is_evacuated_while_its_connection_comes_up_goes_elsewhere) {
    for (const RouteKind& route : route_kinds) {
        TwoZones proxy(route.route_class, route.resumable);
        proxy.evacuate_while_connecting({"first-zone"});
        cr_assert_eq(status_of(proxy.serve("0b")), 200, "%s", route.name);
        cr_assert(proxy.first.requests.empty(), "%s", route.name);
        cr_assert_eq(proxy.second.requests.size(), 1U, "%s", route.name);
    }
}

// Nothing was sent, so the client is told when to come back, whatever the class of its route.
Test(evacuation, a_request_that_has_no_worker_left_before_it_was_sent_is_refused_as_not_run) {
    TwoZones proxy("non_idempotent", false);
    proxy.evacuate_while_connecting({"first-zone", "second-zone"});
    const std::string got = proxy.serve("0b");
    cr_assert_eq(status_of(got), 503);
    cr_assert(contains(got, "Retry-After: "));
    cr_assert(proxy.first.requests.empty() && proxy.second.requests.empty());
}

// A zone that is taken back serves requests that began while it was evacuated.
Test(evacuation, a_stream_is_resumed_in_a_zone_that_was_taken_back_since_it_began) {
    TwoZones proxy;
    proxy.evacuate({"second-zone"});
    proxy.begun_on = proxy.context->active_configuration;
    proxy.evacuate({});
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, stream_head + chunk(event(1))});
    proxy.second.expect({ReadAmount::all, Reaction::respond, stream_head + chunk(event(2)) + "0\r\n\r\n"});
    const std::string got = proxy.serve("0b");
    cr_assert(contains(got, "data: e2"));
    cr_assert_eq(proxy.second.requests.size(), 1U);
}
