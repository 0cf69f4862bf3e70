// The parts put together on loopback, with clients, a worker and discovery played by the tests.
#include "support/rig.h"

#include <doctest/doctest.h>

namespace willowrill::testing {

TEST_CASE("a connection that never comes up proves that the job never ran") {
    const Deaf deaf;
    Rig rig;
    rig.host.handle_worker_list(*rig.list.read(Rig::list_text(42, deaf.address)));
    const auto client = rig.client(Rig::job("a"));
    CHECK(rig.settle([&] { return client->has("HTTP/1.1 503 "); }));
    const auto& outcomes = rig.host.counters().outcomes;
    CHECK(outcomes[static_cast<std::size_t>(willowrill::Outcome::connect_failed)] == 1);
    CHECK(rig.pool.size() == 0);
}

TEST_CASE("discovery that cannot be reached is a failed call") {
    Rig rig;
    const net::Endpoint nobody = Listener(rig.loop).address;
    int broken = 0;
    discovery_client::Watch watch(rig.loop, nobody, discovery_client::watch_times(10s, 1s), 1, rig.list,
                                  [&](const auto& news) {
                                      CHECK(news.kind == willowrill::EndpointListUpdate::Kind::broken);
                                      ++broken;
                                  });
    watch.watch(true);
    CHECK(rig.settle([&] { return broken > 0; }));
    CHECK(broken == 1);
    CHECK(watch.silences() == 0);
}

// A held call was given up 1.5 s after a hold as long as the list is valid, 11.5 s in all, and only then was
// discovery asked anew; what it has to tell counts as told after 6 s.
TEST_CASE(
    "discovery that has fallen silent is asked beside the call that is out, and the first answer counts") {
    Rig rig;
    int news_of_drain = 0, broken = 0;
    discovery_client::WatchTimes times = discovery_client::watch_times(10s, 1s);
    times.hold = 4ms;
    times.late = 10ms;
    discovery_client::Watch watch(rig.loop, rig.discovery.address, times, 1, rig.list, [&](const auto& news) {
        broken += news.kind == willowrill::EndpointListUpdate::Kind::broken ? 1 : 0;
        for (const auto& entry : news.entries)
            news_of_drain += entry.condition == willowrill::Condition::draining ? 1 : 0;
    });
    watch.watch(true);
    watch.watch(true); // a wish repeated while a call is out makes no other
    const auto asked = [&](std::size_t call, std::string_view text) {
        return rig.settle(
            [&] { return rig.discovery.peers.size() > call && rig.discovery.peers[call]->has(text); });
    };
    REQUIRE(asked(0, "?from=41&hold_ms="));   // stays silent, and open
    REQUIRE(asked(1, "?from=41&hold_ms=1 ")); // no wait: an answer is owed at once
    CHECK_FALSE(rig.discovery.peers[0]->closed);
    CHECK(watch.silences() == 1);
    std::string list = rig.list_text(43);
    list.replace(list.find("\"up\""), 4, "\"draining\"");
    rig.discovery.peers[1]->got.clear();
    rig.discovery.peers[1]->connection.write(net::http::write_response(200, {}, list));
    CHECK(rig.settle([&] { return news_of_drain == 1; }));
    CHECK(asked(1, "?from=43&hold_ms=")); // the watch goes on where it was answered
    CHECK(rig.settle([&] { return rig.discovery.peers[0]->closed; }));
    CHECK(broken == 0);
}

TEST_CASE("what discovery may be silent for adds up to less than what counts as told, for all settings") {
    for (const auto valid : {0s, 1s, 2s, 10s, 60s}) {
        for (const auto grace : {50ms, 300ms, 1000ms, 5000ms}) {
            const discovery_client::WatchTimes times = discovery_client::watch_times(valid, grace);
            CHECK(times.hold > 0ns);
            CHECK(times.reopen <= grace);
            // Two calls, the first of them lost as well, each with a second for its answer.
            CHECK(times.heard_by(2, times.open + 1s) <= times.allowed(grace));
        }
    }
}

TEST_CASE("a job goes to the worker and its result comes back, over connections that are kept") {
    Rig rig;
    const std::string job = Rig::job("a");
    const auto client = rig.client(job.substr(0, 30));
    rig.settle([&] { return rig.front.size() == 1; });
    client->connection.write(job.substr(30));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    Peer& worker = *rig.worker.peers[0];
    CHECK(worker.has("POST /api HTTP/1.1\r\n"));
    CHECK(worker.has("X-Request-ID: a\r\n"));
    worker.connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    worker.connection.write("2d\r\n{\"id\":\"a\",\"state\":\"done\",\"result\":\"x\\\"y\\nz\"}\n");
    CHECK(rig.settle([&] { return client->has("\r\n\r\nx\"y\nz"); })); // not held back by the answer's end
    CHECK(client->has("HTTP/1.1 200 OK\r\n"));
    worker.connection.write("\r\n0\r\n\r\n");
    rig.settle([&] { return rig.host.attempts_in_flight() == 0; });
    rig.wait(30ms);                                          // the answer's end arrives
    client->connection.write(Rig::job("b") + Rig::job("c")); // one after the other, in order
    REQUIRE(rig.worker_has(0, "X-Request-ID: b"));
    CHECK_FALSE(worker.has("X-Request-ID: c"));
    worker.connection.write(Rig::done("b", "of b"));
    // `b` has only just come back, and a job that must not run twice does not go where more may still come.
    REQUIRE(rig.worker_has(1, "X-Request-ID: c"));
    CHECK_FALSE(worker.has("X-Request-ID: c"));
    rig.worker.peers[1]->connection.write(Rig::done("c", "of c"));
    CHECK(rig.settle([&] { return client->has("of c"); }));
    CHECK(client->got.find("of b") < client->got.find("of c"));
    CHECK(rig.worker.peers.size() == 2);
    CHECK(rig.pool.counters().reused == 1);
    CHECK(rig.front.counters().accepted == 1);
}

TEST_CASE("a connection that the worker has closed is not written to") {
    Rig rig;
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(Rig::done("a", "1"));
    rig.settle([&] { return client->has("\r\n\r\n1"); });
    rig.worker.peers[0]->connection.close();
    client->connection.write(Rig::job("b"));
    REQUIRE(rig.worker_has(1, "X-Request-ID: b"));
    CHECK(rig.pool.counters().closed_by_worker == 1);
    CHECK(rig.host.counters().outcomes[static_cast<std::size_t>(willowrill::Outcome::reset)] == 0);
}

TEST_CASE("a probe asks on a kept connection, and whatever comes back is told once and counted") {
    Rig rig;
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(Rig::done("a", "1"));
    rig.settle([&] { return client->has("\r\n\r\n1"); });
    rig.wait(30ms);
    const upstream::PoolCounters& counted = rig.pool.counters();
    const auto answered = [&](const std::string& text, const std::uint64_t& counter) {
        const std::size_t asked = counted.probes;
        rig.worker.peers.back()->got.clear();
        rig.pool.probe(0);
        CHECK(counted.probes == asked + 1);
        REQUIRE(rig.settle([&] { return rig.worker.peers.back()->has("GET /status/load HTTP/1.1\r\n"); }));
        rig.worker.peers.back()->connection.write(text);
        return rig.settle([&] { return counter == 1; });
    };
    CHECK(answered(net::http::write_response(200, {}, R"({"util":0.5,"x0":2})"), counted.probe_reports));
    CHECK(answered(net::http::write_response(503, {}, ""), counted.probe_error_statuses));
    CHECK(rig.worker.peers.size() == 1); // all on the connection that the job left
    CHECK(answered("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", counted.probe_malformed));
    CHECK(rig.pool.size() == 0); // a body that would never end is not read
    // Silence is late, and a break is lost; neither is told twice.
    rig.pool.probe(0);
    CHECK(rig.settle([&] { return counted.probe_timeouts == 1; }));
    rig.pool.probe(0);
    REQUIRE(rig.settle([&] { return rig.worker.peers.size() == 3; }));
    rig.worker.peers[2]->connection.close();
    CHECK(rig.settle([&] { return counted.probe_connections_lost == 1; }));
    CHECK(counted.probe_reports + counted.probe_error_statuses + counted.probe_malformed +
              counted.probe_timeouts + counted.probe_connections_lost ==
          counted.probes);
    CHECK(counted.written == 1); // none of them counts as an attempt
}

// A worker that has started anew is asked anew, though its former process has not answered: the first probe's
// place was never given back, and nobody was told of its end.
TEST_CASE("a worker is asked once at a time, whatever the module has forgotten") {
    Rig rig;
    rig.pool.probe(0);
    rig.pool.probe(0);
    CHECK(rig.pool.counters().probes == 1);
    REQUIRE(
        rig.settle([&] { return rig.worker.peers.size() == 1 && rig.worker.peers[0]->has("/status/load"); }));
    rig.worker.peers[0]->connection.write(net::http::write_response(200, {}, R"({"util":0.5})"));
    CHECK(rig.settle([&] { return rig.pool.counters().probe_reports == 1; }));
    rig.worker.peers[0]->connection.close();
    CHECK(rig.settle([&] { return rig.pool.size() == 0; }));
}

TEST_CASE("a probe never takes a connection that a job needs") {
    Rig rig(10, 1); // room for one
    rig.pool.probe(0);
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.settle([&] { return rig.pool.counters().probes_without_connection == 1; }));
    CHECK(rig.settle([&] { return rig.worker.peers.size() == 2 && rig.worker.peers[1]->has("\r\n\r\nhi"); }));
    rig.pool.probe(0); // the job has the one there is
    CHECK(rig.pool.counters().probes_without_connection == 2);
    rig.worker.peers[1]->connection.write(Rig::done("a", "1"));
    CHECK(rig.settle([&] { return client->has("\r\n\r\n1"); }));
}

