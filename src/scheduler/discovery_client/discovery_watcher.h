// Watches discovery for changes of the worker list with long polling: one request follows another, each from
// the version held. If a request is not answered in time, further ones are sent beside it, and the first
// complete response is used.
#pragma once

#include "scheduler/core/host.h"
#include "scheduler/discovery_client/watch_timeouts.h"
#include "scheduler/discovery_client/worker_registry.h"
#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"

#include <pcg_random.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace willowrill::discovery_client {

class DiscoveryWatcher final : public core::WorkerListSource {
  public:
    using UpdateCallback = std::function<void(willowrill::EndpointListUpdate)>;

    // `seed` seeds the randomized holds, which keep schedulers from sending their requests simultaneously.
    // `registry` must outlive the watcher. `on_update` receives each update, and one of kind `broken` when
    // watching has failed.
    DiscoveryWatcher(net::Loop& loop, net::Endpoint discovery, WatchTimeouts timeouts, std::uint64_t seed,
                     WorkerRegistry& registry, UpdateCallback on_update);
    ~DiscoveryWatcher() override;

    // Starts or stops watching.
    void watch(bool active) override;
    // Moves to another address of discovery and immediately requests the full list there, as its versions may
    // not continue those held. Requests that this cancels do not count as failed.
    void set_endpoint(const net::Endpoint& discovery);
    const net::Endpoint& discovery() const { return discovery_; }
    std::uint64_t stall_count() const { return stall_count_; }

  private:
    class Request;
    static constexpr std::size_t max_requests = 3; // at the same time: the unanswered one and two beside it

    Request& add_request();
    void send_request(Request& request, net::Duration hold);
    void on_response(Request& request);
    void on_failure(Request& request, const char* reason); // the request has ended without a list
    void on_stall();
    void remove_request(Request& request);
    void cancel_requests();
    net::Duration choose_hold();
    double random_fraction() { return static_cast<double>(random_()) / 4294967296.0; } // from 0 to 1

    net::Loop& loop_;
    net::Endpoint discovery_;
    WatchTimeouts timeouts_;
    pcg32 random_;
    WorkerRegistry& registry_;
    UpdateCallback on_update_;
    std::vector<std::shared_ptr<Request>> requests_; // oldest first, at most `max_requests`
    net::Timer stall_timer_;                         // the last request is late, or another one may be sent
    bool watching_ = false;
    bool endpoint_changed_ = false;  // and no list has been received from the new endpoint yet
    bool has_received_list_ = false; // since the start; the first request does not ask for a hold
    bool is_stalled_ = false;        // since the last response
    int consecutive_failures_ = 0;   // of requests sent beside an unanswered one
    std::uint64_t stall_count_ = 0;
};

} // namespace willowrill::discovery_client
