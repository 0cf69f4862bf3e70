#include "system/budget/retry_budget.h"

#include <algorithm>

namespace willowrill::budget {
namespace {

// Fraction of the bound that is used. The margin is needed because the bound applies to retries as they
// arrive at the workers, slightly later than they are counted here and therefore in different windows.
constexpr double usable_fraction = 0.7;

} // namespace

bool RetryBudget::try_acquire(Time now, std::size_t scheduler_count) {
    const double own_slack = limits_.slack / static_cast<double>(std::max<std::size_t>(1, scheduler_count));
    const double ratio_allowance = limits_.ratio * static_cast<double>(requests_.count(now));
    const double max_retries = usable_fraction * (ratio_allowance + own_slack);
    if (static_cast<double>(retries_.count(now)) + 1 > max_retries) return false;
    retries_.record(now);
    return true;
}

} // namespace willowrill::budget
