// Events that meet in a bad order: the other side ends, or the list changes, just when something waits. Each
// test makes that order happen with scripted peers, and does not wait for it by the clock.
#include "scheduler/frontend/arrival_times.h"
#include "scheduler/load_estimates/books.h"
#include "support/scheduler_fixture.h"

#include <doctest/doctest.h>

namespace willowrill::testing {
namespace {

// Connections may take as long as they like, and workers need not heed a cancellation.
config::Settings patient_settings() {
    config::Settings out = test_settings();
    out.connect_timeout = out.decisions.connect_timeout = 1h;
    out.decisions.may_cancel = false;
    for (willowrill::JobClass& job_class : out.decisions.classes)
        job_class.aim = job_class.give_up = 1h;
    return out;
}

const std::string patient = "X-Timeout-Ms: 3600000\r\n";

std::uint64_t ended(const SchedulerFixture& rig, willowrill::Outcome outcome) {
    return rig.host.counters().outcomes[static_cast<std::size_t>(outcome)];
}

// The worker of the rig is at an address where connections do not come up, and one of them is out.
struct Stalled {
    Stalled() {
        rig.host.handle_worker_list(*rig.list.read(SchedulerFixture::list_text(42, deaf.address)));
        client = rig.connect_client(SchedulerFixture::job_request("a", patient));
        REQUIRE(rig.run_until([&] { return rig.pool.size() == 1; }));
    }
    // Lets connections come up, in the order in which they were begun, and gives what the last one says.
    std::string next_request() {
        std::string got;
        rig.run_until([&] {
            if (net::Fd fd = net::accept_from(deaf.listener); fd.valid())
                peers.push_back(
                    std::make_unique<Peer>(rig.loop, std::move(fd), net::Connection::State::open));
            got = peers.empty() ? "" : peers.back()->received;
            return got.find("\r\n\r\nhi") != std::string::npos;
        });
        return got;
    }
    const SaturatedListener deaf;
    SchedulerFixture rig{10, 10, patient_settings()};
    std::unique_ptr<Peer> client;
    std::vector<std::unique_ptr<Peer>> peers;
};

} // namespace

// Where cancelling is not allowed, the request went out some 0.2 s after its client had gone.
TEST_CASE("a client that leaves while the connection to a worker comes up takes its request with it") {
    Stalled at;
    at.client->connection.close();
    CHECK(at.rig.run_until([&] { return at.rig.pool.size() == 0; }));
    CHECK(ended(at.rig, willowrill::Outcome::not_sent) == 1);
    CHECK(at.rig.host.counters().clients_left == 1);
}

TEST_CASE("a worker that begins to drain while its connection comes up is not sent the request") {
    Stalled at;
    std::string drains = SchedulerFixture::list_text(43, at.deaf.address);
    at.rig.host.handle_worker_list(
        *at.rig.list.read(drains.replace(drains.find("\"up\""), 4, "\"draining\"")));
    at.rig.pool.close_unlisted();
    CHECK(at.rig.pool.size() == 0);
    CHECK(ended(at.rig, willowrill::Outcome::not_sent) == 1);
    CHECK_FALSE(at.client->closed); // its job looks for another worker
}

// The figure was that of the moment at which the connection was begun.
TEST_CASE("a worker is told the time that is left when its connection has come up") {
    Stalled at;
    const net::Time begun = at.rig.loop.now();
    at.rig.run_for(50ms);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(at.rig.loop.now() - begun);
    const std::string request = at.next_request();
    const std::size_t told = request.find("X-Timeout-Ms: ");
    REQUIRE(told != std::string::npos);
    CHECK(std::stol(request.substr(told + 14)) <= 3600000 - waited.count());
}

// A repeat was begun whenever its connection came up, though its group forgets the job after the window.
TEST_CASE("a repeat is not begun after its window, however late its connection comes up") {
    config::Settings settings = patient_settings();
    settings.decisions.classes[1].repeat_window = 300ms;
    settings.decisions.classes[1].kind = willowrill::none;
    SchedulerFixture rig(10, 10, settings);
    const auto client =
        rig.connect_client("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Priority-Class: keyed\r\n"
                           "Idempotency-Key: k\r\n" +
                           patient + "Content-Length: 2\r\n\r\nhi");
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    const SaturatedListener deaf;
    std::string list = rig.list_text(43);
    list.insert(list.rfind("]}"), R"(,{"id":"s2","addr":")" + deaf.address.text() +
                                      R"(","zone":"a","kind":"m1","state":"up","started_ms":0})");
    rig.host.handle_worker_list(*rig.list.read(list));
    rig.worker.peers[0]->connection.close(); // it may have run
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 502 "); }));
    CHECK(rig.host.counters().sent == 2);
    CHECK(rig.pool.size() == 0);
}

