// The parts of the PLUD score of a worker for a request: L from its load report, I from its tier, and what a
// dispatch adds to X. The sum is `policy::plud_score`. Pure.
#pragma once

#include "system/routing/routing_request.h"
#include "system/routing/worker.h"

#include <cstdint>

namespace willowrill::routing {

// Why a worker is preferred for a request: the order of the tiers' increments.
enum class Tier { cache_holder, zone, region, other_region };
const char* name_of(Tier tier);

// I. The own zone is preferred where no worker holds parts of the prompt.
double tier_increment(Tier tier, bool has_cache_holder);

// L: the share of the capacity or of the cache in use or, where that is more, the share of the route's
// latency target that passes before the prompts that wait at the worker are prefilled.
double load_for(const RoutingRequest& request, const Worker& worker);

// Prompt tokens that a worker of the tier is expected to prefill: the cache holder has the shared ones.
std::uint64_t tokens_to_prefill(const Prompt& prompt, Tier tier);

// What the dispatch of the request to the worker adds to X. `increment`: of the worker's tier.
double load_increment(const RoutingRequest& request, const Worker& worker, double increment);

} // namespace willowrill::routing
