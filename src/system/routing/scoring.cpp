#include "system/routing/scoring.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

// The increments of the paper's three tiers.
constexpr double preferred_increment = 0.1;
constexpr double next_increment = 0.2;
constexpr double last_resort_increment = 1.0;
// The next tier of a request whose prompt another worker holds parts of: to prefill them again takes that
// worker's time from all that wait there, so that a longer wait at the cache holder is the lesser evil.
constexpr double without_cache_increment = 0.4;
// Waiting counts for no more: a response that is late anyway is not to be prefilled anew in another region,
// which would be late next.
constexpr double max_waiting_load = 0.8;
// X grows by the tier's I, scaled so that at the preferred tier it is the share that the request takes.
constexpr double increment_scale = 10;

// What a request takes of a worker: a place or, where that is more, cache for its tokens.
double capacity_share(const RoutingRequest& request, const Worker& worker) {
    const double place = 1 / static_cast<double>(std::max<std::size_t>(1, worker.instance.capacity));
    if (!request.service->has_engine || request.service->cache_tokens == 0) return place;
    return std::max(place, static_cast<double>(request.prompt.tokens) /
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

double load_for(const RoutingRequest& request, const Worker& worker) {
    const double reported = worker.reported_load();
    const auto target_ms = static_cast<double>(request.route->target.count());
    if (request.prefill_cost == nullptr || !worker.load_report || target_ms <= 0) return reported;
    const double wait_ms =
        static_cast<double>(worker.load_report->queued) * request.prefill_cost->mean_milliseconds();
    return std::max(reported, std::min(max_waiting_load, wait_ms / target_ms));
}

std::uint64_t tokens_to_prefill(const Prompt& prompt, Tier tier) {
    const std::uint64_t cached = tier == Tier::cache_holder ? prompt.shared_tokens : 0;
    return prompt.input_tokens - std::min(prompt.input_tokens, cached);
}

double load_increment(const RoutingRequest& request, const Worker& worker, double increment) {
    return increment * increment_scale * capacity_share(request, worker);
}

} // namespace willowrill::routing