TEST_CASE("a job that may have run is failed and not sent again") {
    Rig rig;
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.close();
    CHECK(rig.settle([&] { return client->has("HTTP/1.1 502 "); }));
    CHECK(rig.host.counters().sent == 1);
    CHECK(rig.worker.peers.size() == 1);
}

TEST_CASE("a job that never ran is turned away with advice once it is hopeless") {
    Rig rig;
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(net::http::write_response(503, {{"X-Not-Processed", "1"}}, ""));
    CHECK(rig.settle([&] { return client->has("HTTP/1.1 503 "); }));
    CHECK(client->has("Retry-After: 2.000\r\n"));
    CHECK_FALSE(client->closed);
}

TEST_CASE("when the client goes away, the attempt is called off by closing its connection") {
    Rig rig;
    auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    client->connection.close();
    CHECK(rig.settle([&] { return rig.worker.peers[0]->closed; }));
    CHECK(rig.settle([&] { return rig.front.empty(); }));
    CHECK(rig.host.counters().clients_left == 1);
    CHECK(rig.host.open_messages() == 0);
}

TEST_CASE("requests that cannot be taken get their status and a close") {
    Rig rig;
    const std::string start = "POST /api HTTP/1.1\r\nHost: h\r\n";
    for (const auto& [text, status] :
         {std::pair{std::string("nonsense\r\n\r\n"), "400"},
          {start + "X-Request-ID: a\r\nX-Priority-Class: odd\r\nContent-Length: 0\r\n\r\n", "400"},
          {"POST /api HTTP/1.1\r\n\r\n", "400"},
          {start + "Content-Length: 70000\r\n\r\n" + std::string(60000, 'a'), "413"},
          {start + "A: " + std::string(20000, 'a'), "431"}}) {
        const auto client = rig.client(text);
        CHECK(rig.settle([&] { return client->closed; }));
        CHECK(client->has(std::string("HTTP/1.1 ") + status));
        CHECK(client->has("Connection: close\r\n"));
    }
    const auto client =
        rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\nGET /odd HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.settle([&] { return client->has("HTTP/1.1 405 "); }));
    CHECK(client->has("HTTP/1.1 200 "));
    CHECK_FALSE(client->closed);
    CHECK(rig.host.counters().admitted == 0);
}

