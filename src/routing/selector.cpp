#include "routing/selector.h"

#include "ownership/ownership.h"
#include "policy/score.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

// The increments of the paper's three tiers.
constexpr double preferred = 0.1;
constexpr double next = 0.2;
constexpr double last_resort = 1.0;
// A dispatch takes one place: X grows by the tier's I, scaled so that the preferred tier's step is one place.
constexpr double steps_per_place = 10;

} // namespace

const std::string& Place::region_of(const std::string& other) const {
    const auto found = regions.find(other);
    return found == regions.end() ? other : found->second;
}

std::string shared_prompt_key(std::string_view prompt_prefix) {
    const std::size_t last = prompt_prefix.rfind(',');
    if (last == std::string_view::npos) return {};
    std::string_view shared = prompt_prefix.substr(0, last);
    if (const std::size_t before = shared.rfind(','); before != std::string_view::npos)
        shared.remove_prefix(before + 1);
    return std::string(shared.substr(0, shared.find(':')));
}

bool Selector::eligible(const Worker& worker, const Demand& demand, const Bounds& bounds) const {
    const discovery::Instance& instance = worker.instance;
    if (instance.service != demand.service->name) return false;
    if (instance.state != discovery::InstanceState::in_service) return false;
    if (bounds.evacuated != nullptr && bounds.evacuated->contains(instance.zone)) return false;
    if (demand.tried.contains(instance.id)) return false;
    const auto& homes = demand.route->home_regions;
    return homes.empty() || std::ranges::count(homes, place_.region_of(instance.zone)) > 0;
}

// The worker of the nearest region that all schedulers there send this prompt's kin to.
std::string Selector::holder_of(const std::vector<Worker*>& able, const std::string& prompt_key) const {
    if (prompt_key.empty()) return {};
    std::string best;
    std::uint64_t best_weight = 0;
    for (const Worker* worker : able) {
        if (place_.region_of(worker->instance.zone) != place_.region) continue;
        const std::uint64_t weight = ownership::rendezvous_weight(prompt_key, worker->instance.id);
        if (best.empty() || weight > best_weight) {
            best = worker->instance.id;
            best_weight = weight;
        }
    }
    return best;
}

double Selector::increment(const Worker& worker, const std::string& holder) const {
    if (place_.region_of(worker.instance.zone) != place_.region) return last_resort;
    if (holder.empty()) return worker.instance.zone == place_.zone ? preferred : next;
    return worker.instance.id == holder ? preferred : next;
}

Choice Selector::choose(Time now, Workers& workers, const Demand& demand, const Bounds& bounds,
                        budget::ColdBudget& cold) {
    std::vector<Worker*> able;
    for (auto& [id, worker] : workers)
        if (eligible(worker, demand, bounds)) able.push_back(&worker);
    const std::string holder = holder_of(able, demand.prompt_key);

    Choice best;
    double best_score = policy::unreachable;
    std::size_t ties = 0;
    // In health and not full first; where there is none, whoever is left.
    for (const bool anyone : {false, true}) {
        for (Worker* worker : able) {
            if (!anyone && (worker->suspect(now) || now < worker->full_until)) continue;
            const std::string& id = worker->instance.id;
            const double rate = demand.service->cold_rate_per_s;
            const bool is_cold = now < worker->cold_until && rate > 0;
            if (is_cold && !cold.allows(now, id, rate, bounds.schedulers, bounds.cold_rank(id))) continue;
            const double tier = increment(*worker, holder);
            const policy::Score score{worker->load(), tier, worker->degradation()};
            const double total = score.total();
            if (total > best_score) continue;
            ties = total < best_score ? 1 : ties + 1;
            if (ties > 1 && random_() % ties != 0) continue;
            best_score = total;
            const auto places = static_cast<double>(std::max<std::size_t>(1, worker->instance.capacity));
            best = {worker, tier * steps_per_place / places};
        }
        if (best.worker != nullptr) return best;
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
