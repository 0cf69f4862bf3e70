// Hollow schedulers and workers. A hollow scheduler is made of the real parts that speak for control (the
// module, the watch on the list, the connections that carry probes) and has no clients; it sends what a real
// one without jobs would send. A hollow worker answers probes, and jobs at once.
#pragma once

#include "core/host.h"
#include "inventory/watch.h"
#include "lab/server.h"
#include "upstream/pool.h"

#include <memory>
#include <string>
#include <vector>

namespace willowrill::lab::scale {

// The configuration of a scheduler of either sort, as the program reads it.
std::string scheduler_config(std::size_t at, std::size_t schedulers, std::uint64_t seed,
                             const net::Endpoint& discovery);

class HollowScheduler {
  public:
    HollowScheduler(net::Loop& loop, const std::string& config);
    void on_round_end(); // once in each round of the loop

  private:
    net::Loop& loop_;
    const config::Settings settings_;
    inventory::List list_;
    upstream::Pool pool_;
    inventory::Watch watch_;
    core::Host host_;
    net::Timer next_batch_;
};

class HollowWorkers {
  public:
    HollowWorkers(net::Loop& loop, std::size_t count);
    std::vector<net::Endpoint> addresses() const;
    std::uint64_t messages() const;
    std::uint64_t bytes() const;

  private:
    std::vector<std::unique_ptr<Server>> servers_;
};

} // namespace willowrill::lab::scale
