// The assembled components on loopback, with clients, a worker and discovery simulated by the tests.
#include "support/scheduler_fixture.h"

#include <doctest/doctest.h>

namespace willowrill::testing {

TEST_CASE("a connection that is never established proves that the job never ran") {
    const SaturatedListener deaf;
    SchedulerFixture rig;
    rig.host.handle_worker_list(*rig.list.apply_update(SchedulerFixture::list_text(42, deaf.address)));
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 503 "); }));
    const auto& outcomes = rig.host.counters().outcomes;
    CHECK(outcomes[static_cast<std::size_t>(willowrill::Outcome::connect_failed)] == 1);
    CHECK(rig.pool.size() == 0);
}

TEST_CASE("unreachable discovery counts as a failed call") {
    SchedulerFixture rig;
    const net::Endpoint unreachable = Listener(rig.loop).address;
    int broken = 0;
    discovery_client::DiscoveryWatcher watch(
        rig.loop, unreachable, discovery_client::compute_watch_timeouts(10s, 1s), 1, rig.list,
        [&](const auto& update) {
            CHECK(update.kind == willowrill::EndpointListUpdate::Kind::broken);
            ++broken;
        });
    watch.watch(true);
    CHECK(rig.run_until([&] { return broken > 0; }));
    CHECK(broken == 1);
    CHECK(watch.stall_count() == 0);
}

// Guards against waiting out a silent call before the next one: a hold as long as the list is valid plus 1.5
// s makes 11.5 s, but changes count as notified 6 s after the watch fell silent.
TEST_CASE(
    "a silent discovery is asked again while the first call is pending, and the first response counts") {
    SchedulerFixture rig;
    int drain_updates = 0, broken = 0;
    discovery_client::WatchTimeouts times = discovery_client::compute_watch_timeouts(10s, 1s);
    times.max_hold = 4ms;
    times.stall_timeout = 10ms;
    discovery_client::DiscoveryWatcher watch(
        rig.loop, rig.discovery.address, times, 1, rig.list, [&](const auto& update) {
            broken += update.kind == willowrill::EndpointListUpdate::Kind::broken ? 1 : 0;
            for (const auto& entry : update.entries)
                drain_updates += entry.condition == willowrill::Condition::draining ? 1 : 0;
        });
    watch.watch(true);
    watch.watch(true); // no second call while one is pending
    const auto requested = [&](std::size_t call, std::string_view text) {
        return rig.run_until([&] {
            return rig.discovery.peers.size() > call && rig.discovery.peers[call]->has_received(text);
        });
    };
    REQUIRE(requested(0, "?from=41&hold_ms="));   // gets no response, and stays open
    REQUIRE(requested(1, "?from=41&hold_ms=1 ")); // a short hold: the response is due at once
    CHECK_FALSE(rig.discovery.peers[0]->closed);
    CHECK(watch.stall_count() == 1);
    std::string list = rig.list_text(43);
    list.replace(list.find("\"up\""), 4, "\"draining\"");
    rig.discovery.peers[1]->received.clear();
    rig.discovery.peers[1]->connection.write(net::http::write_response(200, {}, list));
    CHECK(rig.run_until([&] { return drain_updates == 1; }));
    CHECK(requested(1, "?from=43&hold_ms=")); // the watch continues on the connection that answered
    CHECK(rig.run_until([&] { return rig.discovery.peers[0]->closed; }));
    CHECK(broken == 0);
}

TEST_CASE("the tolerated silence of discovery does not exceed the notification limit for any settings") {
    for (const auto list_valid : {0s, 1s, 2s, 10s, 60s}) {
        for (const auto drain_grace : {50ms, 300ms, 1000ms, 5000ms}) {
            const discovery_client::WatchTimeouts times =
                discovery_client::compute_watch_timeouts(list_valid, drain_grace);
            CHECK(times.max_hold > 0ns);
            CHECK(times.reopen_delay <= drain_grace);
            // Two calls of which the first is lost, each with one second for its response.
            CHECK(times.max_time_to_response(2, times.connect_timeout + 1s) <=
                  times.drain_deadline(drain_grace));
        }
    }
}

namespace {

// Whether the job `c` came on a connection of its own. On a busy machine the one before may have rested for
// long enough to carry it, and the play says nothing.
bool plays_kept_alive_connections() {
    SchedulerFixture rig;
    const std::string job = SchedulerFixture::job_request("a");
    const auto client = rig.connect_client(job.substr(0, 30));
    rig.run_until([&] { return rig.front.size() == 1; });
    client->connection.write(job.substr(30));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    Peer& worker = *rig.worker.peers[0];
    CHECK(worker.has_received("POST /api HTTP/1.1\r\n"));
    CHECK(worker.has_received("X-Request-ID: a\r\n"));
    worker.connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    worker.connection.write("2d\r\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"x\\\"y\\nz\"}\n");
    CHECK(rig.run_until([&] {
        return client->has_received("\r\n\r\nx\"y\nz");
    })); // sent before the worker's response has ended
    CHECK(client->has_received("HTTP/1.1 200 OK\r\n"));
    worker.connection.write("\r\n0\r\n\r\n");
    rig.run_until([&] { return rig.host.attempts_in_flight() == 0; });
    rig.run_for(30ms); // the end of the response arrives
    client->connection.write(SchedulerFixture::job_request("b") +
                             SchedulerFixture::job_request("c")); // pipelined, processed in order
    REQUIRE(rig.worker_receives(0, "X-Request-ID: b"));
    CHECK_FALSE(worker.has_received("X-Request-ID: c"));
    const net::Time answered_after = rig.loop.now();
    worker.connection.write(SchedulerFixture::done_response("b", "of b"));
    // The connection of `b` has only just become idle and may still receive data; a job that must not run
    // twice is not sent on it.
    const auto received_on_new = [&] {
        return rig.worker.peers.size() > 1 && rig.worker.peers[1]->has_received("X-Request-ID: c");
    };
    REQUIRE(rig.run_until([&] { return received_on_new() || worker.has_received("X-Request-ID: c"); }));
    if (!received_on_new()) {
        REQUIRE(rig.loop.now() - answered_after >= settling_time); // otherwise it was reused at once
        return false;
    }
    CHECK_FALSE(worker.has_received("X-Request-ID: c"));
    rig.worker.peers[1]->connection.write(SchedulerFixture::done_response("c", "of c"));
    CHECK(rig.run_until([&] { return client->has_received("of c"); }));
    CHECK(client->received.find("of b") < client->received.find("of c"));
    CHECK(rig.worker.peers.size() == 2);
    CHECK(rig.pool.counters().reused == 1);
    CHECK(rig.front.counters().accepted == 1);
    return true;
}

} // namespace

TEST_CASE("a job is sent to the worker and its result returned over kept-alive connections") {
    constexpr int max_plays = 100;
    bool has_new_connection = false;
    for (int plays = 0; plays < max_plays && !has_new_connection; ++plays)
        has_new_connection = plays_kept_alive_connections();
    REQUIRE(has_new_connection);
}

TEST_CASE("a connection closed by the worker is not reused") {
    SchedulerFixture rig;
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "1"));
    rig.run_until([&] { return client->has_received("\r\n\r\n1"); });
    rig.worker.peers[0]->connection.close();
    client->connection.write(SchedulerFixture::job_request("b"));
    REQUIRE(rig.worker_receives(1, "X-Request-ID: b"));
    CHECK(rig.pool.counters().closed_by_worker == 1);
    CHECK(rig.host.counters().outcomes[static_cast<std::size_t>(willowrill::Outcome::reset)] == 0);
}

