// Tests of unfavourable event orders: a peer closes its connection or the worker list changes while something
// is pending. Each test forces its order with scripted peers instead of relying on timing.
#include "scheduler/frontend/arrival_times.h"
#include "scheduler/load_estimates/books.h"
#include "support/scheduler_fixture.h"

#include <doctest/doctest.h>

#include <optional>

namespace willowrill::testing {
namespace {

// Settings under which connections may take up to an hour to be established, jobs may take as long, and
// attempts are not cancelled.
config::Settings patient_settings() {
    config::Settings result = test_settings();
    result.connect_timeout = result.dispatcher.connect_timeout = 1h;
    result.dispatcher.may_cancel = false;
    for (willowrill::JobClass& job_class : result.dispatcher.classes)
        job_class.aim = job_class.give_up = 1h;
    return result;
}

const std::string long_timeout_header = "X-Timeout-Ms: 3600000\r\n";

std::uint64_t outcome_count(const SchedulerFixture& fixture, willowrill::Outcome outcome) {
    return fixture.host.counters().outcomes[static_cast<std::size_t>(outcome)];
}

// A fixture whose worker is at an address where connections do not come up, with one job that waits for such
// a connection.
struct StalledConnection {
    StalledConnection() {
        fixture.host.handle_worker_list(
            *fixture.list.apply_update(SchedulerFixture::list_text(42, saturated_listener.address)));
        client = fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header));
        REQUIRE(fixture.run_until([&] { return fixture.pool.size() == 1; }));
    }
    // Accepts the pending connections in the order in which they were started, and returns the complete
    // request that the worker receives on the last one.
    std::string next_request() {
        std::string request;
        fixture.run_until([&] {
            if (net::Fd fd = net::accept_from(saturated_listener.listener); fd.valid())
                peers.push_back(
                    std::make_unique<Peer>(fixture.loop, std::move(fd), net::Connection::State::open));
            request = peers.empty() ? "" : peers.back()->received;
            return request.find("\r\n\r\nhi") != std::string::npos;
        });
        return request;
    }
    const SaturatedListener saturated_listener;
    SchedulerFixture fixture{10, 10, patient_settings()};
    std::unique_ptr<Peer> client;
    std::vector<std::unique_ptr<Peer>> peers;
};

} // namespace

// Guards against sending the request some 0.2 s after its client has left, where cancelling is not allowed.
TEST_CASE("a request is withdrawn if its client leaves while the connection to the worker comes up") {
    StalledConnection stalled;
    stalled.client->connection.close();
    CHECK(stalled.fixture.run_until([&] { return stalled.fixture.pool.size() == 0; }));
    CHECK(outcome_count(stalled.fixture, willowrill::Outcome::not_sent) == 1);
    CHECK(stalled.fixture.host.counters().clients_left == 1);
}

TEST_CASE("a worker that starts to drain while its connection comes up does not get the request") {
    StalledConnection stalled;
    std::string draining_list = SchedulerFixture::list_text(43, stalled.saturated_listener.address);
    stalled.fixture.host.handle_worker_list(*stalled.fixture.list.apply_update(
        draining_list.replace(draining_list.find("\"up\""), 4, "\"draining\"")));
    stalled.fixture.pool.close_unlisted();
    CHECK(stalled.fixture.pool.size() == 0);
    CHECK(outcome_count(stalled.fixture, willowrill::Outcome::not_sent) == 1);
    CHECK_FALSE(stalled.client->closed); // its job waits for another worker
}

// Guards against sending the remaining time as of the moment at which the connection was started.
TEST_CASE("a worker is told the time that remains when its connection has come up") {
    StalledConnection stalled;
    const net::Time started_at = stalled.fixture.loop.now();
    stalled.fixture.run_for(50ms);
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(stalled.fixture.loop.now() - started_at);
    const std::string request = stalled.next_request();
    const std::size_t header_at = request.find("X-Timeout-Ms: ");
    REQUIRE(header_at != std::string::npos);
    CHECK(std::stol(request.substr(header_at + 14)) <= 3600000 - waited.count());
}

// The repeat group forgets the job after the window, so a repeat that starts whenever its connection comes up
// may run the job twice.
TEST_CASE("a repeat does not start after its window, however late its connection comes up") {
    config::Settings settings = patient_settings();
    settings.dispatcher.classes[1].repeat_window = 300ms;
    settings.dispatcher.classes[1].kind = willowrill::none;
    SchedulerFixture fixture(10, 10, settings);
    const auto client = fixture.connect_client(
        "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Priority-Class: keyed\r\n"
        "Idempotency-Key: k\r\n" +
        long_timeout_header + "Content-Length: 2\r\n\r\nhi");
    REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
    const SaturatedListener saturated_listener;
    std::string list = fixture.list_text(43);
    list.insert(list.rfind("]}"), R"(,{"id":"s2","addr":")" + saturated_listener.address.text() +
                                      R"(","zone":"a","kind":"m1","state":"up","started_ms":0})");
    fixture.host.handle_worker_list(*fixture.list.apply_update(list));
    fixture.worker.peers[0]->connection.close(); // it may have run
    CHECK(fixture.run_until([&] { return client->has_received("HTTP/1.1 502 "); }));
    CHECK(fixture.host.counters().sent == 2);
    CHECK(fixture.pool.size() == 0);
}

