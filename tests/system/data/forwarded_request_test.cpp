// What a worker receives of a client's request.
#include "data/proxy_fixture.h"

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
