#include "system/budget/cold_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

constexpr double used_share = 0.6; // of what the rule allows
constexpr Time window{1200};       // a second, and what sends of two moments may come together on their way

} // namespace

bool ColdBudget::allows(Time now, const std::string& worker, double rate_per_s, std::size_t schedulers,
                        std::size_t rank) {
    const double all = used_share * (rate_per_s * limits_.excess + limits_.slack);
    const double fair = all / static_cast<double>(std::max<std::size_t>(1, schedulers));
    const bool few = fair < 1;
    if (few && static_cast<double>(rank) + 1 > all) return false;
    const auto most = few ? std::size_t{1} : static_cast<std::size_t>(fair);
    const auto found = sends_.find(worker);
    if (found == sends_.end()) return true;
    std::deque<Time>& times = found->second;
    while (!times.empty() && now - times.front() > window)
        times.pop_front();
    return times.size() < most;
}

void ColdBudget::note_send(Time now, const std::string& worker) { sends_[worker].push_back(now); }

void ColdBudget::sweep(Time now) {
    std::erase_if(sends_,
                  [&](const auto& item) { return item.second.empty() || now - item.second.back() > window; });
}

} // namespace willowrill::budget
