// Every status that a worker may give reaches the client as it came, whether or not the HTTP library knows
// it, by each way that a response takes. None of these tests names the statuses it tries.
#include "data/proxy_fixture.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace willowrill;
using namespace willowrill::data;

namespace {

constexpr int min_status = 200;
constexpr int max_status = 599;
const std::string body = "data: x\n\n";

// Clients take these for a promise that nothing has run, so that a worker must promise it, too.
bool promises_to_clients(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool has_body(int status) { return status != 204 && status != 304; }

std::vector<int> statuses(int first, int last) {
    std::vector<int> out;
    for (int status = first; status <= last; ++status)
        if (!promises_to_clients(status)) out.push_back(status);
    return out;
}

enum class Framing { length, chunks, end_of_connection };

Step response_with(int status, const std::string& reason, Framing framing) {
    const std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, reason) + id + seal;
    const std::string sent_body = has_body(status) ? body : "";
    const std::string in_chunks = has_body(status) ? chunk(body) + "0\r\n\r\n" : "";
    switch (framing) {
    case Framing::length:
        return {ReadAmount::all, Reaction::respond,
                head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + sent_body};
    case Framing::chunks:
        return {ReadAmount::all, Reaction::respond, head + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks};
    case Framing::end_of_connection:
        break;
    }
    return {ReadAmount::all, Reaction::respond_and_close, head + "\r\n" + sent_body};
}

void expect_as_given(const std::string& got, int status, const std::string& reason, const char* what) {
    const std::string line = fmt::format("HTTP/1.1 {} {}", status, reason);
    cr_assert(got.starts_with(line), "%d, %s: %s", status, what, got.c_str());
    cr_assert_not(contains(got, "unknown"), "%d, %s: a reason of the library's own", status, what);
    cr_assert(contains(got, seal), "%d, %s", status, what);
    cr_assert_eq(contains(got, body), has_body(status), "%d, %s: %s", status, what, got.c_str());
}

// One worker, which answers whatever it has been asked before.
struct OneWorker : ProxyFixture {
    explicit OneWorker(const RouteKind& route) : ProxyFixture(route.route_class, route.resumable, 1) {
        context->workers.erase("w2");
    }

    std::string serve_with(const Step& step) {
        const std::size_t requests_before = first.requests.size();
        first.expect(step);
        std::string got = serve("0b");
        cr_assert_eq(first.requests.size(), requests_before + 1, "the worker was not asked");
        return got;
    }
};

const RouteKind non_idempotent{"non-idempotent", "non_idempotent", false, 1};

} // namespace

// Guards against rule MIXED: a status that is in no table reached the client as 000, with the worker's seal.
Test(worker_statuses, each_reaches_the_client_as_it_was_given) {
    for (const RouteKind& route : route_kinds) {
        for (const Framing framing : {Framing::length, Framing::chunks, Framing::end_of_connection}) {
            OneWorker proxy(route);
            for (const int status : statuses(min_status, max_status)) {
                const std::string reason = status % 2 == 0 ? "Some Reason" : "";
                const std::string got = proxy.serve_with(response_with(status, reason, framing));
                expect_as_given(got, status, reason, route.name);
                cr_assert(proxy.reusable, "%d", status);
            }
        }
    }
}

// Guards against rule MIXED: a success that is in no table reached the client without a seal.
Test(worker_statuses, a_success_without_a_seal_is_no_response_whatever_its_status) {
    OneWorker proxy(non_idempotent);
    for (const int status : statuses(min_status, 299)) {
        const std::string unsealed = worker_response(fmt::format("{} S", status), id, "");
        const std::string got = proxy.serve_with({ReadAmount::all, Reaction::respond, unsealed});
        cr_assert_eq(status_of(got), 502, "%d: %s", status, got.c_str());
    }
}

// Guards against counters that take a success for a failure.
Test(worker_statuses, each_counts_as_what_its_class_says) {
    OneWorker proxy(non_idempotent);
    const Counters& counters = proxy.context->counters;
    for (const int status : statuses(min_status, max_status)) {
        const std::uint64_t served = counters.served, failed = counters.failed;
        proxy.serve_with(response_with(status, "", Framing::length));
        const bool is_success = status < 300;
        cr_assert_eq(counters.served, served + (is_success ? 1 : 0), "%d", status);
        cr_assert_eq(counters.failed, failed + (is_success ? 0 : 1), "%d", status);
    }
}

// Guards against a promise that is believed by its status alone, or not for its status.
Test(worker_statuses, a_promise_holds_whatever_its_status) {
    OneWorker proxy(non_idempotent);
    const std::string fields = id + seal + promise;
    for (const int status : statuses(min_status, max_status)) {
        const std::string promised = worker_response(fmt::format("{} R", status), fields, "");
        const std::string got = proxy.serve_with({ReadAmount::all, Reaction::respond, promised});
        cr_assert_eq(status_of(got), 503, "%d: %s", status, got.c_str());
        cr_assert(contains(got, "Retry-After: "));
        cr_assert_not(contains(got, seal));
    }
}
