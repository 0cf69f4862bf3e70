// What a replica is given at its start.
#pragma once

#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace willowrill::replication {

struct Options {
    MemberId self;
    bool initial_start = false;       // the first start of the whole core: an empty disk is no lost disk
    std::vector<MemberId> seeds;      // the witnesses and in-sync set of the initial epoch
    std::size_t tolerated_losses = 1; // members that may be lost at once, disks included
    Timing timing{};
    std::uint64_t random_seed = 1;
};

} // namespace willowrill::replication
