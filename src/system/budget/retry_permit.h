// One retry that was taken from a service's retry budget, until it is sent.
#pragma once

#include "system/budget/retry_budget.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace willowrill::budget {

// Goes back to the budget when it is destroyed, unless it was spent. The budget may be gone by then. Not
// thread-safe.
class RetryPermit {
  public:
    // Nothing where this scheduler's share of the budget is used up.
    static std::optional<RetryPermit> acquire(const std::shared_ptr<RetryBudget>& budget, Time now,
                                              std::size_t scheduler_count) {
        if (!budget->try_acquire(now, scheduler_count)) return std::nullopt;
        return RetryPermit(budget, now);
    }
    RetryPermit(RetryPermit&&) noexcept = default;
    RetryPermit& operator=(RetryPermit&&) = delete;
    RetryPermit(const RetryPermit&) = delete;
    RetryPermit& operator=(const RetryPermit&) = delete;
    ~RetryPermit() {
        if (const std::shared_ptr<RetryBudget> budget = budget_.lock()) budget->give_back(taken_at_);
    }

    // The retry was sent.
    void spend() { budget_.reset(); }

  private:
    RetryPermit(const std::shared_ptr<RetryBudget>& budget, Time taken_at)
        : budget_(budget), taken_at_(taken_at) {}

    std::weak_ptr<RetryBudget> budget_; // expired once the permit is spent
    Time taken_at_;
};

} // namespace willowrill::budget
