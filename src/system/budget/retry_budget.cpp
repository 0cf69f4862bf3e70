#include "system/budget/retry_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

// Of what the rule allows: sends are counted where they arrive, a little later and in other windows than
// here.
constexpr double used_share = 0.7;

} // namespace

void RetryBudget::note_request(Time now) {
    forget(now);
    requests_.push_back(now);
}

bool RetryBudget::take(Time now, std::size_t schedulers) {
    forget(now);
    const double own_slack = limits_.slack / static_cast<double>(std::max<std::size_t>(1, schedulers));
    const double allowed = used_share * (limits_.ratio * static_cast<double>(requests_.size()) + own_slack);
    if (static_cast<double>(repeats_.size()) + 1 > allowed) return false;
    repeats_.push_back(now);
    return true;
}

void RetryBudget::forget(Time now) {
    while (!requests_.empty() && now - requests_.front() > limits_.window)
        requests_.pop_front();
    while (!repeats_.empty() && now - repeats_.front() > limits_.window)
        repeats_.pop_front();
}

} // namespace willowrill::budget
