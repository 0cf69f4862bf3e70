// The operators' address: its calls on loopback, and how the figures are written.
#include "mgmt/desk.h"
#include "net/http.h"
#include "sockets.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace willowrill::testing {
namespace {

struct Office final : mgmt::Service {
    bool can_serve() const override { return ready; }
    mgmt::Figures figures() const override { return {.classes = {{"a\"b", 3, 2, 1}}, .in_flight = 7}; }
    void lame_duck(bool on) override { switched.push_back(on); }

    std::string ask(const std::string& start) {
        const auto peer = call(loop, desk.address());
        peer->connection.write(start + " HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(settle(loop, [&] { return peer->closed; })); // one call a connection
        CHECK(peer->has("Connection: close\r\n"));
        return peer->got.substr(9, 3) + peer->got.substr(peer->got.find("\r\n\r\n") + 4);
    }

    net::Loop loop;
    bool ready = false;
    std::vector<bool> switched;
    mgmt::Desk desk{loop, *net::Endpoint::parse("127.0.0.1:0"), *this};
};

} // namespace

TEST_CASE("mgmt: the calls, and no for everything else") {
    Office office;
    CHECK(office.ask("GET /_ready").starts_with("503"));
    office.ready = true;
    CHECK(office.ask("GET /_ready").starts_with("200"));
    const std::string figures = office.ask("GET /_vars");
    for (const char* line :
         {"scheduler_requests{class=\"a\\\"b\",outcome=\"served\"} 3\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"refused\"} 2\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"failed\"} 1\n", "\nscheduler_attempts 0\n",
          "\nscheduler_in_flight 7\n", "\nscheduler_intake_workers_known 0\n",
          "# TYPE scheduler_requests counter\n", "\nscheduler_intake_workers_excluded 0\n"})
        CHECK_MESSAGE(figures.find(line) != std::string::npos, line);
    CHECK(office.ask("POST /_lameduck/on").starts_with("200"));
    CHECK(office.ask("POST /_lameduck/off").starts_with("200"));
    CHECK(office.switched == std::vector{true, false});
    CHECK(office.ask("GET /_lameduck/on").starts_with("405"));
    CHECK(office.ask("POST /_vars").starts_with("405"));
    CHECK(office.ask("POST /api").starts_with("404")); // no jobs here
    CHECK(office.ask("GET /ready").starts_with("404"));
    CHECK(office.ask("nonsense").starts_with("400"));
    CHECK(office.switched.size() == 2);
}

TEST_CASE("mgmt: silent callers keep nobody out and are closed") {
    Office office;
    office.ready = true;
    std::vector<std::unique_ptr<Peer>> silent;
    for (std::size_t i = 0; i < mgmt::Desk::most_callers + 2; ++i) {
        silent.push_back(call(office.loop, office.desk.address()));
        silent.back()->connection.write("GET /_re");
    }
    CHECK(office.ask("GET /_ready").starts_with("200"));
    CHECK(office.desk.counters().evicted >= 2);
    CHECK(settle(office.loop,
                 [&] { return std::ranges::all_of(silent, [](const auto& peer) { return peer->closed; }); }));
    CHECK(office.desk.counters().silent > 0);
}

} // namespace willowrill::testing
