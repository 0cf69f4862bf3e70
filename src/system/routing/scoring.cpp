#include "system/routing/scoring.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

// The increments of the three tiers in the PLUD paper.
constexpr double preferred_increment = 0.1;
constexpr double next_increment = 0.2;
constexpr double last_resort_increment = 1.0;
// Increment of the other workers of the region if a cache holder exists. Prefilling the shared parts again on
// such a worker delays all requests that are queued there, so a longer wait at the cache holder is preferred.
constexpr double without_cache_increment = 0.4;
// Upper bound of the load that queued prompts add. Without it, a request whose response is late in any case
// would be prefilled again in another region and delay the requests there as well.
constexpr double max_queueing_load = 0.8;
// X grows by the tier's I times this factor, which makes the growth at the preferred tier equal to the
// request's share of the worker's capacity.
constexpr double increment_scale = 10;

// Returns the share of the worker's capacity that the request takes: of its concurrency slots or of its
// cache, whichever is larger.
double capacity_share(const RoutingRequest& request, const Worker& worker) {
    const double slot_share = 1 / static_cast<double>(std::max<std::size_t>(1, worker.instance.capacity));
    if (!request.service->has_engine || request.service->cache_tokens == 0) return slot_share;
    return std::max(slot_share, static_cast<double>(request.prompt.total_tokens) /
                                    static_cast<double>(request.service->cache_tokens));
}

} // namespace

const char* name_of(Tier tier) {
    switch (tier) {
    case Tier::cache_holder:
        return "holder";
    case Tier::zone:
        return "zone";
    case Tier::region:
        return "region";
    case Tier::other_region:
        break;
    }
    return "elsewhere";
}

double tier_increment(Tier tier, bool has_cache_holder) {
    switch (tier) {
    case Tier::cache_holder:
        return preferred_increment;
    case Tier::zone:
        return has_cache_holder ? without_cache_increment : preferred_increment;
    case Tier::region:
        return has_cache_holder ? without_cache_increment : next_increment;
    case Tier::other_region:
        break;
    }
    return last_resort_increment;
}

double effective_load(const RoutingRequest& request, const Worker& worker) {
    const double reported_load = worker.reported_load();
    const auto target_ms = static_cast<double>(request.route->target.count());
    if (request.prefill_cost == nullptr || !worker.load_report || target_ms <= 0) return reported_load;
    const double wait_ms =
        static_cast<double>(worker.load_report->queued) * request.prefill_cost->mean_request_ms();
    return std::max(reported_load, std::min(max_queueing_load, wait_ms / target_ms));
}

std::uint64_t tokens_to_prefill(const Prompt& prompt, Tier tier) {
    const std::uint64_t cached_tokens = tier == Tier::cache_holder ? prompt.shared_tokens : 0;
    return prompt.input_tokens - std::min(prompt.input_tokens, cached_tokens);
}

double load_increment(const RoutingRequest& request, const Worker& worker, double increment) {
    return increment * increment_scale * capacity_share(request, worker);
}

} // namespace willowrill::routing
