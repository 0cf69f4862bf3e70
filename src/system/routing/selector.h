// Which worker a request goes to: PLUD over the workers that may have it. Tiers: the worker that is expected
// to hold the request's shared prompt parts is preferred, others of the zone and region come next, other
// regions are the last resort. Pure but for its random source, which is seeded from outside; one thread.
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

// How many eligible workers a selection passed over, by reason.
struct SkippedWorkers {
    std::size_t saturated = 0; // rejected a request a moment ago
    std::size_t ejected = 0;   // failed here, or are silent
    std::size_t warming = 0;   // have had this scheduler's share
};

struct Selection {
    Worker* worker = nullptr;  // one of the workers given; null: none may have the request
    double load_increment = 0; // what the dispatch adds to X
    Tier tier = Tier::other_region;
    std::uint64_t tokens_to_prefill = 0; // as far as the worker is not expected to hold them
    bool queue_empty = false;            // nothing waits at the worker, as far as is known
    SkippedWorkers skipped;
};

class Selector {
  public:
    Selector(Location location, std::uint64_t seed) : location_(std::move(location)), random_(seed) {}

    // The eligible worker with the lowest score; among equals each with the same chance. Workers that are
    // ejected or saturated are considered only where no other is left.
    Selection choose(Time now, Workers& workers, const RoutingRequest& request, const SelectionLimits& limits,
                     budget::ColdBudget& cold);
    // The service of a route, drawn by the weights of its distribution.
    const std::string& pick_service(const configuration::Route& route);
    const Location& location() const { return location_; }

  private:
    enum class Health { required, ignored };
    // The workers that may have a request, in the order of their ids.
    struct Candidates {
        std::vector<Worker*> workers;
        bool any_in_own_region = false;
        std::string cache_holder; // instance id; empty: none
    };

    bool eligible(const Worker& worker, const RoutingRequest& request, const SelectionLimits& limits) const;
    bool in_own_region(const Worker& worker) const;
    Candidates candidates_for(Workers& workers, const RoutingRequest& request,
                              const SelectionLimits& limits) const;
    std::string cache_holder_of(const Candidates& candidates, const Prompt& prompt) const;
    Tier tier_of(const Worker& worker, const Candidates& candidates) const;
    Selection choose_among(Time now, const Candidates& candidates, Health health,
                           const RoutingRequest& request, const SelectionLimits& limits,
                           budget::ColdBudget& cold, SkippedWorkers& skipped);

    Location location_;
    std::mt19937_64 random_;
};

} // namespace willowrill::routing
