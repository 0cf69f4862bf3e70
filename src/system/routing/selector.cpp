#include "system/routing/selector.h"

#include "common/policy/score.h"
#include "system/ownership/ownership.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace willowrill::routing {
namespace {

// The increments of the paper's three tiers.
constexpr double preferred = 0.1;
constexpr double next = 0.2;
constexpr double last_resort = 1.0;
// The next tier of a request whose prompt another worker holds parts of: to read them again takes that
// worker's time from all that wait there, so that a longer wait at the holder is the lesser evil.
constexpr double without_parts = 0.4;
// Waiting counts for no more: an answer that is late anyway is not to be read anew in another region, which
// would be late next.
constexpr double most_waiting = 0.8;
// X grows by the tier's I, scaled so that at the preferred tier it is the share that the request takes.
constexpr double steps_per_increment = 10;
// To read so many tokens takes longer than a round trip between regions.
constexpr std::uint64_t far_holder_tokens = 4096;

// What a request takes of a worker: a place or, where that is more, memory for its tokens.
double share_of(const RoutingRequest& request, const Worker& worker) {
    const double place = 1 / static_cast<double>(std::max<std::size_t>(1, worker.instance.capacity));
    if (!request.service->has_engine || request.service->cache_tokens == 0) return place;
    return std::max(place, static_cast<double>(request.prompt.tokens) /
                               static_cast<double>(request.service->cache_tokens));
}

// Prompt tokens that a worker of the tier is expected to read: the holder has the shared ones.
std::uint64_t tokens_to_read(const Prompt& prompt, Tier tier) {
    const std::uint64_t held = tier == Tier::cache_holder ? prompt.shared_tokens : 0;
    return prompt.input_tokens - std::min(prompt.input_tokens, held);
}

// L: the share of the places or the memory taken or, where that is more, the share of the time in which the
// answer is to begin that passes before the prompts that wait at the worker are read.
double load_of(const RoutingRequest& request, const Worker& worker) {
    const auto target = static_cast<double>(request.route->target.count());
    if (request.prefill == nullptr || !worker.load_report || target <= 0) return worker.load();
    const double wait_ms =
        static_cast<double>(worker.load_report->queued) * request.prefill->mean_milliseconds();
    return std::max(worker.load(), std::min(most_waiting, wait_ms / target));
}

// The increment of a tier. The own zone is preferred where nobody holds parts of the prompt.
double increment(Tier tier, bool has_holder) {
    switch (tier) {
    case Tier::cache_holder:
        return preferred;
    case Tier::zone:
        return has_holder ? without_parts : preferred;
    case Tier::region:
        return has_holder ? without_parts : next;
    case Tier::elsewhere:
        break;
    }
    return last_resort;
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
    case Tier::elsewhere:
        break;
    }
    return "elsewhere";
}

const std::string& Place::region_of(const std::string& other) const {
    const auto found = regions.find(other);
    return found == regions.end() ? other : found->second;
}

namespace {

std::uint64_t tokens_in(std::string_view text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    constexpr std::uint64_t most = 1U << 30U; // a client may claim anything
    return std::min(out, most);
}

} // namespace

Prompt read_prompt(std::string_view prompt_prefix, std::string_view token_count) {
    Prompt out;
    const std::size_t comma = token_count.find(',');
    out.input_tokens = tokens_in(token_count.substr(0, comma));
    out.tokens = out.input_tokens;
    if (comma != std::string_view::npos) out.tokens += tokens_in(token_count.substr(comma + 1));
    for (std::size_t end = prompt_prefix.find(','); end != std::string_view::npos;
         end = prompt_prefix.find(',')) {
        const std::string_view part = prompt_prefix.substr(0, end);
        prompt_prefix.remove_prefix(end + 1);
        const std::size_t colon = part.find(':');
        out.shared_key = std::string(part.substr(0, colon));
        if (colon != std::string_view::npos) out.shared_tokens += tokens_in(part.substr(colon + 1));
    }
    return out;
}