// Guards against missing the end of a client's stream when the input buffer is full of pipelined bytes.
TEST_CASE("the end of a client's stream is noticed while its request waits and further input is unread") {
    SchedulerFixture fixture(10, 10, patient_settings());
    const auto client = fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header) +
                                               std::string(100000, 'x'));
    REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
    client->connection.close_when_sent();
    CHECK(fixture.run_until([&] { return fixture.host.counters().clients_left == 1; }));
}

namespace {

// A client whose first job was answered over the worker's connection 0, and that has sent its second one,
// `b`, after a pause.
struct JobAfterAnswer {
    explicit JobAfterAnswer(net::Duration pause) {
        REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
        const net::Time answered_after = fixture.loop.now();
        fixture.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
        REQUIRE(fixture.run_until([&] { return client->has_received("of a"); }));
        if (pause > net::Duration(0)) fixture.loop.jump(pause);
        client->connection.write(SchedulerFixture::job_request("b", long_timeout_header));
        REQUIRE(fixture.run_until([&] { return received_at(0) || received_at(1); }));
        longest_rest = fixture.loop.now() - answered_after;
    }
    bool received_at(std::size_t peer) const {
        const auto& peers = fixture.worker.peers;
        return peers.size() > peer && peers[peer]->has_received("X-Request-ID: b");
    }

    SchedulerFixture fixture{10, 10, patient_settings()};
    std::unique_ptr<Peer> client =
        fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header));
    net::Duration longest_rest{0}; // that the connection may have had before `b` was sent
};

} // namespace

// A second answer to a job that comes a few milliseconds late can be mistaken for the answer to the next job
// on the same connection, here as proof that this job never ran.
TEST_CASE("a job that must not run twice does not reuse a connection that has only just carried an answer") {
    constexpr int max_plays = 100; // on a busy machine the connection may have rested before the job was sent
    std::optional<JobAfterAnswer> play;
    for (int plays = 0; plays < max_plays; ++plays) {
        play.emplace(net::Duration(0));
        if (play->received_at(1)) break;
        REQUIRE(play->longest_rest >= settling_time); // otherwise it was reused at once
    }
    REQUIRE(play->received_at(1));
    SchedulerFixture& fixture = play->fixture;
    fixture.worker.peers[0]->connection.write(net::http::write_response(503, {{"X-Not-Processed", "1"}}, ""));
    CHECK(fixture.run_until(
        [&] { return fixture.pool.counters().closed_by_worker == 1; })); // it proves nothing about `b`
    CHECK(outcome_count(fixture, willowrill::Outcome::full) == 0);
    fixture.worker.peers[1]->connection.write(SchedulerFixture::done_response("b", "of b"));
    CHECK(fixture.run_until([&] { return play->client->has_received("of b"); }));
    CHECK(fixture.host.counters().sent == 2);
}

TEST_CASE("a job that must not run twice reuses a connection that has rested") {
    const JobAfterAnswer play(settling_time);
    CHECK(play.received_at(0));
    CHECK_FALSE(play.received_at(1));
}

// Guards against starting the time of a pipelined request only when the request before it has been answered.
TEST_CASE("the time of a request that waits unread behind another counts from its arrival") {
    SchedulerFixture fixture(10, 10, patient_settings());
    const auto client = fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header) +
                                               SchedulerFixture::job_request("b", "X-Timeout-Ms: 20\r\n"));
    REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
    fixture.run_for(30ms);
    fixture.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    CHECK(fixture.run_until([&] { return client->has_received("HTTP/1.1 503 "); }));
    CHECK(client->has_received("of a"));
    CHECK(fixture.host.counters().sent == 1);
}

TEST_CASE("arrival times: bytes count as arrived no later than they did") {
    frontend::ArrivalTimes times;
    CHECK(times.first_unread(9s) == 9s);
    times.record_unread(10, 1s, false);
    times.record_unread(30, 2s, false);
    CHECK(times.first_unread(9s) == 1s);
    times.record_consumed(10);
    CHECK(times.first_unread(9s) == 2s);
    times.record_consumed(20);
    CHECK(times.first_unread(9s) == 9s);
    times.record_unread(5, 3s, true); // the buffer is full, so more bytes may have arrived already
    times.record_consumed(5);
    times.record_unread(5, 8s, false);
    CHECK(times.first_unread(9s) == 3s);
    for (std::size_t size = 6; size < 100; ++size) // one byte at a time; the size of the table is bounded
        times.record_unread(size, net::Time(1s) * size, false);
    times.record_consumed(98);
    CHECK(times.first_unread(200s) <= 98s);
}

