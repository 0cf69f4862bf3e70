// What a worker receives of a client's request.
#include "data/proxy_fixture.h"

#include "system/data/upstream_request.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace willowrill;
using namespace willowrill::data;

Test(proxied_request, the_request_goes_out_unchanged_with_what_is_left_of_its_time) {
    ProxyFixture proxy("non_idempotent", false, 1);
    proxy.serve("0b");
    const std::string& sent = proxy.first.requests.at(0);
    cr_assert(sent.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"));
    for (const char* const part : {"Host: h.example\r\n", "Attempt-Id: 0b\r\n", "Model: m\r\n",
                                   "Target-Instance: w1\r\n", "Content-Length: 10\r\n", "bbbbbbbbbb"})
        cr_assert(contains(sent, part), "%s", part);
    const std::size_t at = sent.find("Time-Remaining: ");
    const int left = std::stoi(sent.substr(at + 16));
    cr_assert(left > 0 && left <= 5000, "%d", left);
    cr_assert(sent.find("Time-Remaining", at + 1) == std::string::npos, "once");
}

namespace {

ClientRequest client_request(const char* own_priority) {
    ClientRequest request(http::verb::post, "/a/x", 11);
    request.set("Attempt-Id", "0b");
    if (own_priority != nullptr) request.set("Priority", own_priority);
    request.body() = "work";
    return request;
}

std::size_t count_lines(const std::string& text, const std::string& begin) {
    std::size_t out = 0;
    for (std::size_t at = text.find("\r\n" + begin); at != std::string::npos;
         at = text.find("\r\n" + begin, at + 1))
        ++out;
    return out;
}

} // namespace

// Workers admit the more urgent first; which that is, the route says and not the client.
Test(upstream_request, the_rank_is_the_routes_and_stands_once) {
    UpstreamHeaders headers;
    headers.instance_id = "w1";
    headers.remaining_time = std::chrono::milliseconds(500);
    headers.priority = 3;
    for (const char* own : {static_cast<const char*>(nullptr), "0"}) {
        const std::string sent = upstream_request(client_request(own), headers);
        cr_assert(contains(sent, "\r\nPriority: 3\r\n"));
        cr_assert_eq(count_lines(sent, "Priority:"), 1U);
    }
}

Test(upstream_request, without_a_rank_of_the_routes_none_goes_out) {
    UpstreamHeaders headers;
    headers.instance_id = "w1";
    headers.remaining_time = std::chrono::milliseconds(500);
    cr_assert_eq(count_lines(upstream_request(client_request("0"), headers), "Priority:"), 0U);
}
