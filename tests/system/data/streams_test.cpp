// Streams of events that are relayed, resumed or cut short.
#include "data/proxy_fixture.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <string>

using namespace willowrill;
using namespace willowrill::data;

Test(streams, one_that_breaks_off_in_an_event_goes_on_after_the_last_whole_one) {
    for (const Reaction reaction : {Reaction::respond_and_close, Reaction::respond_and_reset}) {
        ProxyFixture proxy("streaming", true, 2);
        proxy.first.expect({ReadAmount::all, reaction, stream_head + chunk(event(1)) + chunk("id: 2\nda")});
        proxy.second.expect(
            {ReadAmount::all, Reaction::respond, stream_head + chunk(event(2) + event(3)) + "0\r\n\r\n"});
        const std::string got = proxy.serve("0b");
        cr_assert(contains(proxy.second.requests.at(0), "Last-Event-Id: 1\r\n"));
        for (const char* const part : {"data: e1\n", "data: e2\n", "data: e3\n"})
            cr_assert(got.find(part) != std::string::npos && got.find(part) == got.rfind(part), "%s", part);
        cr_assert(got.ends_with("0\r\n\r\n"));
        cr_assert_eq(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"), "one head");
        cr_assert(proxy.reusable);
    }
}

Test(streams, one_that_may_not_be_resumed_ends_without_looking_complete) {
    ProxyFixture proxy("streaming", false, 2);
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, stream_head + chunk(event(1))});
    const std::string got = proxy.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert(!got.ends_with("0\r\n\r\n"));
    cr_assert_not(proxy.reusable, "the connection must end, so that nothing looks whole");
    cr_assert(proxy.second.requests.empty());
}

Test(streams, a_resumption_that_is_refused_is_asked_elsewhere_or_ends_cut_short) {
    for (const std::string& refusal :
         {worker_response("503 Service Unavailable", id + promise), worker_response("200 OK", seal),
          worker_response("500 Internal Server Error", id + seal)}) {
        ProxyFixture proxy("streaming", true, 2);
        proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, stream_head + chunk(event(1))});
        proxy.second.expect({ReadAmount::all, Reaction::respond, refusal});
        const std::string got = proxy.serve("0b");
        cr_assert(!got.ends_with("0\r\n\r\n"), "%s", refusal.c_str());
        cr_assert_not(proxy.reusable);
        cr_assert_eq(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"), "no second head");
    }
}

Test(streams, one_without_a_length_is_whole_where_its_connection_ends_in_order) {
    ProxyFixture proxy("streaming", false, 1);
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close,
                        sealed_head + "Content-Type: text/event-stream\r\n\r\n" + event(1)});
    const std::string got = proxy.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert(got.ends_with("0\r\n\r\n"));
}

// The write of the upload takes the error.
Test(streams, one_without_a_length_that_is_reset_under_its_upload_is_not_whole) {
    const std::string part = sealed_head + "\r\n" + event(1);
    for (const Reaction reaction : {Reaction::respond_and_reset_at_once, Reaction::respond_close_and_reset}) {
        for (const bool resumable : {false, true}) {
            ProxyFixture proxy("streaming", resumable, 2);
            proxy.first.expect({ReadAmount::head, reaction, part});
            proxy.second.expect(
                {ReadAmount::all, Reaction::respond, stream_head + chunk(event(2)) + "0\r\n\r\n"});
            const std::string got = proxy.serve("0b", long_body_bytes);
            cr_assert(contains(got, "data: e1"));
            cr_assert_eq(contains(got, "data: e2"), resumable);
            cr_assert_eq(got.ends_with("0\r\n\r\n"), resumable);
        }
    }
}

// Guards against rule HOME: a stream taken up again by the homes that its route had when it began.
Test(streams, one_is_not_resumed_outside_the_homes_that_its_route_has_by_now) {
    ProxyFixture proxy("streaming", true, 2);
    proxy.context->workers["w1"].instance.zone = "first-region"; // a zone that settings lack is a region
    proxy.context->workers["w2"].instance.zone = "second-region";
    proxy.activate_text(configuration_text("streaming", true, 2, 10000, R"("first-region")"));
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, stream_head + chunk(event(1))});
    const std::string got = proxy.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert_not(got.ends_with("0\r\n\r\n"));
    cr_assert(proxy.second.requests.empty());
}
