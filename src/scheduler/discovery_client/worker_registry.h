// The workers that discovery has listed, and the parsing of its responses into updates for the dispatcher.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/net/socket.h"

#include <willowrill/dispatcher.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace willowrill::discovery_client {

class WorkerRegistry {
  public:
    explicit WorkerRegistry(config::Names names) : names_(std::move(names)) {}

    // Parses a response of discovery, applies it and returns it as an update for the dispatcher. An invalid
    // response changes nothing and yields nullopt.
    std::optional<willowrill::EndpointListUpdate> apply_update(std::string_view json);

    std::uint64_t version() const { return version_; }
    bool empty() const { return workers_.empty(); }
    std::size_t listed_count() const; // workers that are ready or draining
    const net::Endpoint& address(willowrill::WorkerId worker) const { return workers_[worker].address; }
    const std::string& id(willowrill::WorkerId worker) const { return workers_[worker].id; }
    const config::Names& names() const { return names_; }
    willowrill::Condition condition(willowrill::WorkerId worker) const { return workers_[worker].condition; }

  private:
    struct Worker {
        std::string id;
        net::Endpoint address{};
        willowrill::Condition condition = willowrill::Condition::gone;
    };

    config::Names names_;
    std::vector<Worker> workers_; // indexed by WorkerId; entries are never removed
    std::unordered_map<std::string, willowrill::WorkerId> worker_ids_;
    std::uint64_t version_ = 0;
};

} // namespace willowrill::discovery_client
