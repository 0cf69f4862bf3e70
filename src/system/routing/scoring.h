// The terms of the PLUD score of a worker for a request: L (load), I (tier increment) and the amount by which
// a dispatch raises X (load dispatched since the last report). `policy::plud_score` adds them up.
#pragma once

#include "system/routing/routing_request.h"
#include "system/routing/worker.h"

#include <cstdint>

namespace willowrill::routing {

// How well a worker suits a request by cache contents and location, from most to least preferred.
enum class Tier { cache_holder, zone, region, other_region };
const char* name_of(Tier tier);

// Returns I. The scheduler's own zone is preferred to the rest of its region only if no worker is expected to
// hold shared parts of the prompt.
double tier_increment(Tier tier, bool has_cache_holder);

// Returns L: the larger of the reported load and the estimated time to prefill the prompts queued at the
// worker as a fraction of the route's latency target.
double effective_load(const RoutingRequest& request, const Worker& worker);

// Returns the number of prompt tokens that a worker of the tier is expected to prefill. The cache holder is
// expected to have the shared parts.
std::uint64_t tokens_to_prefill(const Prompt& prompt, Tier tier);

// Returns the amount by which dispatching the request to the worker raises X. `increment`: I of the worker.
double load_increment(const RoutingRequest& request, const Worker& worker, double increment);

} // namespace willowrill::routing
