// The downstream side: accepts client connections, reads their requests and writes the responses.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace willowrill::frontend {

// `timed_out`: connections closed as their request, response or next request took too long. `not_admitted`:
// requests that the host did not admit. `evicted`: idle connections closed to stay within limits.
struct FrontendCounters {
    std::uint64_t accepted = 0, requests = 0, ready_checks = 0, rejected = 0, timed_out = 0, not_admitted = 0,
                  evicted = 0;
};

class Frontend final : private net::Pollable {
  public:
    // `ready` tells whether there are workers to send jobs to. Uses `listener` if it is valid (inherited from
    // another process), and opens one otherwise. Accepts no connections before `set_accepting(true)`.
    Frontend(net::Loop& loop, const config::Settings& settings, core::Host& host, std::size_t max_connections,
             std::function<bool()> ready, net::Fd listener = {});
    ~Frontend() override;

    void drain(); // fails readiness checks, but goes on accepting connections and jobs
    // In lame duck mode, readiness checks fail, connections are closed once they are idle, and after
    // a while jobs are refused. Can be combined with `drain` and `begin_shutdown` in any order.
    void set_lame_duck(bool on);
    void set_max_connections(std::size_t connections) { max_connections_ = connections; }
    void set_accepting(bool on);
    const net::Fd& listener() const { return listener_; }
    // Stops accepting connections. Jobs on existing connections are still accepted if they are expected to
    // finish before `deadline`.
    void begin_shutdown(net::Time deadline);
    // Another process uses the listener now: closes idle connections, and the others after their response.
    void hand_over(net::Time deadline);
    // Closes idle connections, and the others after their response. Aborts jobs that arrived after
    // `begin_shutdown`.
    void finish_shutdown();
    net::Endpoint address() const { return net::local_address(listener_); }
    bool empty() const { return clients_.empty(); }
    std::size_t size() const { return clients_.size(); }
    std::size_t max_connections() const { return max_connections_; }
    const FrontendCounters& counters() const { return counters_; }

  private:
    class ClientConnection;

    void on_ready(short events) override;
    void watch_listener(bool on);
    void remove(ClientConnection& client);
    bool close_one_idle();
    void stop_accepting(net::Time deadline);
    void pause_accepting();               // for `accept_pause`
    net::Duration lame_duck_time() const; // since lame duck mode began; negative outside it
    void close_lame_duck_clients();       // idle ones; later also those sending a request
    template <class Action> void for_each_client(Action action);

    net::Loop& loop_;
    const config::Settings& settings_;
    core::Host& host_;
    std::size_t max_connections_;
    std::function<bool()> is_ready_;
    net::Fd listener_;
    net::Timer accept_pause_timer_; // ends `pause_accepting`
    std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> clients_;
    bool accepting_ = false, draining_ = false, shutting_down_ = false, closing_when_idle_ = false;
    net::Time shutdown_began_at_{0}, shutdown_deadline_{0};
    std::optional<net::Time> lame_duck_since_;
    net::Timer lame_duck_timer_;
    FrontendCounters counters_;
};

} // namespace willowrill::frontend