TEST_CASE("a probe reuses a kept-alive connection, and its result is reported once and counted") {
    SchedulerFixture rig;
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "1"));
    rig.run_until([&] { return client->has_received("\r\n\r\n1"); });
    rig.run_for(30ms);
    const upstream::PoolCounters& counters = rig.pool.counters();
    const auto is_counted = [&](const std::string& text, const std::uint64_t& counter) {
        const std::size_t probes_before = counters.probes;
        rig.worker.peers.back()->received.clear();
        rig.pool.probe(0);
        CHECK(counters.probes == probes_before + 1);
        REQUIRE(rig.run_until(
            [&] { return rig.worker.peers.back()->has_received("GET /status/load HTTP/1.1\r\n"); }));
        rig.worker.peers.back()->connection.write(text);
        return rig.run_until([&] { return counter == 1; });
    };
    CHECK(is_counted(net::http::write_response(200, {}, R"({"util":0.5,"x0":2})"), counters.probe_reports));
    CHECK(is_counted(net::http::write_response(503, {}, ""), counters.probe_error_statuses));
    CHECK(rig.worker.peers.size() == 1); // all on the connection of the job
    CHECK(is_counted("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", counters.probe_malformed));
    CHECK(rig.pool.size() == 0); // an oversized body is not read
    // No response counts as late, a closed connection as lost; neither is reported twice.
    rig.pool.probe(0);
    CHECK(rig.run_until([&] { return counters.probe_timeouts == 1; }));
    rig.pool.probe(0);
    REQUIRE(rig.run_until([&] { return rig.worker.peers.size() == 3; }));
    rig.worker.peers[2]->connection.close();
    CHECK(rig.run_until([&] { return counters.probe_connections_lost == 1; }));
    CHECK(counters.probe_reports + counters.probe_error_statuses + counters.probe_malformed +
              counters.probe_timeouts + counters.probe_connections_lost ==
          counters.probes);
    CHECK(counters.written == 1); // probes do not count as attempts
}

