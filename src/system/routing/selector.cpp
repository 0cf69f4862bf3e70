#include "system/routing/selector.h"

#include "common/policy/score.h"
#include "system/ownership/ownership.h"

#include <algorithm>
#include <limits>

namespace willowrill::routing {
namespace {

// Prefilling this many tokens takes longer than a round trip between regions.
constexpr std::uint64_t min_remote_cache_tokens = 4096;

// Picks the candidate with the lowest score of a sequence; equal scores have equal chances.
class LowestScorePicker {
  public:
    explicit LowestScorePicker(std::mt19937_64& random) : random_(random) {}

    // Returns whether the candidate with this score replaces the one accepted last.
    bool accept(double score) {
        if (score > lowest_) return false;
        ties_ = score < lowest_ ? 1 : ties_ + 1;
        if (ties_ > 1 && random_() % ties_ != 0) return false;
        lowest_ = score;
        return true;
    }

  private:
    std::mt19937_64& random_;
    double lowest_ = std::numeric_limits<double>::infinity();
    std::size_t ties_ = 0;
};

// Returns whether the worker is warming up and this scheduler has sent it its share of requests.
bool is_warming_share_used(Time now, const Worker& worker, const RoutingRequest& request,
                           const SelectionLimits& limits, budget::ColdBudget& cold_budget) {
    const configuration::Service& service =
        limits.newest_service == nullptr ? *request.service : *limits.newest_service;
    const double rate_per_s = service.cold_rate_per_s;
    if (!worker.is_warming(now) || rate_per_s <= 0) return false;
    const std::string& id = worker.instance.id;
    return !cold_budget.allows(now, id, rate_per_s, limits.scheduler_count, limits.scheduler_rank(id));
}

bool queue_empty(const Worker& worker) {
    return worker.load_report && worker.load_report->queued == 0 && worker.dispatches.empty();
}

Selection make_selection(Worker& worker, Tier tier, double increment, const RoutingRequest& request) {
    Selection selection;
    selection.worker = &worker;
    selection.load_increment = load_increment(request, worker, increment);
    selection.tier = tier;
    selection.tokens_to_prefill = tokens_to_prefill(request.prompt, tier);
    selection.queue_empty = queue_empty(worker);
    return selection;
}

} // namespace

bool Selector::is_eligible(const Worker& worker, const RoutingRequest& request,
                           const SelectionLimits& limits) const {
    const discovery::Instance& instance = worker.instance;
    if (instance.service != request.service->name) return false;
    if (instance.state != discovery::InstanceState::in_service) return false;
    if (limits.evacuated_zones != nullptr && limits.evacuated_zones->contains(instance.zone)) return false;
    if (worker.replaced || request.tried_workers.contains(instance.id)) return false;
    return is_at_home(worker, *request.route) &&
           (limits.newest_route == nullptr || is_at_home(worker, *limits.newest_route));
}

bool Selector::is_at_home(const Worker& worker, const configuration::Route& route) const {
    const std::vector<std::string>& homes = route.home_regions;
    return homes.empty() || std::ranges::count(homes, location_.region_of(worker.instance.zone)) > 0;
}

bool Selector::is_in_own_region(const Worker& worker) const {
    return location_.region_of(worker.instance.zone) == location_.region;
}

Selector::Candidates Selector::find_candidates(Workers& workers, const RoutingRequest& request,
                                               const SelectionLimits& limits) const {
    Candidates candidates;
    for (auto& [id, worker] : workers)
        if (is_eligible(worker, request, limits)) candidates.workers.push_back(&worker);
    candidates.has_worker_in_own_region = std::ranges::any_of(
        candidates.workers, [this](const Worker* worker) { return is_in_own_region(*worker); });
    candidates.cache_holder = find_cache_holder(candidates, request.prompt);
    return candidates;
}

// Returns the worker with the highest rendezvous weight for the shared prompt parts: all schedulers send
// requests with the same shared parts to it. Only workers of the own region are considered, unless prefilling
// the shared parts again takes longer than a round trip to another region, or no candidate is in the own
// region. The worker with the highest weight overall also has the highest weight within its region, so the
// schedulers of that region choose the same one.
std::string Selector::find_cache_holder(const Candidates& candidates, const Prompt& prompt) const {
    if (prompt.shared_prefix_id.empty()) return {};
    const bool search_all_regions =
        !candidates.has_worker_in_own_region || prompt.shared_tokens >= min_remote_cache_tokens;
    std::string cache_holder;
    std::uint64_t highest_weight = 0;
    for (const Worker* worker : candidates.workers) {
        if (!search_all_regions && !is_in_own_region(*worker)) continue;
        const std::uint64_t weight =
            ownership::rendezvous_weight(prompt.shared_prefix_id, worker->instance.id);
        if (cache_holder.empty() || weight > highest_weight) {
            cache_holder = worker->instance.id;
            highest_weight = weight;
        }
    }
    return cache_holder;
}

// If no candidate is in the own region, the other regions count as the region tier.
Tier Selector::tier_of(const Worker& worker, const Candidates& candidates) const {
    const bool has_cache_holder = !candidates.cache_holder.empty();
    if (has_cache_holder && worker.instance.id == candidates.cache_holder) return Tier::cache_holder;
    if (!is_in_own_region(worker))
        return candidates.has_worker_in_own_region ? Tier::other_region : Tier::region;
    return worker.instance.zone == location_.zone ? Tier::zone : Tier::region;
}

Selection Selector::choose(Time now, Workers& workers, const RoutingRequest& request,
                           const SelectionLimits& limits, budget::ColdBudget& cold_budget) {
    const Candidates candidates = find_candidates(workers, request, limits);
    SkippedWorkers skipped;
    Selection selection =
        choose_among(now, candidates, Health::required, request, limits, cold_budget, skipped);
    if (selection.worker == nullptr)
        selection = choose_among(now, candidates, Health::ignored, request, limits, cold_budget, skipped);
    selection.skipped = skipped;
    return selection;
}

Selection Selector::choose_among(Time now, const Candidates& candidates, Health health,
                                 const RoutingRequest& request, const SelectionLimits& limits,
                                 budget::ColdBudget& cold_budget, SkippedWorkers& skipped) {
    const bool has_cache_holder = !candidates.cache_holder.empty();
    Selection best;
    LowestScorePicker lowest_score(random_);
    for (Worker* worker : candidates.workers) {
        if (health == Health::required && worker->is_ejected(now)) {
            ++skipped.ejected;
            continue;
        }
        if (health == Health::required && worker->is_saturated(now)) {
            ++skipped.saturated;
            continue;
        }
        if (is_warming_share_used(now, *worker, request, limits, cold_budget)) {
            ++skipped.warming;
            continue;
        }
        const Tier tier = tier_of(*worker, candidates);
        const double increment = tier_increment(tier, has_cache_holder);
        const double load = effective_load(request, *worker) + worker->dispatch_degradation();
        if (lowest_score.accept(policy::plud_score(load, increment)))
            best = make_selection(*worker, tier, increment, request);
    }
    return best;
}

const std::string& Selector::pick_service(const configuration::Route& route) {
    double total_weight = 0;
    for (const auto& entry : route.distribution)
        total_weight += entry.weight;
    double draw = std::uniform_real_distribution<double>(0, total_weight)(random_);
    for (const auto& entry : route.distribution) {
        if (entry.weight <= 0) continue;
        if (draw < entry.weight) return entry.service;
        draw -= entry.weight;
    }
    // Rounding errors can leave a remainder past the last weight: use the last service that has a weight.
    for (auto entry = route.distribution.rbegin(); entry != route.distribution.rend(); ++entry)
        if (entry->weight > 0) return entry->service;
    return route.distribution.front().service;
}

} // namespace willowrill::routing