// Guards against dropping pipelined requests that have been read already at shutdown, which leaves them
// without an answer.
TEST_CASE("a shutdown answers the pipelined requests that have been read before it closes the connection") {
    SchedulerFixture fixture(10, 10, patient_settings());
    const auto client = fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header) +
                                               SchedulerFixture::job_request("b", long_timeout_header) +
                                               SchedulerFixture::job_request("c", long_timeout_header));
    REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
    fixture.front.begin_shutdown(fixture.loop.now());
    fixture.front.finish_shutdown();
    fixture.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    REQUIRE(fixture.run_until([&] { return client->closed; }));
    CHECK(client->has_received("of a"));
    std::size_t refusal_count = 0;
    for (std::size_t at = 0; (at = client->received.find("HTTP/1.1 503 ", at)) != std::string::npos; ++at)
        ++refusal_count;
    CHECK(refusal_count == 2);
    CHECK(client->received.find("Connection: close") > client->received.rfind("HTTP/1.1 503 "));
}

TEST_CASE("a shutdown does not wait for a client whose next bytes are not a request") {
    SchedulerFixture fixture(10, 10, patient_settings());
    const auto client =
        fixture.connect_client(SchedulerFixture::job_request("a", long_timeout_header) + "\r\n");
    REQUIRE(fixture.worker_receives(0, "\r\n\r\nhi"));
    fixture.front.begin_shutdown(fixture.loop.now());
    fixture.front.finish_shutdown();
    fixture.worker.peers[0]->connection.write(SchedulerFixture::done_response("a", "of a"));
    CHECK(fixture.run_until([&] { return fixture.front.empty(); }));
    CHECK(client->has_received("of a"));
}

// Guards against a back-off that grows too long: with up to 7.5 s between two requests after a long outage,
// changes would be learned later than the 6 s after which they count as known.
TEST_CASE("list requests after an outage: the back-off is bounded, and spread over the schedulers") {
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

// For changes during a scheduler's downtime, the grace for drains counts from its start. A first list request
// up to 1.25 s after the start comes too late for that.
TEST_CASE("a restarted scheduler with a remembered list requests it early within the grace for drains") {
    for (const auto grace : {50ms, 300ms, 1000ms}) {
        load_estimates::Subscription list;
        const auto latest = [] { return 1.0; };
        list.on_update(false, true); // the list held before the restart
        CHECK_FALSE(list.should_request(1s, 10s, grace, latest));
        CHECK(list.should_request(1s + grace / 2 + 1ms, 10s, grace, latest));
    }
}

// Guards against asking an overloaded discovery every 0.1 s from each scheduler, which keeps it overloaded;
// this can happen with a short grace for drains.
TEST_CASE(
    "a discovery that rejects requests beside an unanswered one gets a pause and counts as silent once") {
    SchedulerFixture fixture;
    const Listener discovery(fixture.loop); // used by this watch only
    discovery_client::WatchTimeouts times = discovery_client::compute_watch_timeouts(10s, 200ms);
    times.max_hold = times.stall_timeout = 4ms;
    discovery_client::DiscoveryWatcher watch(fixture.loop, discovery.address, times, 1, fixture.list,
                                             [](const auto&) {});
    watch.watch(true);
    for (std::size_t request_index = 1; request_index <= 2; ++request_index) { // request 0 stays unanswered
        REQUIRE(fixture.run_until([&] {
            return discovery.peers.size() > request_index &&
                   discovery.peers[request_index]->has_received("hold_ms=1 ");
        }));
        const net::Time refused_at = fixture.loop.now();
        discovery.peers[request_index]->connection.write(net::http::write_response(503, {}, ""));
        REQUIRE(fixture.run_until([&] { return discovery.peers.size() > request_index + 1; }));
        CHECK(fixture.loop.now() - refused_at >= load_estimates::initial_back_off / 2);
    }
    CHECK(watch.stall_count() == 1);
}

TEST_CASE("changes known to a recovered discovery are received within the allowed time, for all settings") {
    const auto back_off = load_estimates::max_back_off;
    for (const auto list_valid : {1s, 2s, 10s, 60s}) {
        for (const auto grace : {50ms, 300ms, 1000ms, 5000ms}) {
            const discovery_client::WatchTimeouts times =
                discovery_client::compute_watch_timeouts(list_valid, grace);
            const net::Duration allowed = times.drain_deadline_after_failure(grace);
            const auto tick = std::min<net::Duration>(grace / 10, 10ms);
            CHECK(times.max_time_to_list_after_failure(back_off, 0s, 2s, tick) <= allowed);
            CHECK(times.max_time_to_list_after_failure(back_off, 1500ms, 500ms, tick) <= allowed);
            CHECK(times.max_time_to_list_after_loss(1s, tick) <= allowed);
            CHECK(times.max_time_to_list_from_agent(grace / 4, tick) <= grace);
        }
    }
}

} // namespace willowrill::testing
