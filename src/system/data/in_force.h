// What is in force at this scheduler: the newest committed configuration and evacuations it was told, never
// an older one than before. Requests keep the snapshot they began with.
#pragma once

#include "system/configuration/configuration.h"
#include "system/replication/types.h"

#include <memory>
#include <set>
#include <string>

namespace willowrill::data {

struct Snapshot {
    Snapshot(replication::Position at, configuration::Configuration parsed, std::set<std::string> zones)
        : position(at), configuration(std::move(parsed)), routes(configuration), evacuated(std::move(zones)) {
    }
    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    replication::Position position;
    configuration::Configuration configuration;
    configuration::RouteTable routes; // points into `configuration`
    std::set<std::string> evacuated;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace willowrill::data
