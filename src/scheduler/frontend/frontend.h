// The client side (downstream): accepts the clients' connections, reads their requests and writes their
// answers.
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

struct FrontendCounters {
    std::uint64_t accepted = 0, requests = 0, ready_checks = 0, rejected = 0, timed_out = 0, not_admitted = 0,
                  evicted = 0;
};

class Frontend final : private net::Pollable {
  public:
    // `ready` says whether there are workers to serve with. Nothing is accepted from a listener that another
    // run has handed over until `accept`.
    Frontend(net::Loop& loop, const config::Settings& settings, core::Host& host,
             std::size_t most_connections, std::function<bool()> ready, net::Fd listener = {});
    ~Frontend() override;

    void drain(); // not ready any more, but takes in what comes
    // Sends the clients away, for as long as it is on. It goes together with `drain` and `leave`, in any
    // order.
    void set_lame_duck(bool on);
    void set_max_connections(std::size_t connections) { most_connections_ = connections; }
    void set_accepting(bool on);
    const net::Fd& listener() const { return listener_; }
    // Accepts no more connections. Clients go on using those they have: what can end before `end` is still
    // taken in on them.
    void begin_shutdown(net::Time end);
    // Another run has the listener now: closes what is idle, and the rest after its answer.
    void hand_over(net::Time end);
    // Closes what is idle and the rest after its answer; what came after `leave` does not wait for its own.
    void finish_shutdown();
    net::Endpoint address() const { return net::local_address(listener_); }
    bool empty() const { return clients_.empty(); }
    std::size_t size() const { return clients_.size(); }
    std::size_t max_connections() const { return most_connections_; }
    const FrontendCounters& counters() const { return counters_; }

  private:
    class ClientConnection;

    void on_ready(short events) override;
    void listen(bool on);
    void drop(ClientConnection& client);
    bool close_one_idle();
    void stop_accepting(net::Time end);
    void look_away();               // from the listener, for a while
    net::Duration lame_for() const; // how long the lame duck has been on; negative while it is off
    void send_away();               // what a lame duck no longer holds
    template <class Action> void each_client(Action action);

    net::Loop& loop_;
    const config::Settings& settings_;
    core::Host& host_;
    std::size_t most_connections_;
    std::function<bool()> ready_;
    net::Fd listener_;
    net::Timer pause_; // of accepting, when descriptors run out
    std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> clients_;
    bool accepting_ = false, draining_ = false, leaving_ = false, finishing_ = false;
    net::Time left_at_{0}, end_{0};
    std::optional<net::Time> lame_since_;
    net::Timer send_away_;
    FrontendCounters counters_;
};

} // namespace willowrill::frontend