// With its buffer full of what it has sent beyond, nothing was heard of a client's end.
TEST_CASE("a client that ends its sending is heard while a request of it waits and more lies unread") {
    SchedulerFixture rig(10, 10, patient_settings());
    const auto client =
        rig.connect_client(SchedulerFixture::job_request("a", patient) + std::string(100000, 'x'));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    client->connection.close_when_sent();
    CHECK(rig.run_until([&] { return rig.host.counters().clients_left == 1; }));
}

// The second answer to a job, a few milliseconds late, passed for the next one's, which had "never run".
TEST_CASE("a job that must not run twice does not go where the last answer has only just come from") {
    SchedulerFixture rig(10, 10, patient_settings());
    const auto client = rig.connect_client(SchedulerFixture::job_request("a", patient));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    REQUIRE(rig.run_until([&] { return client->has_received("of a"); }));
    client->connection.write(SchedulerFixture::job_request("b", patient));
    REQUIRE(rig.worker_receives(1, "X-Request-ID: b"));
    rig.worker.peers[0]->connection.write(net::http::write_response(503, {{"X-Not-Processed", "1"}}, ""));
    CHECK(
        rig.run_until([&] { return rig.pool.counters().closed_by_worker == 1; })); // it proves nothing of `b`
    CHECK(ended(rig, willowrill::Outcome::full) == 0);
    rig.worker.peers[1]->connection.write(SchedulerFixture::done_response("b", "of b"));
    CHECK(rig.run_until([&] { return client->has_received("of b"); }));
    CHECK(rig.host.counters().sent == 2);
}

// Its time began to run when the one before it had been answered.
TEST_CASE("a request that waited unread behind another has its time from when it came") {
    SchedulerFixture rig(10, 10, patient_settings());
    const auto client = rig.connect_client(SchedulerFixture::job_request("a", patient) +
                                           SchedulerFixture::job_request("b", "X-Timeout-Ms: 20\r\n"));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.run_for(30ms);
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    CHECK(rig.run_until([&] { return client->has_received("HTTP/1.1 503 "); }));
    CHECK(client->has_received("of a"));
    CHECK(rig.host.counters().sent == 1);
}

TEST_CASE("arrival times: bytes count as come when they did, and never later") {
    frontend::ArrivalTimes times;
    CHECK(times.first_unread(9s) == 9s);
    times.record_unread(10, 1s, false);
    times.record_unread(30, 2s, false);
    CHECK(times.first_unread(9s) == 1s);
    times.record_consumed(10);
    CHECK(times.first_unread(9s) == 2s);
    times.record_consumed(20);
    CHECK(times.first_unread(9s) == 9s);
    times.record_unread(5, 3s, true); // no room for more, which may be here already
    times.record_consumed(5);
    times.record_unread(5, 8s, false);
    CHECK(times.first_unread(9s) == 3s);
    for (std::size_t size = 6; size < 100; ++size) // a byte at a time: the table is bounded
        times.record_unread(size, net::Time(1s) * size, false);
    times.record_consumed(98);
    CHECK(times.first_unread(200s) <= 98s);
}

// The end dropped what it had read of further requests, and their clients never had an answer.
TEST_CASE("an end answers what it has read behind the last answer, and only then closes") {
    SchedulerFixture rig(10, 10, patient_settings());
    const auto client = rig.connect_client(SchedulerFixture::job_request("a", patient) +
                                           SchedulerFixture::job_request("b", patient) +
                                           SchedulerFixture::job_request("c", patient));
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.front.begin_shutdown(rig.loop.now());
    rig.front.finish_shutdown();
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    REQUIRE(rig.run_until([&] { return client->closed; }));
    CHECK(client->has_received("of a"));
    std::size_t refused = 0;
    for (std::size_t at = 0; (at = client->received.find("HTTP/1.1 503 ", at)) != std::string::npos; ++at)
        ++refused;
    CHECK(refused == 2);
    CHECK(client->received.find("Connection: close") > client->received.rfind("HTTP/1.1 503 "));
}

