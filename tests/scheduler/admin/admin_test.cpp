// The admin server on loopback: its requests and the text format of the metrics.
#include "scheduler/admin/server.h"
#include "scheduler/net/http.h"
#include "support/sockets.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace willowrill::testing {
namespace {

struct FakeService final : admin::Service {
    bool is_ready() const override { return ready; }
    admin::Metrics metrics() const override { return {.classes = {{"a\"b", 3, 2, 1}}, .in_flight = 7}; }
    void set_lame_duck(bool on) override { lame_duck_states.push_back(on); }

    std::string send_request(const std::string& request_line) {
        const auto peer = connect_peer(loop, server.address());
        peer->connection.write(request_line + " HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(run_until(loop, [&] { return peer->closed; })); // one request per connection
        CHECK(peer->has_received("Connection: close\r\n"));
        return peer->received.substr(9, 3) + peer->received.substr(peer->received.find("\r\n\r\n") + 4);
    }

    net::Loop loop;
    bool ready = false;
    std::vector<bool> lame_duck_states;
    admin::Server server{loop, *net::Endpoint::parse("127.0.0.1:0"), *this};
};

} // namespace

TEST_CASE("admin server: answers its requests and rejects all others") {
    FakeService service;
    CHECK(service.send_request("GET /_ready").starts_with("503"));
    service.ready = true;
    CHECK(service.send_request("GET /_ready").starts_with("200"));
    const std::string metrics = service.send_request("GET /_vars");
    for (const char* line :
         {"scheduler_requests{class=\"a\\\"b\",outcome=\"served\"} 3\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"refused\"} 2\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"failed\"} 1\n", "\nscheduler_attempts 0\n",
          "\nscheduler_in_flight 7\n", "\nscheduler_intake_workers_known 0\n",
          "# TYPE scheduler_requests counter\n", "\nscheduler_intake_workers_excluded 0\n"})
        CHECK_MESSAGE(metrics.find(line) != std::string::npos, line);
    CHECK(service.send_request("POST /_lameduck/on").starts_with("200"));
    CHECK(service.send_request("POST /_lameduck/off").starts_with("200"));
    CHECK(service.lame_duck_states == std::vector{true, false});
    CHECK(service.send_request("GET /_lameduck/on").starts_with("405"));
    CHECK(service.send_request("POST /_vars").starts_with("405"));
    CHECK(service.send_request("POST /api").starts_with("404")); // jobs are not accepted here
    CHECK(service.send_request("GET /ready").starts_with("404"));
    CHECK(service.send_request("nonsense").starts_with("400"));
    CHECK(service.lame_duck_states.size() == 2);
}

// Guards against bytes behind the head of an answer to HEAD.
TEST_CASE("admin server: a HEAD is answered with a head alone") {
    FakeService service;
    for (const char* const path : {"/_ready", "/_vars", "/odd"}) {
        const std::string status_and_body = service.send_request(std::string("HEAD ") + path);
        CHECK_MESSAGE(status_and_body.size() == 3, status_and_body);
    }
}

TEST_CASE("admin server: silent callers do not lock out others and are closed") {
    FakeService service;
    service.ready = true;
    std::vector<std::unique_ptr<Peer>> silent;
    for (std::size_t i = 0; i < admin::Server::max_connections + 2; ++i) {
        silent.push_back(connect_peer(service.loop, service.server.address()));
        silent.back()->connection.write("GET /_re");
    }
    CHECK(service.send_request("GET /_ready").starts_with("200"));
    CHECK(service.server.counters().evicted >= 2);
    CHECK(run_until(service.loop, [&] {
        return std::ranges::all_of(silent, [](const auto& peer) { return peer->closed; });
    }));
    CHECK(service.server.counters().timed_out > 0);
}

} // namespace willowrill::testing
