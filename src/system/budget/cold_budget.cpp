#include "system/budget/cold_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

constexpr double usable_fraction = 0.6; // of the bound; the rest is a safety margin
// One second, plus the time by which differing network delays can bring two requests closer together on
// arrival.
constexpr Time window_length{1200};

} // namespace

bool ColdBudget::allows(Time now, const std::string& worker_id, double rate_per_s,
                        std::size_t scheduler_count, std::size_t rank) {
    const double total = usable_fraction * (rate_per_s * limits_.excess + limits_.slack);
    const double fair_share = total / static_cast<double>(std::max<std::size_t>(1, scheduler_count));
    const bool limited_by_rank = fair_share < 1;
    if (limited_by_rank && static_cast<double>(rank) + 1 > total) return false;
    const auto max_sends = limited_by_rank ? std::size_t{1} : static_cast<std::size_t>(fair_share);
    const auto sends = sends_.find(worker_id);
    return sends == sends_.end() || sends->second.count(now) < max_sends;
}

void ColdBudget::record_send(Time now, const std::string& worker_id) {
    sends_.try_emplace(worker_id, window_length).first->second.record(now);
}

void ColdBudget::remove_idle_workers(Time now) {
    std::erase_if(sends_, [&](const auto& entry) { return entry.second.empty_at(now); });
}

} // namespace willowrill::budget
