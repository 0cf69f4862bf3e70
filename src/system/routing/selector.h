// Selects the worker for a request.
#pragma once

#include "system/budget/cold_budget.h"
#include "system/routing/location.h"
#include "system/routing/routing_request.h"
#include "system/routing/scoring.h"
#include "system/routing/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::routing {

using Workers = std::map<std::string, Worker>; // by instance id

// Numbers of eligible workers that a selection skipped, by reason.
struct SkippedWorkers {
    std::size_t saturated = 0; // rejected a request recently
    std::size_t ejected = 0;   // failed a request of this scheduler, or do not answer probes
    std::size_t warming = 0;   // this scheduler's share of requests to a worker that warms up is used up
};

struct Selection {
    Worker* worker = nullptr;  // points into the given workers; null: no worker can take the request
    double load_increment = 0; // the amount by which the dispatch raises X
    Tier tier = Tier::other_region;
    std::uint64_t tokens_to_prefill = 0; // prompt tokens that the worker is not expected to have cached
    bool queue_empty = false;            // true if the worker is known to have no queued requests
    SkippedWorkers skipped;
};

// Selects workers by their PLUD score. The tiers prefer the worker that is expected to have cached the shared
// parts of the prompt, then other workers of the scheduler's zone and region; other regions are the last
// resort. Results depend only on the arguments and the seed. Not thread-safe.
class Selector {
  public:
    Selector(Location location, std::uint64_t seed) : location_(std::move(location)), random_(seed) {}

    // Selects the eligible worker with the lowest score; ties are broken at random with equal probability.
    // Ejected and saturated workers are considered only if there is no other.
    Selection choose(Time now, Workers& workers, const RoutingRequest& request, const SelectionLimits& limits,
                     budget::ColdBudget& cold_budget);
    // Whether the request may be sent to the worker, whatever its load and health.
    bool is_eligible(const Worker& worker, const RoutingRequest& request,
                     const SelectionLimits& limits) const;
    // Draws one of the route's services at random, with the weights of its distribution.
    const std::string& pick_service(const configuration::Route& route);
    const Location& location() const { return location_; }

  private:
    // Whether ejected and saturated workers are excluded.
    enum class Health { required, ignored };
    // The eligible workers of a request, ordered by id.
    struct Candidates {
        std::vector<Worker*> workers;
        bool has_worker_in_own_region = false;
        std::string cache_holder; // instance id; empty: none
    };

    bool is_at_home(const Worker& worker, const configuration::Route& route) const;
    bool is_in_own_region(const Worker& worker) const;
    Candidates find_candidates(Workers& workers, const RoutingRequest& request,
                               const SelectionLimits& limits) const;
    std::string find_cache_holder(const Candidates& candidates, const Prompt& prompt) const;
    Tier tier_of(const Worker& worker, const Candidates& candidates) const;
    // Selects among the candidates and adds those that it skips to `skipped`.
    Selection choose_among(Time now, const Candidates& candidates, Health health,
                           const RoutingRequest& request, const SelectionLimits& limits,
                           budget::ColdBudget& cold_budget, SkippedWorkers& skipped);

    Location location_;
    std::mt19937_64 random_;
};

} // namespace willowrill::routing
