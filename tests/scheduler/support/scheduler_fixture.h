// The parts of the scheduler put together on loopback, for tests that play clients, workers and discovery.
#pragma once

#include "scheduler/discovery_client/watch.h"
#include "scheduler/frontend/frontend.h"
#include "scheduler/upstream/pool.h"
#include "support/sockets.h"

#include <sys/socket.h>

#include <array>

namespace willowrill::testing {

config::Settings test_settings(); // of parts_test.cpp

// One worker, known from the start, and a front for as many clients as the test wants.
class SchedulerFixture {
  public:
    explicit SchedulerFixture(std::size_t most_clients = 10, std::size_t most_attempts = 10,
                              config::Settings given = test_settings())
        : settings(std::move(given)), list(settings.names),
          pool(loop, list, settings.report_fields,
               {.connections = most_attempts, .idle = 5s, .connect_timeout = settings.connect_timeout}),
          watch(loop, discovery.address, discovery_client::watch_times(10s, 1s), 1, list,
                [this](auto news) { host.handle_worker_list(std::move(news)); }),
          host(settings.decisions, settings.max_open, 1U << 20U, pool, watch),
          front(loop, settings, host, most_clients, [] { return true; }) {
        pool.set_host(host);
        front.set_accepting(true);
        auto news = list.read(list_text(41));
        news->kind = willowrill::EndpointListUpdate::Kind::remembered;
        host.handle_worker_list(std::move(*news));
        loop.set_iteration_end_hook([this] {
            if (const auto next = host.next_batch_time(); next && *next <= loop.now())
                host.run_batch(loop.now());
        });
    }

    std::string list_text(int version) const { return list_text(version, worker.address); }
    static std::string list_text(int version, const net::Endpoint& address) {
        return "{\"version\":" + std::to_string(version) + R"(,"full":true,"servers":[{"id":"s1","addr":")" +
               address.text() + R"(","zone":"a","kind":"m1","state":"up","started_ms":0}]})";
    }
    std::unique_ptr<Peer> connect_client(const std::string& text) {
        auto peer = connect_peer(loop, front.address());
        peer->connection.write(text);
        return peer;
    }
    static std::string job_request(const std::string& id,
                                   const std::string& more = "X-Timeout-Ms: 5000\r\n") {
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: once\r\n" +
               more + "Content-Length: 2\r\n\r\nhi";
    }
    static std::string done_response(const std::string& id, const std::string& result) {
        return net::http::write_response(
            200, {}, R"({"id":")" + id + R"(","state":"done","result":")" + result + "\"}\n");
    }
    template <class Done> bool run_until(Done done) { return testing::run_until(loop, done); }
    void run_for(net::Duration span) {
        const net::Time start = loop.now();
        run_until([&] { return loop.now() - start > span; });
    }
    bool worker_receives(std::size_t peer, std::string_view text) {
        return run_until(
            [&] { return worker.peers.size() > peer && worker.peers[peer]->has_received(text); });
    }

    const config::Settings settings;
    net::Loop loop;
    Listener worker{loop}, discovery{loop};
    discovery_client::List list;
    upstream::Pool pool;
    discovery_client::Watch watch;
    core::Host host;
    frontend::Frontend front;
};

// An address at which connections never come up: its queue is full and nobody takes from it.
struct SaturatedListener {
    SaturatedListener()
        : listener(net::listen_on(*net::Endpoint::parse("127.0.0.1:0"))),
          address(net::local_address(listener)) {
        ::listen(listener.get(), 0);
        for (net::Fd& fd : queued)
            fd = net::connect_to(address);
    }
    net::Fd listener;
    const net::Endpoint address;
    std::array<net::Fd, 4> queued;
};

} // namespace willowrill::testing
