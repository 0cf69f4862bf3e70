// The active configuration of this scheduler: the newest committed configuration and evacuations that it has
// received, never an older one than before. Requests keep the snapshot that they began with, which
// says what their client is given; where they may be sent is asked of the newest one at each send. Immutable.
#pragma once

#include "system/configuration/configuration.h"
#include "system/replication/types.h"

#include <memory>
#include <set>
#include <string>

namespace willowrill::data {

struct ActiveConfiguration {
    ActiveConfiguration(replication::Position at, configuration::Configuration parsed,
                        std::set<std::string> zones)
        : position(at), configuration(std::move(parsed)), routes(configuration), evacuated(std::move(zones)) {
    }
    ActiveConfiguration(const ActiveConfiguration&) = delete;
    ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

    replication::Position position;
    configuration::Configuration configuration;
    configuration::RouteTable routes; // points into `configuration`
    std::set<std::string> evacuated;
};
using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

} // namespace willowrill::data
