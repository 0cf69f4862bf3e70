// The standing question to discovery: one call after the other, each from the version that is held. A call
// that falls silent is broken: discovery is asked beside it, and the first whole answer of any call counts.
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
    using News = std::function<void(willowrill::EndpointListUpdate)>;

    // `seed`: for the spread of holds, so that many schedulers don't all ask at one moment.
    DiscoveryWatcher(net::Loop& loop, net::Endpoint discovery, WatchTimeouts times, std::uint64_t seed,
                     WorkerRegistry& list, News news);
    ~DiscoveryWatcher() override;

    void watch(bool active) override;
    // Discovery is at another address from now on. It is asked there at once, for the whole list, as versions
    // may not go on; a call that this cuts off has not failed.
    void set_endpoint(const net::Endpoint& discovery);
    const net::Endpoint& discovery() const { return discovery_; }
    std::uint64_t stall_count() const { return silences_; }

  private:
    class Call;
    static constexpr std::size_t most_calls = 3; // out at once: the silent one, and two beside it

    Call& add();
    void ask(Call& call, net::Duration hold);
    void answered(Call& call);
    void failed(Call& call, const char* why); // it has ended, without a list
    void silent();
    void drop(Call& call);
    void hang_up();
    net::Duration next_hold();
    double chance() { return static_cast<double>(random_()) / 4294967296.0; } // from 0 to 1

    net::Loop& loop_;
    net::Endpoint discovery_;
    WatchTimeouts times_;
    pcg32 random_;
    WorkerRegistry& list_;
    News news_;
    std::vector<std::shared_ptr<Call>> calls_; // the oldest first, `most_calls` at the most
    net::Timer silence_;                       // the last call has had its time, or another may go out
    bool watching_ = false;
    bool moved_ = false;  // and has not yet given its list there
    bool heard_ = false;  // an answer has come in this life: before, the first one is wanted at once
    bool silent_ = false; // since the last answer
    int failures_ = 0;    // in a row, of calls made beside a silent one
    std::uint64_t silences_ = 0;
};

} // namespace willowrill::discovery_client
