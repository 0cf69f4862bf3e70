// The scheduler's components wired together on loopback; the test plays the clients, the workers and the
// discovery service.
#pragma once

#include "scheduler/discovery_client/discovery_watcher.h"
#include "scheduler/frontend/frontend.h"
#include "scheduler/upstream/pool.h"
#include "support/sockets.h"

#include <sys/socket.h>

#include <array>

namespace willowrill::testing {

// Of the pool: a connection that has rested for so long may carry a job that must not run twice.
constexpr auto settling_time = 15ms;

config::Settings test_settings(); // defined in tests/scheduler/program/parts_test.cpp

// A scheduler with a single worker, which is listed from the start, and a frontend for up to `max_clients`
// clients. Due batches of the dispatcher run at the end of each round of the loop.
class SchedulerFixture {
  public:
    explicit SchedulerFixture(std::size_t max_clients = 10, std::size_t max_attempts = 10,
                              config::Settings initial_settings = test_settings())
        : settings(std::move(initial_settings)), list(settings.names),
          pool(loop, list, settings.report_fields,
               {.connections = max_attempts, .idle = 5s, .connect_timeout = settings.connect_timeout}),
          watch(loop, discovery.address, discovery_client::compute_watch_timeouts(10s, 1s), 1, list,
                [this](auto update) { host.handle_worker_list(std::move(update)); }),
          host(settings.dispatcher, settings.max_open_requests, 1U << 20U, pool, watch),
          front(loop, settings, host, max_clients, [] { return true; }) {
        pool.set_host(host);
        front.set_accepting(true);
        auto initial_list = list.apply_update(list_text(41));
        initial_list->kind = willowrill::EndpointListUpdate::Kind::remembered;
        host.handle_worker_list(std::move(*initial_list));
        loop.set_iteration_end_hook([this] {
            if (const auto next_batch_time = host.next_batch_time();
                next_batch_time && *next_batch_time <= loop.now())
                host.run_batch(loop.now());
        });
    }

    // A complete list from the discovery service, with the fixture's worker as its only server.
    std::string list_text(int version) const { return list_text(version, worker.address); }
    // The same, with that server at the given address.
    static std::string list_text(int version, const net::Endpoint& address) {
        return "{\"version\":" + std::to_string(version) + R"(,"full":true,"servers":[{"id":"s1","addr":")" +
               address.text() + R"(","zone":"a","kind":"m1","state":"up","started_ms":0}]})";
    }
    // Connects a new client and sends `text` on its connection.
    std::unique_ptr<Peer> connect_client(const std::string& text) {
        auto peer = connect_peer(loop, front.address());
        peer->connection.write(text);
        return peer;
    }
    // A client's request for a job of the class `once`, with `extra_headers`, each of which ends in CRLF.
    static std::string job_request(const std::string& id,
                                   const std::string& extra_headers = "X-Timeout-Ms: 5000\r\n") {
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: once\r\n" +
               extra_headers + "Content-Length: 2\r\n\r\nhi";
    }
    // A worker's response to a job that it has completed.
    static std::string done_response(const std::string& id, const std::string& result) {
        return net::http::write_response(
            200, {}, R"({"id":")" + id + R"(","state":"done","result":")" + result + "\"}\n");
    }
    template <class Condition> bool run_until(Condition condition) {
        return testing::run_until(loop, condition);
    }
    void run_for(net::Duration duration) {
        const net::Time start = loop.now();
        run_until([&] { return loop.now() - start > duration; });
    }
    // Waits until the worker has received `text` on its connection number `peer`, counted from 0.
    bool worker_receives(std::size_t peer, std::string_view text) {
        return run_until(
            [&] { return worker.peers.size() > peer && worker.peers[peer]->has_received(text); });
    }

    const config::Settings settings;
    net::Loop loop;
    Listener worker{loop}, discovery{loop};
    discovery_client::WorkerRegistry list;
    upstream::Pool pool;
    discovery_client::DiscoveryWatcher watch;
    core::Host host;
    frontend::Frontend front;
};

// A listening socket with a full backlog that accepts nothing, so that new connections to its address are not
// established.
struct SaturatedListener {
    SaturatedListener()
        : listener(net::listen_on(*net::Endpoint::parse("127.0.0.1:0"))),
          address(net::local_address(listener)) {
        ::listen(listener.get(), 0);
        for (net::Fd& fd : backlog_connections)
            fd = net::connect_to(address);
    }
    net::Fd listener;
    const net::Endpoint address;
    std::array<net::Fd, 4> backlog_connections; // they fill the backlog
};

} // namespace willowrill::testing