// The dispatcher probes a restarted worker again although the probe of its former process is pending. Guards
// against a second probe that replaces the first: the first one's slot was then never released and its end
// never reported.
TEST_CASE("a worker has at most one pending probe, even if the dispatcher asks for another") {
    SchedulerFixture rig;
    rig.pool.probe(0);
    rig.pool.probe(0);
    CHECK(rig.pool.counters().probes == 1);
    REQUIRE(rig.run_until(
        [&] { return rig.worker.peers.size() == 1 && rig.worker.peers[0]->has_received("/status/load"); }));
    rig.worker.peers[0]->connection.write(net::http::write_response(200, {}, R"({"util":0.5})"));
    CHECK(rig.run_until([&] { return rig.pool.counters().probe_reports == 1; }));
    rig.worker.peers[0]->connection.close();
    CHECK(rig.run_until([&] { return rig.pool.size() == 0; }));
}

TEST_CASE("a probe gives up its connection when a job needs it") {
    SchedulerFixture rig(10, 1); // a single connection to workers
    rig.pool.probe(0);
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.run_until([&] { return rig.pool.counters().probes_without_connection == 1; }));
    CHECK(rig.run_until(
        [&] { return rig.worker.peers.size() == 2 && rig.worker.peers[1]->has_received("\r\n\r\nhi"); }));
    rig.pool.probe(0); // the job uses the only connection
    CHECK(rig.pool.counters().probes_without_connection == 2);
    rig.worker.peers[1]->connection.write(SchedulerFixture::done_response("a", "1"));
    CHECK(rig.run_until([&] { return client->has_received("\r\n\r\n1"); }));
}

TEST_CASE("a job that may have run fails and is not retried") {
    SchedulerFixture rig;
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.close();
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 502 "); }));
    CHECK(rig.host.counters().sent == 1);
    CHECK(rig.worker.peers.size() == 1);
}

TEST_CASE("a job that never ran is refused with Retry-After once it cannot be served in time") {
    SchedulerFixture rig;
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(net::http::write_response(503, {{"X-Not-Processed", "1"}}, ""));
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 503 "); }));
    CHECK(client->has_received("Retry-After: 2.000\r\n"));
    CHECK_FALSE(client->closed);
}

TEST_CASE("when the client disconnects, its attempt is cancelled by closing the connection") {
    SchedulerFixture rig;
    auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    client->connection.close();
    CHECK(rig.run_until([&] { return rig.worker.peers[0]->closed; }));
    CHECK(rig.run_until([&] { return rig.front.empty(); }));
    CHECK(rig.host.counters().clients_left == 1);
    CHECK(rig.host.open_messages() == 0);
}

TEST_CASE("invalid requests are answered with an error status and the connection is closed") {
    SchedulerFixture rig;
    const std::string start = "POST /api HTTP/1.1\r\nHost: h\r\n";
    for (const auto& [text, status] :
         {std::pair{std::string("nonsense\r\n\r\n"), "400"},
          {start + "X-Request-ID: a\r\nX-Priority-Class: odd\r\nContent-Length: 0\r\n\r\n", "400"},
          {"POST /api HTTP/1.1\r\n\r\n", "400"},
          {start + "Content-Length: 70000\r\n\r\n" + std::string(60000, 'a'), "413"},
          {start + "A: " + std::string(20000, 'a'), "431"}}) {
        const auto client = rig.connect_client(text);
        CHECK(rig.run_until([&] { return client->closed; }));
        CHECK(client->has_received(std::string("HTTP/1.1 ") + status));
        CHECK(client->has_received("Connection: close\r\n"));
    }
    const auto client =
        rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\nGET /odd HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 405 "); }));
    CHECK(client->has_received("HTTP/1.1 200 "));
    CHECK_FALSE(client->closed);
    CHECK(rig.host.counters().admitted == 0);
}

