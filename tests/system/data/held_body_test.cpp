// Responses of workers that are held until they are complete, and those that there is no memory to hold.
#include "system/data/held_body.h"

#include "data/proxy_fixture.h"
#include "support/expect.h"
#include "support/flood.h"

#include <criterion/criterion.h>

#include <cstring>
#include <string>

using namespace willowrill;
using namespace willowrill::data;

namespace {

constexpr std::size_t long_body = 200'000; // more than a block

std::string long_response() { return worker_response("200 OK", id + seal, std::string(long_body, 'd')); }

// The body of a response in chunks; ends with "..." where the last chunk is missing.
std::string unchunked(const std::string& response) {
    std::string out;
    std::size_t at = response.find("\r\n\r\n") + 4;
    while (at < response.size()) {
        const std::size_t size = std::stoul(response.substr(at), nullptr, 16);
        if (size == 0) return out;
        at = response.find("\r\n", at) + 2;
        out += response.substr(at, size);
        at += size + 2;
    }
    return out + "...";
}

void leave_no_memory(ProxyFixture& proxy) {
    proxy.context->input_memory.responses = std::make_shared<budget::ByteBudget>(0);
}

} // namespace

Test(held_body, takes_no_more_memory_than_it_counts) {
    const auto memory = std::make_shared<budget::ByteBudget>(3 * HeldBody::block_bytes);
    HeldBody body(memory);
    std::size_t blocks = 0;
    while (true) {
        const asio::mutable_buffer room = body.prepare();
        if (room.size() == 0) break;
        cr_assert_eq(room.size(), HeldBody::block_bytes);
        std::memset(room.data(), 'd', room.size());
        body.commit(room.size());
        cr_assert_eq(memory->reserved(), blocks * HeldBody::block_bytes);
        ++blocks;
    }
    cr_assert_eq(blocks, 4U); // the first one is not counted
    cr_assert_eq(asio::buffer_size(body.data()), 4 * HeldBody::block_bytes);
    body.clear();
    cr_assert_eq(memory->reserved(), 0U);
    cr_assert_eq(body.size(), 0U);
}

Test(held_body, fills_a_block_before_it_takes_another) {
    HeldBody body(std::make_shared<budget::ByteBudget>(0));
    for (std::size_t i = 0; i < HeldBody::block_bytes; ++i) {
        const asio::mutable_buffer room = body.prepare();
        cr_assert_eq(room.size(), HeldBody::block_bytes - i);
        body.commit(1);
    }
    cr_assert_eq(body.prepare().size(), 0U);
    cr_assert_eq(body.data().size(), 1U);
}

Test(held_body, a_long_response_with_memory_to_hold_it_keeps_its_length) {
    ProxyFixture proxy("non_idempotent", false, 1);
    proxy.first.expect({ReadAmount::all, Reaction::respond, long_response()});
    const std::string response = proxy.serve("0b");
    cr_assert(contains(response, "Content-Length: 200000\r\n"));
    cr_assert(response.ends_with("\r\n\r\n" + std::string(long_body, 'd')));
    cr_assert(proxy.reusable);
    cr_assert_eq(proxy.context->input_memory.responses->reserved(), 0U);
}

// Guards against rule FAULT (all responses together over the process's memory) and rule MIXED.
Test(held_body, a_response_without_memory_to_hold_it_reaches_the_client_whole) {
    for (const char* const status : {"200 OK", "500 Internal Server Error", "299 Fine", "529 Busy", "520 "}) {
        ProxyFixture proxy("non_idempotent", false, 1);
        leave_no_memory(proxy);
        std::string text = long_response();
        text.replace(text.find("200 OK"), 6, status);
        proxy.first.expect({ReadAmount::all, Reaction::respond, text});
        const std::string response = proxy.serve("0b");
        cr_assert(response.starts_with("HTTP/1.1 " + std::string(status) + "\r\n"));
        cr_assert(contains(response, seal));
        cr_assert_not(contains(response, "Content-Length"));
        cr_assert_eq(unchunked(response), std::string(long_body, 'd'));
        cr_assert(proxy.reusable);
        cr_assert_eq(proxy.first.requests.size(), 1U);
        const Counters& counters = proxy.context->counters;
        cr_assert_eq(counters.served, status_of(response) < 300 ? 1U : 0U);
        cr_assert_eq(counters.failed, status_of(response) < 300 ? 0U : 1U);
    }
}

Test(held_body, a_short_response_is_held_whatever_others_hold) {
    ProxyFixture proxy("safe", false, 2);
    leave_no_memory(proxy);
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close,
                        "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 100\r\n\r\ndata: x"});
    const std::string response = proxy.serve("0b");
    cr_assert_eq(status_of(response), 200);
    cr_assert(contains(response, "data: good"));
    cr_assert_eq(proxy.second.requests.size(), 1U); // broken off, and repeated
}

Test(held_body, a_response_that_breaks_off_while_it_is_passed_on_does_not_look_complete) {
    ProxyFixture proxy("safe", false, 2);
    leave_no_memory(proxy);
    const std::string text = long_response();
    proxy.first.expect({ReadAmount::all, Reaction::respond_and_close, text.substr(0, text.size() - 10)});
    const std::string response = proxy.serve("0b");
    cr_assert_eq(status_of(response), 200);
    cr_assert(unchunked(response).ends_with("..."));
    cr_assert_not(proxy.reusable);
    cr_assert(proxy.second.requests.empty());
    cr_assert_eq(proxy.context->counters.failed, 1U);
}

Test(held_body, events_pass_without_memory_and_one_without_end_is_given_up) {
    ProxyFixture proxy("streaming", false, 1);
    leave_no_memory(proxy);
    std::string events;
    for (int number = 1; number <= 1000; ++number)
        events += chunk(event(number) + ":" + std::string(100, 'c') + "\n\n");
    proxy.first.expect({ReadAmount::all, Reaction::respond, stream_head + events + "0\r\n\r\n"});
    const std::string complete = proxy.serve("0b");
    cr_assert(contains(complete, event(1000)));
    cr_assert(complete.ends_with("0\r\n\r\n"));
    proxy.first.expect({ReadAmount::all, Reaction::respond,
                        stream_head + chunk(event(1)) + chunk("data: " + std::string(40'000, 'd'))});
    const std::string given_up = proxy.serve("0c");
    cr_assert(contains(given_up, event(1)));
    cr_assert_not(given_up.ends_with("0\r\n\r\n"));
    cr_assert_not(proxy.reusable);
    cr_assert_eq(proxy.context->input_memory.responses->reserved(), 0U);
}