TEST_CASE("an end does not wait for a client whose next bytes are no request") {
    SchedulerFixture rig(10, 10, patient_settings());
    const auto client = rig.connect_client(SchedulerFixture::job_request("a", patient) + "\r\n");
    REQUIRE(rig.worker_receives(0, "\r\n\r\nhi"));
    rig.front.begin_shutdown(rig.loop.now());
    rig.front.finish_shutdown();
    rig.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    CHECK(rig.run_until([&] { return rig.front.empty(); }));
    CHECK(client->has_received("of a"));
}

// After a long outage the next call came up to 7.5 s after the last, where 6 s count as told.
TEST_CASE("asking for the list again after an outage: bounded for one, and not all at one moment") {
    load_estimates::Subscription list;
    net::Time now = 1s;
    for (int failures = 0; failures < 20; ++failures) {
        CAPTURE(failures);
        REQUIRE(list.should_request(now, 10s, 1s, [] { return 0.0; }));
        list.on_update(true, false);
        CHECK_FALSE(list.should_request(now, 10s, 1s, [] { return 0.0; }));
        REQUIRE(list.next_request_at());
        CHECK(*list.next_request_at() - now <= load_estimates::max_back_off);
        now = *list.next_request_at();
    }
    CHECK(load_estimates::back_off_after(20, 0) == load_estimates::max_back_off);
    CHECK(load_estimates::back_off_after(20, 1) == load_estimates::max_back_off / 2);
}

// Its first call came up to 1.25 s after its start, where the changes since its former life count from there
// on.
TEST_CASE("a new life with a remembered list asks for it early in the grace for drains") {
    for (const auto grace : {50ms, 300ms, 1000ms}) {
        load_estimates::Subscription list;
        const auto last = [] { return 1.0; };
        list.on_update(false, true); // the list of its former life
        CHECK_FALSE(list.should_request(1s, 10s, grace, last));
        CHECK(list.should_request(1s + grace / 2 + 1ms, 10s, grace, last));
    }
}

// With a short grace for drains it was asked every 0.1 s by each of its callers, which kept it overloaded.
TEST_CASE("discovery that turns a call away beside a silent one is given a pause, and told of once") {
    SchedulerFixture rig;
    const Listener discovery(rig.loop); // for this watch alone
    discovery_client::WatchTimes times = discovery_client::watch_times(10s, 200ms);
    times.hold = times.late = 4ms;
    discovery_client::Watch watch(rig.loop, discovery.address, times, 1, rig.list, [](const auto&) {});
    watch.watch(true);
    for (std::size_t call = 1; call <= 2; ++call) { // call 0 is the silent one
        REQUIRE(rig.run_until([&] {
            return discovery.peers.size() > call && discovery.peers[call]->has_received("hold_ms=1 ");
        }));
        const net::Time refused = rig.loop.now();
        discovery.peers[call]->connection.write(net::http::write_response(503, {}, ""));
        REQUIRE(rig.run_until([&] { return discovery.peers.size() > call + 1; }));
        CHECK(rig.loop.now() - refused >= load_estimates::initial_back_off / 2);
    }
    CHECK(watch.silences() == 1);
}

TEST_CASE("what discovery has at its return is heard before it counts as told, for all settings") {
    const auto back_off = load_estimates::max_back_off;
    for (const auto valid : {1s, 2s, 10s, 60s}) {
        for (const auto grace : {50ms, 300ms, 1000ms, 5000ms}) {
            const discovery_client::WatchTimes times = discovery_client::watch_times(valid, grace);
            const net::Duration allowed = times.allowed_after_failure(grace);
            const auto tick = std::min<net::Duration>(grace / 10, 10ms);
            CHECK(times.heard_after_failure(back_off, 0s, 2s, tick) <= allowed);
            CHECK(times.heard_after_failure(back_off, 1500ms, 500ms, tick) <= allowed);
            CHECK(times.heard_after_loss(1s, tick) <= allowed);
            CHECK(times.heard_from_agent(grace / 4, tick) <= grace);
        }
    }
}

} // namespace willowrill::testing
