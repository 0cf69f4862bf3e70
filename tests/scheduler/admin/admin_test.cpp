// The operators' address: its calls on loopback, and how the figures are written.
#include "scheduler/admin/server.h"
#include "scheduler/net/http.h"
#include "support/sockets.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace willowrill::testing {
namespace {

struct Program final : admin::Service {
    bool can_serve() const override { return ready; }
    admin::Figures figures() const override { return {.classes = {{"a\"b", 3, 2, 1}}, .in_flight = 7}; }
    void lame_duck(bool on) override { switched.push_back(on); }

    std::string ask(const std::string& start) {
        const auto peer = call(loop, server.address());
        peer->connection.write(start + " HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(settle(loop, [&] { return peer->closed; })); // one call a connection
        CHECK(peer->has("Connection: close\r\n"));
        return peer->got.substr(9, 3) + peer->got.substr(peer->got.find("\r\n\r\n") + 4);
    }

    net::Loop loop;
    bool ready = false;
    std::vector<bool> switched;
    admin::Server server{loop, *net::Endpoint::parse("127.0.0.1:0"), *this};
};

} // namespace

TEST_CASE("admin server: the calls, and no for everything else") {
    Program program;
    CHECK(program.ask("GET /_ready").starts_with("503"));
    program.ready = true;
    CHECK(program.ask("GET /_ready").starts_with("200"));
    const std::string figures = program.ask("GET /_vars");
    for (const char* line :
         {"scheduler_requests{class=\"a\\\"b\",outcome=\"served\"} 3\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"refused\"} 2\n",
          "scheduler_requests{class=\"a\\\"b\",outcome=\"failed\"} 1\n", "\nscheduler_attempts 0\n",
          "\nscheduler_in_flight 7\n", "\nscheduler_intake_workers_known 0\n",
          "# TYPE scheduler_requests counter\n", "\nscheduler_intake_workers_excluded 0\n"})
        CHECK_MESSAGE(figures.find(line) != std::string::npos, line);
    CHECK(program.ask("POST /_lameduck/on").starts_with("200"));
    CHECK(program.ask("POST /_lameduck/off").starts_with("200"));
    CHECK(program.switched == std::vector{true, false});
    CHECK(program.ask("GET /_lameduck/on").starts_with("405"));
    CHECK(program.ask("POST /_vars").starts_with("405"));
    CHECK(program.ask("POST /api").starts_with("404")); // no jobs here
    CHECK(program.ask("GET /ready").starts_with("404"));
    CHECK(program.ask("nonsense").starts_with("400"));
    CHECK(program.switched.size() == 2);
}

TEST_CASE("admin server: silent callers keep nobody out and are closed") {
    Program program;
    program.ready = true;
    std::vector<std::unique_ptr<Peer>> silent;
    for (std::size_t i = 0; i < admin::Server::most_callers + 2; ++i) {
        silent.push_back(call(program.loop, program.server.address()));
        silent.back()->connection.write("GET /_re");
    }
    CHECK(program.ask("GET /_ready").starts_with("200"));
    CHECK(program.server.counters().evicted >= 2);
    CHECK(settle(program.loop,
                 [&] { return std::ranges::all_of(silent, [](const auto& peer) { return peer->closed; }); }));
    CHECK(program.server.counters().silent > 0);
}

} // namespace willowrill::testing