TEST_CASE("descriptors: idle connections give way, and what must wait is served later") {
    Rig rig(2, 1);
    const auto idle = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.settle([&] { return idle->has("200"); });
    const auto first = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    const auto second = rig.client(Rig::job("b"));
    CHECK(rig.settle([&] { return idle->closed; }));
    // There is no connection for its attempt: it never ran, and may come again.
    CHECK(rig.settle([&] { return second->has("HTTP/1.1 503 "); }));
    const auto third = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.settle([&] { return third->has("HTTP/1.1 200 "); }));
    CHECK(rig.settle([&] { return second->closed; }));
    CHECK(rig.front.size() == 2);
    CHECK(rig.pool.size() == 1);
    CHECK_FALSE(first->closed);
}

TEST_CASE("a new connection has to send a whole request soon; one that was served may rest") {
    Rig rig;
    const auto served = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.settle([&] { return served->has("200"); });
    const auto silent = rig.client("");
    const auto trickling = rig.client("POST /api HTTP/1.1\r\nA: ");
    net::Time wrote{0}; // seldom enough that on a fast machine the head's length is not what ends it
    CHECK(rig.settle([&] {
        if (!trickling->closed && rig.loop.now() - wrote > 5ms) {
            trickling->connection.write("a");
            wrote = rig.loop.now();
        }
        return silent->closed && trickling->closed;
    }));
    CHECK(silent->got.empty());
    CHECK(trickling->has("HTTP/1.1 408 "));
    CHECK_FALSE(served->closed);
}

