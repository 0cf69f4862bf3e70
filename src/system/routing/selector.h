// Which worker a request goes to: PLUD over the workers that may have it. Tiers: a worker of the scheduler's
// region that holds the request's shared prompt parts is preferred, others of the zone and region come next,
// other regions are the last resort. Pure; randomness comes from outside.
#pragma once

#include "system/budget/cold_budget.h"
#include "system/configuration/configuration.h"
#include "system/routing/prefill_cost.h"
#include "system/routing/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::routing {

// Where this scheduler stands.
struct Place {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions; // of each zone
    const std::string& region_of(const std::string& zone) const;
};

// What a model request says of its prompt.
struct Prompt {
    std::string shared_key;          // the deepest part that others may share, empty where there is none
    std::uint64_t shared_tokens = 0; // of all parts that may be shared
    std::uint64_t input_tokens = 0;  // of the whole prompt
    std::uint64_t tokens = 0;        // of the whole prompt, and the most that may go out
};

// What is asked for.
struct RoutingRequest {
    const configuration::Route* route = nullptr;
    const configuration::Service* service = nullptr;
    Prompt prompt;
    const PrefillCost* prefill = nullptr; // of the service, where it is a model's
    std::set<std::string> tried;          // workers that had this request or could not be reached
};

// What else bounds the selection.
struct SelectionLimits {
    const std::set<std::string>* evacuated = nullptr;
    std::size_t schedulers = 1;
    std::function<std::size_t(const std::string&)> cold_rank; // this scheduler's place in a worker's order
};

using Workers = std::map<std::string, Worker>; // by instance id

// Why a worker is near or far for a request: the order of its increments.
enum class Tier { cache_holder, zone, region, elsewhere };
const char* name_of(Tier tier);

// Workers that a choice did not consider though they may have the request.
struct SkippedWorkers {
    std::size_t saturated = 0; // turned a request away a moment ago
    std::size_t ejected = 0;   // failed here, or are silent
    std::size_t warming = 0;   // have had their share
};

struct Selection {
    Worker* worker = nullptr; // null: none may have it
    double step = 0;          // what the dispatch adds to X
    Tier tier = Tier::elsewhere;
    std::uint64_t tokens_to_read = 0; // as far as the worker is not expected to hold them
    bool nothing_waits = false;       // at the worker, as far as is known
    SkippedWorkers skipped;
};

// Why nobody was chosen, for the answer.
class Selector {
  public:
    Selector(Place place, std::uint64_t seed) : place_(std::move(place)), random_(seed) {}

    Selection choose(Time now, Workers& workers, const RoutingRequest& request, const SelectionLimits& bounds,
                     budget::ColdBudget& cold);
    // The service of a route by its weights.
    const std::string& pick_service(const configuration::Route& route);
    const Place& place() const { return place_; }

  private:
    bool eligible(const Worker& worker, const RoutingRequest& request, const SelectionLimits& bounds) const;
    bool near(const Worker& worker) const { return place_.region_of(worker.instance.zone) == place_.region; }
    Tier tier_of(const Worker& worker, const std::string& holder, bool any_near) const;
    std::string holder_of(const std::vector<Worker*>& able, const Prompt& prompt, bool any_near) const;

    Place place_;
    std::mt19937_64 random_;
};

// Reads `Prompt-Prefix` ("ID:TOKENS,...", the last part the request's own) and `Token-Count` ("IN,OUT"). What
// makes no sense counts as nothing.
Prompt read_prompt(std::string_view prompt_prefix, std::string_view token_count);

} // namespace willowrill::routing
