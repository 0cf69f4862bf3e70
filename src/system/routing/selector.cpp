#include "system/routing/selector.h"

#include "common/policy/score.h"
#include "system/ownership/ownership.h"

#include <algorithm>
#include <limits>

namespace willowrill::routing {
namespace {

// To prefill so many tokens takes longer than a round trip between regions.
constexpr std::uint64_t remote_holder_tokens = 4096;

// Finds the lowest of a row of scores; of equal ones each is taken with the same chance.
class LowestScore {
  public:
    explicit LowestScore(std::mt19937_64& random) : random_(random) {}

    // Whether the candidate with that score replaces the one accepted last.
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

// Whether a worker that warms up has had this scheduler's share of requests.
bool warming_share_used(Time now, const Worker& worker, const RoutingRequest& request,
                        const SelectionLimits& limits, budget::ColdBudget& cold) {
    const double rate = request.service->cold_rate_per_s;
    if (!worker.is_warming(now) || rate <= 0) return false;
    const std::string& id = worker.instance.id;
    return !cold.allows(now, id, rate, limits.schedulers, limits.cold_rank(id));
}

bool queue_empty(const Worker& worker) {
    return worker.load_report && worker.load_report->queued == 0 && worker.dispatches.empty();
}

Selection selection_of(Worker& worker, Tier tier, double increment, const RoutingRequest& request) {
    Selection out;
    out.worker = &worker;
    out.load_increment = load_increment(request, worker, increment);
    out.tier = tier;
    out.tokens_to_prefill = tokens_to_prefill(request.prompt, tier);
    out.queue_empty = queue_empty(worker);
    return out;
}

} // namespace

bool Selector::eligible(const Worker& worker, const RoutingRequest& request,
                        const SelectionLimits& limits) const {
    const discovery::Instance& instance = worker.instance;
    if (instance.service != request.service->name) return false;
    if (instance.state != discovery::InstanceState::in_service) return false;
    if (limits.evacuated != nullptr && limits.evacuated->contains(instance.zone)) return false;
    if (worker.replaced || request.tried_workers.contains(instance.id)) return false;
    const auto& homes = request.route->home_regions;
    return homes.empty() || std::ranges::count(homes, location_.region_of(instance.zone)) > 0;
}

bool Selector::in_own_region(const Worker& worker) const {
    return location_.region_of(worker.instance.zone) == location_.region;
}

Selector::Candidates Selector::candidates_for(Workers& workers, const RoutingRequest& request,
                                              const SelectionLimits& limits) const {
    Candidates out;
    for (auto& [id, worker] : workers)
        if (eligible(worker, request, limits)) out.workers.push_back(&worker);
    out.any_in_own_region =
        std::ranges::any_of(out.workers, [this](const Worker* worker) { return in_own_region(*worker); });
    out.cache_holder = cache_holder_of(out, request.prompt);
    return out;
}

// The worker that all schedulers send requests with the same shared parts to: of this region, or of all where
// to prefill the shared parts again takes longer than the way to another region, or where no worker of this
// region may have it. The first of all is also the first of its own region, so that it is the one which that
// region's schedulers take.
std::string Selector::cache_holder_of(const Candidates& candidates, const Prompt& prompt) const {
    if (prompt.shared_key.empty()) return {};
    const bool in_any_region = !candidates.any_in_own_region || prompt.shared_tokens >= remote_holder_tokens;
    std::string best;
    std::uint64_t best_weight = 0;
    for (const Worker* worker : candidates.workers) {
        if (!in_any_region && !in_own_region(*worker)) continue;
        const std::uint64_t weight = ownership::rendezvous_weight(prompt.shared_key, worker->instance.id);
        if (best.empty() || weight > best_weight) {
            best = worker->instance.id;
            best_weight = weight;
        }
    }
    return best;
}

// Where no candidate is in the own region, all regions are as good as the next one.
Tier Selector::tier_of(const Worker& worker, const Candidates& candidates) const {
    const bool has_holder = !candidates.cache_holder.empty();
    if (has_holder && worker.instance.id == candidates.cache_holder) return Tier::cache_holder;
    if (!in_own_region(worker)) return candidates.any_in_own_region ? Tier::other_region : Tier::region;
    return worker.instance.zone == location_.zone ? Tier::zone : Tier::region;
}

Selection Selector::choose(Time now, Workers& workers, const RoutingRequest& request,
                           const SelectionLimits& limits, budget::ColdBudget& cold) {
    const Candidates candidates = candidates_for(workers, request, limits);
    SkippedWorkers skipped;
    Selection out = choose_among(now, candidates, Health::required, request, limits, cold, skipped);
    if (out.worker == nullptr)
        out = choose_among(now, candidates, Health::ignored, request, limits, cold, skipped);
    out.skipped = skipped;
    return out;
}

Selection Selector::choose_among(Time now, const Candidates& candidates, Health health,
                                 const RoutingRequest& request, const SelectionLimits& limits,
                                 budget::ColdBudget& cold, SkippedWorkers& skipped) {
    const bool has_holder = !candidates.cache_holder.empty();
    Selection best;
    LowestScore lowest(random_);
    for (Worker* worker : candidates.workers) {
        if (health == Health::required && worker->is_ejected(now)) {
            ++skipped.ejected;
            continue;
        }
        if (health == Health::required && worker->is_saturated(now)) {
            ++skipped.saturated;
            continue;
        }
        if (warming_share_used(now, *worker, request, limits, cold)) {
            ++skipped.warming;
            continue;
        }
        const Tier tier = tier_of(*worker, candidates);
        const double increment = tier_increment(tier, has_holder);
        const double load = load_for(request, *worker) + worker->dispatch_degradation();
        if (lowest.accept(policy::plud_score(load, increment)))
            best = selection_of(*worker, tier, increment, request);
    }
    return best;
}

const std::string& Selector::pick_service(const configuration::Route& route) {
    double sum = 0;
    for (const auto& part : route.distribution)
        sum += part.weight;
    double at = std::uniform_real_distribution<double>(0, sum)(random_);
    for (const auto& part : route.distribution) {
        if (part.weight <= 0) continue;
        if (at < part.weight) return part.service;
        at -= part.weight;
    }
    // Rounding: the last that has any weight.
    for (auto part = route.distribution.rbegin(); part != route.distribution.rend(); ++part)
        if (part->weight > 0) return part->service;
    return route.distribution.front().service;
}

} // namespace willowrill::routing