// Guards against bytes behind the head of an answer to HEAD, read as the next answer.
TEST_CASE("a HEAD is answered with a head alone, and the next request on its connection in order") {
    SchedulerFixture rig(1, 1);
    const std::string head = "HEAD /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string odd = "HEAD /odd HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto client = rig.connect_client(head + odd + "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.run_until([&] { return client->received.ends_with("\r\n\r\nready\n"); }));
    CHECK(client->has_received("\r\n\r\nHTTP/1.1 405 Method Not Allowed\r\n"));
    CHECK(client->has_received("\r\n\r\nHTTP/1.1 200 OK\r\n"));
    CHECK(client->has_received("Content-Length: 31\r\n")); // what a GET would get
}

TEST_CASE("descriptors: idle connections are evicted, and waiting clients are served later") {
    SchedulerFixture rig(2, 1);
    const auto idle = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.run_until([&] { return idle->has_received("200"); });
    const auto first = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    const auto second = rig.connect_client(SchedulerFixture::job_request("b"));
    CHECK(rig.run_until([&] { return idle->closed; }));
    // There is no connection for its attempt: the job never ran and may be retried.
    CHECK(rig.run_until([&] { return second->has_received("HTTP/1.1 503 "); }));
    const auto third = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.run_until([&] { return third->has_received("HTTP/1.1 200 "); }));
    CHECK(rig.run_until([&] { return second->closed; }));
    CHECK(rig.front.size() == 2);
    CHECK(rig.pool.size() == 1);
    CHECK_FALSE(first->closed);
}

TEST_CASE("a new connection must send a complete request in time, one that was served may stay idle") {
    SchedulerFixture rig;
    const auto served = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.run_until([&] { return served->has_received("200"); });
    const auto silent = rig.connect_client("");
    const auto trickling = rig.connect_client("POST /api HTTP/1.1\r\nA: ");
    net::Time last_write{0}; // rarely enough that the request times out before its header is too long
    CHECK(rig.run_until([&] {
        if (!trickling->closed && rig.loop.now() - last_write > 5ms) {
            trickling->connection.write("a");
            last_write = rig.loop.now();
        }
        return silent->closed && trickling->closed;
    }));
    CHECK(silent->received.empty());
    CHECK(trickling->has_received("HTTP/1.1 408 "));
    CHECK_FALSE(served->closed);
}

TEST_CASE("short of descriptors, a silent new connection is evicted before a client that was served") {
    SchedulerFixture rig(2);
    const auto served = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.run_until([&] { return served->has_received("200"); });
    const auto silent = rig.connect_client("");
    rig.run_until([&] { return rig.front.size() == 2; });
    const auto third = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.run_until([&] { return third->has_received("HTTP/1.1 200 "); }));
    CHECK(silent->closed);
    CHECK_FALSE(served->closed);
    CHECK(rig.front.counters().evicted == 1);
}

TEST_CASE("short of descriptors, an idle connection to a worker is evicted for a new one") {
    SchedulerFixture rig(10, 1);
    const Listener second(rig.loop);
    const auto client = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    REQUIRE(rig.run_until([&] { return client->has_received("of a"); }));
    const auto entry = [](const char* id, const net::Endpoint& at, const char* state) {
        return std::string(R"({"id":")") + id + R"(","addr":")" + at.text() +
               R"(","zone":"a","kind":"m1","state":")" + state + "\"}";
    };
    rig.host.handle_worker_list(*rig.list.apply_update(R"({"version":43,"full":false,"servers":[)" +
                                                       entry("s1", rig.worker.address, "draining") + "," +
                                                       entry("s2", second.address, "up") + "]}"));
    client->connection.write(SchedulerFixture::job_request("b"));
    CHECK(rig.run_until(
        [&] { return second.peers.size() == 1 && second.peers[0]->has_received("X-Request-ID: b"); }));
    CHECK(rig.pool.counters().evicted == 1);
}

