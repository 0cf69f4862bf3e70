#include "system/budget/cold_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

constexpr double used_fraction = 0.6; // of what the rule allows
constexpr Time window{1200};          // a second, and by how much sends of two moments may draw together

} // namespace

bool ColdBudget::allows(Time now, const std::string& worker, double rate_per_s, std::size_t schedulers,
                        std::size_t rank) {
    const double total = used_fraction * (rate_per_s * limits_.excess + limits_.slack);
    const double fair_share = total / static_cast<double>(std::max<std::size_t>(1, schedulers));
    const bool by_rank = fair_share < 1;
    if (by_rank && static_cast<double>(rank) + 1 > total) return false;
    const auto max_sends = by_rank ? std::size_t{1} : static_cast<std::size_t>(fair_share);
    const auto sends = sends_.find(worker);
    return sends == sends_.end() || sends->second.count(now) < max_sends;
}

void ColdBudget::record_send(Time now, const std::string& worker) {
    sends_.try_emplace(worker, window).first->second.record(now);
}

void ColdBudget::remove_idle_workers(Time now) {
    std::erase_if(sends_, [&](const auto& item) { return item.second.empty_at(now); });
}

} // namespace willowrill::budget
