#include "system/budget/retry_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

// Of what the rule allows: retries are counted where they arrive, a little later and in other windows than
// here.
constexpr double used_fraction = 0.7;

} // namespace

bool RetryBudget::try_acquire(Time now, std::size_t schedulers) {
    const double own_slack = limits_.slack / static_cast<double>(std::max<std::size_t>(1, schedulers));
    const double by_requests = limits_.ratio * static_cast<double>(requests_.count(now));
    const double allowed = used_fraction * (by_requests + own_slack);
    if (static_cast<double>(retries_.count(now)) + 1 > allowed) return false;
    retries_.record(now);
    return true;
}

} // namespace willowrill::budget