TEST_CASE("the number of messages is limited by the memory of their bodies") {
    SchedulerFixture rig; // 1 MiB for messages, enough for three of the largest
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(rig.connect_client(
            "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + std::to_string(i) +
            "\r\nX-Priority-Class: once\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, 'a')));
        REQUIRE(rig.run_until([&] { return rig.front.counters().requests == clients.size(); }));
    }
    CHECK(rig.host.counters().admitted == 3);
    CHECK(rig.run_until([&] { return clients.back()->has_received("HTTP/1.1 503 "); }));
    const auto small = rig.connect_client(SchedulerFixture::job_request("small"));
    CHECK(rig.run_until([&] { return rig.host.counters().admitted == 4; }));
}

// A reload may lower the limits below the current usage: open messages continue, new ones are refused with
// Retry-After.
TEST_CASE("limits lowered below the current usage do not end open messages") {
    SchedulerFixture rig;
    const auto busy = rig.connect_client(SchedulerFixture::job_request("busy"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    const auto incomplete = rig.connect_client("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: half\r\n");
    REQUIRE(rig.run_until([&] { return rig.front.size() == 2; }));
    rig.front.set_max_connections(1);
    rig.pool.set_max_connections(0);
    rig.host.set_max_bytes(0);
    incomplete->connection.write("X-Priority-Class: once\r\nContent-Length: 2\r\n\r\nhi");
    CHECK(rig.run_until([&] { return incomplete->has_received("HTTP/1.1 503 "); }));
    CHECK(incomplete->has_received("Retry-After: 2.000\r\n"));
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("busy", "whole"));
    CHECK(rig.run_until([&] { return busy->has_received("whole"); }));
    rig.front.set_max_connections(10);
    rig.pool.set_max_connections(10);
    rig.host.set_max_bytes(1U << 20U);
    busy->connection.write(SchedulerFixture::job_request("next"));
    CHECK(rig.run_until([&] { return rig.host.attempts_in_flight() == 1; }));
}

TEST_CASE("where kept-alive connections break on reuse, jobs that must not run twice use new connections") {
    SchedulerFixture rig;
    std::size_t peer = 0;
    int jobs = 0;
    const auto send = [&] {
        const std::string id = "j" + std::to_string(++jobs);
        rig.run_for(30ms); // a connection is reused only some time after its last response
        return std::pair(id, rig.connect_client(SchedulerFixture::job_request(id)));
    };
    const auto serve = [&] {
        const auto [id, client] = send();
        while (!rig.worker_receives(peer, "X-Request-ID: " + id + "\r\n"))
            FAIL("no attempt came");
        rig.worker.peers[peer]->connection.write(SchedulerFixture::done_response(id, "of " + id));
        REQUIRE(rig.run_until([&] { return client->has_received("of " + id); }));
    };
    for (std::uint64_t broken = 1; broken <= 2; ++broken, ++peer) {
        serve();
        const auto [id, client] = send();
        REQUIRE(rig.worker_receives(peer, "X-Request-ID: " + id));
        rig.worker.peers[peer]->connection.close();
        REQUIRE(rig.run_until([&] { return client->has_received("HTTP/1.1 502 "); }));
        CHECK(rig.pool.counters().reuse_failures == broken);
    }
    serve(); // on a new connection, which is kept alive
    const auto [id, client] = send();
    CHECK(rig.worker_receives(peer + 1, "X-Request-ID: " + id));
}

TEST_CASE(
    "shutdown: clients go on using their connections, then idle ones are closed and the others answered") {
    SchedulerFixture rig;
    const auto busy = rig.connect_client(SchedulerFixture::job_request("a"));
    const auto idle = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.run_until([&] { return idle->has_received("200"); });
    const net::Endpoint address = rig.front.address();
    rig.front.drain();
    idle->connection.write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.run_until([&] { return idle->has_received("HTTP/1.1 503 "); }));
    // In the accept queue with its request, but not yet accepted by the program.
    net::Fd fd = net::connect_to(address);
    pollfd connected{.fd = fd.get(), .events = POLLOUT, .revents = 0};
    REQUIRE(::poll(&connected, 1, 10000) == 1);
    const auto waiting = std::make_unique<Peer>(rig.loop, std::move(fd), net::Connection::State::open);
    waiting->connection.write(SchedulerFixture::job_request("b"));
    const auto late = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.run_until([&] { return late->has_received("503"); });
    rig.front.begin_shutdown(rig.loop.now() + 60s);
    REQUIRE(rig.worker_receives(1, "X-Request-ID: b"));
    rig.loop.run_once(5ms); // so that later requests arrive after `leave`
    idle->connection.write(SchedulerFixture::job_request("c"));
    REQUIRE(rig.worker_receives(2, "X-Request-ID: c"));
    rig.worker.peers[2]->connection.write(SchedulerFixture::done_response("c", "of c"));
    CHECK(rig.run_until([&] { return idle->has_received("of c"); }));
    CHECK_FALSE(idle->closed);
    late->connection.write(SchedulerFixture::job_request("d"));
    CHECK(rig.run_until([&] { return rig.host.open_messages() == 3; }));
    REQUIRE(rig.run_until([&] { return rig.host.attempts_in_flight() == 3; }));
    rig.front.finish_shutdown();
    CHECK(rig.run_until([&] { return idle->closed && late->closed; }));
    CHECK(late->has_received("HTTP/1.1 502 ")); // it arrived after `leave`, and may have run
    CHECK(rig.host.counters().aborted_by_shutdown == 1);
    CHECK_FALSE(busy->closed);
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    rig.worker.peers[1]->connection.write(SchedulerFixture::done_response("b", "of b"));
    CHECK(rig.run_until([&] { return busy->closed && waiting->closed; }));
    CHECK(busy->has_received("Connection: close\r\n"));
    CHECK(busy->has_received("of a"));
    CHECK(waiting->has_received("of b"));
    CHECK(connect_peer(rig.loop, address)->connection.state() != net::Connection::State::open);
    busy->connection.close();
    waiting->connection.close();
    CHECK(rig.run_until([&] { return rig.front.empty(); }));
}

TEST_CASE("after the listener is handed over, idle connections are closed at once and the others after their "
          "response") {
    SchedulerFixture rig;
    const auto idle = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto busy = rig.connect_client(SchedulerFixture::job_request("a"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.run_until([&] { return idle->has_received("200"); });
    const auto fresh = rig.connect_client(""); // has not sent its first request yet
    rig.run_until([&] { return rig.front.size() == 3; });
    rig.front.set_accepting(false);
    rig.front.hand_over(rig.loop.now() + 60s);
    CHECK(rig.run_until([&] { return idle->closed; }));
    fresh->connection.write(SchedulerFixture::job_request("b"));
    REQUIRE(rig.worker_receives(1, "X-Request-ID: b"));
    for (const std::size_t peer : {0, 1})
        rig.worker.peers[peer]->connection.write(
            SchedulerFixture::done_response(peer == 0 ? "a" : "b", "result"));
    CHECK(rig.run_until([&] { return busy->closed && fresh->closed; }));
    for (const Peer* peer : {busy.get(), fresh.get()})
        CHECK((peer->has_received("Connection: close\r\n") && peer->has_received("result")));
    CHECK(rig.run_until([&] { return rig.front.empty(); }));
}

TEST_CASE("shutdown: a job that cannot end in time is refused at once") {
    SchedulerFixture rig;
    const auto client = rig.connect_client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.run_until([&] { return client->has_received("200"); });
    rig.front.begin_shutdown(rig.loop.now());
    client->connection.write(SchedulerFixture::job_request("a"));
    CHECK(rig.run_until([&] { return client->closed; }));
    CHECK(client->has_received("HTTP/1.1 503 "));
    CHECK(client->has_received("Retry-After: 0.250\r\n")); // other schedulers have capacity now
    CHECK(rig.host.counters().admitted == 0);
}

TEST_CASE("a lame duck sends its clients away, refuses late jobs, and serves again once it is switched off") {
    SchedulerFixture rig;
    const std::string ready_request = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto busy = rig.connect_client(SchedulerFixture::job_request("a"));
    const auto idle = rig.connect_client(ready_request);
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.run_until([&] { return idle->has_received("200"); });
    rig.front.set_lame_duck(true);
    rig.front.set_lame_duck(true); // idempotent
    const auto asking = rig.connect_client(ready_request);
    CHECK(rig.run_until([&] { return asking->closed; }));
    CHECK(asking->has_received("HTTP/1.1 503 "));
    const auto late =
        rig.connect_client(SchedulerFixture::job_request("b")); // the clients' front end has not noticed yet
    REQUIRE(rig.worker_receives(1, "X-Request-ID: b"));
    CHECK_FALSE(idle->closed);
    CHECK(rig.run_until([&] { return idle->closed; }));
    const auto slow = rig.connect_client("POST /api HTTP/1.1\r\n");
    rig.run_for(2s);
    CHECK(slow->has_received("HTTP/1.1 503 "));
    const auto too_late = rig.connect_client(SchedulerFixture::job_request("c"));
    CHECK(rig.run_until([&] { return too_late->closed; }));
    CHECK(too_late->has_received("HTTP/1.1 503 "));
    CHECK(rig.host.counters().admitted == 2);
    CHECK(rig.host.class_totals()[0].refused == 1); // though it was never taken in by the host
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    CHECK(rig.run_until([&] { return busy->closed; }));
    CHECK(busy->has_received("Connection: close\r\n"));
    CHECK(busy->has_received("of a"));
    CHECK(rig.host.class_totals()[0].served == 1);
    CHECK(rig.pool.counters().written == 2);
    rig.front.set_lame_duck(false);
    const auto back = rig.connect_client(ready_request);
    CHECK(rig.run_until([&] { return back->has_received("HTTP/1.1 200 "); }));
    rig.run_for(600ms);
    CHECK_FALSE(back->closed);
}

TEST_CASE("the watch continues from the current version, and a failed call leaves the list unchanged") {
    SchedulerFixture rig;
    std::size_t call = 0;
    const auto requested = [&](std::string_view text) {
        return rig.run_until([&] {
            return rig.discovery.peers.size() > call && rig.discovery.peers[call]->has_received(text);
        });
    };
    REQUIRE(requested("GET /v1/endpoints?from=41&hold_ms=")); // requested by the dispatcher
    rig.discovery.peers[0]->connection.write(net::http::write_response(200, {}, rig.list_text(43)));
    REQUIRE(requested("from=43&hold_ms=")); // at once, on the same connection
    rig.discovery.peers[0]->connection.write(net::http::write_response(200, {}, "{\"version\":44}"));
    CHECK(rig.run_until([&] { return rig.host.counters().failed_list_updates == 1; }));
    CHECK(rig.list.version() == 43);
    CHECK(rig.list.condition(0) == willowrill::Condition::ready);
    call = 1; // after a pause, the dispatcher asks again
    REQUIRE(requested("from=43&hold_ms="));
    rig.discovery.peers[1]->connection.write(net::http::write_response(503, {}, ""));
    CHECK(rig.run_until([&] { return rig.host.counters().failed_list_updates == 2; }));
    call = 2;
    REQUIRE(requested("from=43&hold_ms="));
    rig.discovery.peers[2]->connection.close();
    CHECK(rig.run_until([&] { return rig.host.counters().failed_list_updates == 3; }));
}

TEST_CASE("discovery moves: the full list is requested at the new address, and no call counts as failed") {
    SchedulerFixture rig;
    const auto requested = [&](Listener& at, std::size_t peer, std::string_view text) {
        return rig.run_until([&] { return at.peers.size() > peer && at.peers[peer]->has_received(text); });
    };
    REQUIRE(requested(rig.discovery, 0, "from=41&hold_ms="));
    Listener moved(rig.loop);
    rig.watch.set_endpoint(moved.address);
    CHECK(rig.list.condition(0) == willowrill::Condition::ready); // the current list stays in use
    REQUIRE(requested(moved, 0, "GET /v1/endpoints HTTP/1.1"));
    CHECK(rig.run_until([&] { return rig.discovery.peers[0]->closed; }));
    CHECK(rig.host.counters().failed_list_updates == 0);
    moved.peers[0]->connection.write(net::http::write_response(503, {}, ""));
    CHECK(rig.run_until([&] { return rig.host.counters().failed_list_updates == 1; }));
    REQUIRE(requested(moved, 1, "GET /v1/endpoints HTTP/1.1")); // still the full list
    moved.peers[1]->connection.write(net::http::write_response(200, {}, rig.list_text(7)));
    REQUIRE(requested(moved, 1, "from=7&hold_ms=")); // the watch continues there
    CHECK(rig.list.version() == 7);
    CHECK(rig.discovery.peers.size() == 1);
}

} // namespace willowrill::testing