bool Selector::eligible(const Worker& worker, const RoutingRequest& request,
                        const SelectionLimits& bounds) const {
    const discovery::Instance& instance = worker.instance;
    if (instance.service != request.service->name) return false;
    if (instance.state != discovery::InstanceState::in_service) return false;
    if (bounds.evacuated != nullptr && bounds.evacuated->contains(instance.zone)) return false;
    if (worker.replaced || request.tried.contains(instance.id)) return false;
    const auto& homes = request.route->home_regions;
    return homes.empty() || std::ranges::count(homes, place_.region_of(instance.zone)) > 0;
}

// The worker that all schedulers send this prompt's kin to: of this region, or of all where reading the
// shared parts again takes longer than the way to another region, or where no worker of this region may have
// it. The first of all is also the first of its own region, so that it is the one which that region's
// schedulers take.
std::string Selector::holder_of(const std::vector<Worker*>& able, const Prompt& prompt, bool any_near) const {
    if (prompt.shared_key.empty()) return {};
    const bool anywhere = !any_near || prompt.shared_tokens >= far_holder_tokens;
    std::string best;
    std::uint64_t best_weight = 0;
    for (const Worker* worker : able) {
        if (!anywhere && !near(*worker)) continue;
        const std::uint64_t weight = ownership::rendezvous_weight(prompt.shared_key, worker->instance.id);
        if (best.empty() || weight > best_weight) {
            best = worker->instance.id;
            best_weight = weight;
        }
    }
    return best;
}

// Where none is near, all regions are as good as the next one.
Tier Selector::tier_of(const Worker& worker, const std::string& holder, bool any_near) const {
    if (!holder.empty() && worker.instance.id == holder) return Tier::cache_holder;
    if (!near(worker)) return any_near ? Tier::elsewhere : Tier::region;
    return worker.instance.zone == place_.zone ? Tier::zone : Tier::region;
}

Selection Selector::choose(Time now, Workers& workers, const RoutingRequest& request,
                           const SelectionLimits& bounds, budget::ColdBudget& cold) {
    std::vector<Worker*> able;
    for (auto& [id, worker] : workers)
        if (eligible(worker, request, bounds)) able.push_back(&worker);
    const bool any_near = std::ranges::any_of(able, [this](const Worker* worker) { return near(*worker); });
    const std::string holder = holder_of(able, request.prompt, any_near);

    Selection best;
    SkippedWorkers skipped;
    double best_score = std::numeric_limits<double>::infinity();
    std::size_t ties = 0;
    // In health and not full first; where there is none, whoever is left.
    for (const bool anyone : {false, true}) {
        for (Worker* worker : able) {
            if (!anyone && worker->ejected(now)) {
                ++skipped.ejected;
                continue;
            }
            if (!anyone && now < worker->saturated_until) {
                ++skipped.saturated;
                continue;
            }
            const std::string& id = worker->instance.id;
            const double rate = request.service->cold_rate_per_s;
            const bool is_cold = now < worker->warming_until && rate > 0;
            if (is_cold && !cold.allows(now, id, rate, bounds.schedulers, bounds.cold_rank(id))) {
                ++skipped.warming;
                continue;
            }
            const Tier tier = tier_of(*worker, holder, any_near);
            const double step = increment(tier, !holder.empty());
            const double total = policy::total(load_of(request, *worker) + worker->degradation(), step);
            if (total > best_score) continue;
            ties = total < best_score ? 1 : ties + 1;
            if (ties > 1 && random_() % ties != 0) continue;
            best_score = total;
            best = {worker,
                    step * steps_per_increment * share_of(request, *worker),
                    tier,
                    tokens_to_read(request.prompt, tier),
                    worker->load_report && worker->load_report->queued == 0 && worker->dispatches.empty(),
                    {}};
        }
        best.skipped = skipped;
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
