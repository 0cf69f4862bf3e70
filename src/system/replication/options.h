// Startup options of a replica.
#pragma once

#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace willowrill::replication {

struct Options {
    MemberId self;
    bool initial_start = false;       // first start of the whole core: an empty disk is expected
    std::vector<MemberId> seeds;      // the witnesses and in-sync set of the initial epoch
    std::size_t tolerated_losses = 1; // members that may fail at once, including their disks
    Timing timing{};
    std::uint64_t random_seed = 1;
};

} // namespace willowrill::replication