TEST_CASE("short of descriptors, a silent newcomer gives way before a client that was served") {
    Rig rig(2);
    const auto served = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.settle([&] { return served->has("200"); });
    const auto silent = rig.client("");
    rig.settle([&] { return rig.front.size() == 2; });
    const auto third = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.settle([&] { return third->has("HTTP/1.1 200 "); }));
    CHECK(silent->closed);
    CHECK_FALSE(served->closed);
    CHECK(rig.front.counters().evicted == 1);
}

TEST_CASE("short of descriptors, an idle connection to a worker gives way to one that is needed") {
    Rig rig(10, 1);
    const Listener second(rig.loop);
    const auto client = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(Rig::done("a", "of a"));
    REQUIRE(rig.settle([&] { return client->has("of a"); }));
    const auto entry = [](const char* id, const net::Endpoint& at, const char* state) {
        return std::string(R"({"id":")") + id + R"(","addr":")" + at.text() +
               R"(","zone":"a","kind":"m1","state":")" + state + "\"}";
    };
    rig.host.handle_worker_list(*rig.list.read(R"({"version":43,"full":false,"servers":[)" +
                                               entry("s1", rig.worker.address, "draining") + "," +
                                               entry("s2", second.address, "up") + "]}"));
    client->connection.write(Rig::job("b"));
    CHECK(rig.settle([&] { return second.peers.size() == 1 && second.peers[0]->has("X-Request-ID: b"); }));
    CHECK(rig.pool.counters().evicted == 1);
}

TEST_CASE("messages are bounded by the memory that their bodies take") {
    Rig rig; // with a mebibyte for them, room for three of the largest
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(rig.client("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + std::to_string(i) +
                                     "\r\nX-Priority-Class: once\r\nContent-Length: 65536\r\n\r\n" +
                                     std::string(65536, 'a')));
        REQUIRE(rig.settle([&] { return rig.front.counters().requests == clients.size(); }));
    }
    CHECK(rig.host.counters().admitted == 3);
    CHECK(rig.settle([&] { return clients.back()->has("HTTP/1.1 503 "); }));
    const auto small = rig.client(Rig::job("small"));
    CHECK(rig.settle([&] { return rig.host.counters().admitted == 4; }));
}

// A reload may set limits below what is in use: what is open goes on, what comes is told when to come back.
TEST_CASE("limits lowered below what is in use end nothing that is open") {
    Rig rig;
    const auto busy = rig.client(Rig::job("busy"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    const auto half = rig.client("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: half\r\n");
    REQUIRE(rig.settle([&] { return rig.front.size() == 2; }));
    rig.front.set_max_connections(1);
    rig.pool.set_max_connections(0);
    rig.host.set_max_bytes(0);
    half->connection.write("X-Priority-Class: once\r\nContent-Length: 2\r\n\r\nhi");
    CHECK(rig.settle([&] { return half->has("HTTP/1.1 503 "); }));
    CHECK(half->has("Retry-After: 2.000\r\n"));
    rig.worker.peers[0]->connection.write(Rig::done("busy", "whole"));
    CHECK(rig.settle([&] { return busy->has("whole"); }));
    rig.front.set_max_connections(10);
    rig.pool.set_max_connections(10);
    rig.host.set_max_bytes(1U << 20U);
    busy->connection.write(Rig::job("next"));
    CHECK(rig.settle([&] { return rig.host.attempts_in_flight() == 1; }));
}

TEST_CASE("where kept connections break at their next request, jobs that must not run twice go on new ones") {
    Rig rig;
    std::size_t peer = 0;
    int jobs = 0;
    const auto send = [&] {
        const std::string id = "j" + std::to_string(++jobs);
        rig.wait(30ms); // a connection that was just used settles first
        return std::pair(id, rig.client(Rig::job(id)));
    };
    const auto serve = [&] {
        const auto [id, client] = send();
        while (!rig.worker_has(peer, "X-Request-ID: " + id + "\r\n"))
            FAIL("no attempt came");
        rig.worker.peers[peer]->connection.write(Rig::done(id, "of " + id));
        REQUIRE(rig.settle([&] { return client->has("of " + id); }));
    };
    for (std::uint64_t broken = 1; broken <= 2; ++broken, ++peer) {
        serve();
        const auto [id, client] = send();
        REQUIRE(rig.worker_has(peer, "X-Request-ID: " + id));
        rig.worker.peers[peer]->connection.close();
        REQUIRE(rig.settle([&] { return client->has("HTTP/1.1 502 "); }));
        CHECK(rig.pool.counters().reuse_failures == broken);
    }
    serve(); // on a new one, which is kept
    const auto [id, client] = send();
    CHECK(rig.worker_has(peer + 1, "X-Request-ID: " + id));
}

TEST_CASE("leaving: clients go on using their connections, then idle ones are closed, the others answered") {
    Rig rig;
    const auto busy = rig.client(Rig::job("a"));
    const auto idle = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.settle([&] { return idle->has("200"); });
    const net::Endpoint address = rig.front.address();
    rig.front.drain();
    idle->connection.write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(rig.settle([&] { return idle->has("HTTP/1.1 503 "); }));
    // Accepted by the machine with its request, but not yet by the program.
    net::Fd fd = net::connect_to(address);
    pollfd connected{.fd = fd.get(), .events = POLLOUT, .revents = 0};
    REQUIRE(::poll(&connected, 1, 10000) == 1);
    const auto waiting = std::make_unique<Peer>(rig.loop, std::move(fd), net::Connection::State::open);
    waiting->connection.write(Rig::job("b"));
    const auto late = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.settle([&] { return late->has("503"); });
    rig.front.begin_shutdown(rig.loop.now() + 60s);
    REQUIRE(rig.worker_has(1, "X-Request-ID: b"));
    rig.loop.run_once(5ms); // in which what comes is later than the leave
    idle->connection.write(Rig::job("c"));
    REQUIRE(rig.worker_has(2, "X-Request-ID: c"));
    rig.worker.peers[2]->connection.write(Rig::done("c", "of c"));
    CHECK(rig.settle([&] { return idle->has("of c"); }));
    CHECK_FALSE(idle->closed);
    late->connection.write(Rig::job("d"));
    CHECK(rig.settle([&] { return rig.host.open_messages() == 3; }));
    REQUIRE(rig.settle([&] { return rig.host.attempts_in_flight() == 3; }));
    rig.front.finish_shutdown();
    CHECK(rig.settle([&] { return idle->closed && late->closed; }));
    CHECK(late->has("HTTP/1.1 502 ")); // it came after the leave, and may have run
    CHECK(rig.host.counters().aborted_by_shutdown == 1);
    CHECK_FALSE(busy->closed);
    rig.worker.peers[0]->connection.write(Rig::done("a", "of a"));
    rig.worker.peers[1]->connection.write(Rig::done("b", "of b"));
    CHECK(rig.settle([&] { return busy->closed && waiting->closed; }));
    CHECK(busy->has("Connection: close\r\n"));
    CHECK(busy->has("of a"));
    CHECK(waiting->has("of b"));
    CHECK(call(rig.loop, address)->connection.state() != net::Connection::State::open);
    busy->connection.close();
    waiting->connection.close();
    CHECK(rig.settle([&] { return rig.front.empty(); }));
}

TEST_CASE("with the listener handed on, idle connections go at once and the others after their answer") {
    Rig rig;
    const auto idle = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto busy = rig.client(Rig::job("a"));
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.settle([&] { return idle->has("200"); });
    const auto fresh = rig.client(""); // its first request is on its way
    rig.settle([&] { return rig.front.size() == 3; });
    rig.front.set_accepting(false);
    rig.front.hand_over(rig.loop.now() + 60s);
    CHECK(rig.settle([&] { return idle->closed; }));
    fresh->connection.write(Rig::job("b"));
    REQUIRE(rig.worker_has(1, "X-Request-ID: b"));
    for (const std::size_t peer : {0, 1})
        rig.worker.peers[peer]->connection.write(Rig::done(peer == 0 ? "a" : "b", "result"));
    CHECK(rig.settle([&] { return busy->closed && fresh->closed; }));
    for (const Peer* peer : {busy.get(), fresh.get()})
        CHECK((peer->has("Connection: close\r\n") && peer->has("result")));
    CHECK(rig.settle([&] { return rig.front.empty(); }));
}

TEST_CASE("leaving: a job that would not be done in time is sent elsewhere at once") {
    Rig rig;
    const auto client = rig.client("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    rig.settle([&] { return client->has("200"); });
    rig.front.begin_shutdown(rig.loop.now());
    client->connection.write(Rig::job("a"));
    CHECK(rig.settle([&] { return client->closed; }));
    CHECK(client->has("HTTP/1.1 503 "));
    CHECK(client->has("Retry-After: 0.250\r\n")); // others have room now
    CHECK(rig.host.counters().admitted == 0);
}

TEST_CASE("a lame duck sends its clients away, takes no job late, and serves again once it is off") {
    Rig rig;
    const std::string check = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto busy = rig.client(Rig::job("a"));
    const auto idle = rig.client(check);
    REQUIRE(rig.worker_has(0, "\r\n\r\nhi"));
    rig.settle([&] { return idle->has("200"); });
    rig.front.set_lame_duck(true);
    rig.front.set_lame_duck(true); // asked again, it goes on
    const auto asking = rig.client(check);
    CHECK(rig.settle([&] { return asking->closed; }));
    CHECK(asking->has("HTTP/1.1 503 "));
    const auto late = rig.client(Rig::job("b")); // the clients' front has not noticed yet
    REQUIRE(rig.worker_has(1, "X-Request-ID: b"));
    CHECK_FALSE(idle->closed);
    CHECK(rig.settle([&] { return idle->closed; }));
    const auto slow = rig.client("POST /api HTTP/1.1\r\n");
    rig.wait(2s);
    CHECK(slow->has("HTTP/1.1 503 "));
    const auto too_late = rig.client(Rig::job("c"));
    CHECK(rig.settle([&] { return too_late->closed; }));
    CHECK(too_late->has("HTTP/1.1 503 "));
    CHECK(rig.host.counters().admitted == 2);
    CHECK(rig.host.class_totals()[0].refused == 1); // though it never came to the host
    rig.worker.peers[0]->connection.write(Rig::done("a", "of a"));
    CHECK(rig.settle([&] { return busy->closed; }));
    CHECK(busy->has("Connection: close\r\n"));
    CHECK(busy->has("of a"));
    CHECK(rig.host.class_totals()[0].served == 1);
    CHECK(rig.pool.counters().written == 2);
    rig.front.set_lame_duck(false);
    const auto back = rig.client(check);
    CHECK(rig.settle([&] { return back->has("HTTP/1.1 200 "); }));
    rig.wait(600ms);
    CHECK_FALSE(back->closed);
}

TEST_CASE("the watch goes on from the version held, and a failed call leaves the list as it is") {
    Rig rig;
    std::size_t call = 0;
    const auto asked = [&](std::string_view text) {
        return rig.settle(
            [&] { return rig.discovery.peers.size() > call && rig.discovery.peers[call]->has(text); });
    };
    REQUIRE(asked("GET /v1/endpoints?from=41&hold_ms=")); // the module has asked for it
    rig.discovery.peers[0]->connection.write(net::http::write_response(200, {}, rig.list_text(43)));
    REQUIRE(asked("from=43&hold_ms=")); // on the same connection, at once
    rig.discovery.peers[0]->connection.write(net::http::write_response(200, {}, "{\"version\":44}"));
    CHECK(rig.settle([&] { return rig.host.counters().failed_list_updates == 1; }));
    CHECK(rig.list.version() == 43);
    CHECK(rig.list.condition(0) == willowrill::Condition::ready);
    call = 1; // after a pause, the module asks anew
    REQUIRE(asked("from=43&hold_ms="));
    rig.discovery.peers[1]->connection.write(net::http::write_response(503, {}, ""));
    CHECK(rig.settle([&] { return rig.host.counters().failed_list_updates == 2; }));
    call = 2;
    REQUIRE(asked("from=43&hold_ms="));
    rig.discovery.peers[2]->connection.close();
    CHECK(rig.settle([&] { return rig.host.counters().failed_list_updates == 3; }));
}

TEST_CASE("discovery moves: the whole list is taken at the new address, and nothing counts as failed") {
    Rig rig;
    const auto asked = [&](Listener& at, std::size_t peer, std::string_view text) {
        return rig.settle([&] { return at.peers.size() > peer && at.peers[peer]->has(text); });
    };
    REQUIRE(asked(rig.discovery, 0, "from=41&hold_ms="));
    Listener moved(rig.loop);
    rig.watch.move(moved.address);
    CHECK(rig.list.condition(0) == willowrill::Condition::ready); // the list held stays in use
    REQUIRE(asked(moved, 0, "GET /v1/endpoints HTTP/1.1"));
    CHECK(rig.settle([&] { return rig.discovery.peers[0]->closed; }));
    CHECK(rig.host.counters().failed_list_updates == 0);
    moved.peers[0]->connection.write(net::http::write_response(503, {}, ""));
    CHECK(rig.settle([&] { return rig.host.counters().failed_list_updates == 1; }));
    REQUIRE(asked(moved, 1, "GET /v1/endpoints HTTP/1.1")); // still the whole list
    moved.peers[1]->connection.write(net::http::write_response(200, {}, rig.list_text(7)));
    REQUIRE(asked(moved, 1, "from=7&hold_ms=")); // and the watch goes on there
    CHECK(rig.list.version() == 7);
    CHECK(rig.discovery.peers.size() == 1);
}

} // namespace willowrill::testing
