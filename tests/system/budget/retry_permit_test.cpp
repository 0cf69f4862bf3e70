// Tests that a retry which was taken from its budget comes back unless it was sent.
#include "system/budget/retry_permit.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <utility>

using namespace willowrill::budget;

namespace {

constexpr Time now{1000};

// With room for one retry.
std::shared_ptr<RetryBudget> small_budget() {
    return std::make_shared<RetryBudget>(RetryLimits{0, 1.5, Time(10000)});
}

} // namespace

// Guards against rule LOST: a retry that was taken and not sent was lost to other requests.
Test(retry_permit, a_retry_that_was_not_sent_goes_back) {
    const auto budget = small_budget();
    for (int i = 0; i < 3; ++i) {
        const auto permit = RetryPermit::acquire(budget, now + Time(i), 1);
        cr_assert(permit.has_value());
        cr_assert_not(RetryPermit::acquire(budget, now + Time(i), 1).has_value());
    }
}

Test(retry_permit, a_retry_that_was_sent_stays_taken) {
    const auto budget = small_budget();
    {
        auto permit = RetryPermit::acquire(budget, now, 1);
        permit->spend();
    }
    cr_assert_not(RetryPermit::acquire(budget, now, 1).has_value());
}

Test(retry_permit, one_that_moves_gives_back_once) {
    const auto budget = std::make_shared<RetryBudget>(RetryLimits{0, 3, Time(10000)});
    auto kept = RetryPermit::acquire(budget, now, 1);
    kept->spend();
    {
        auto first = RetryPermit::acquire(budget, now, 1);
        cr_assert(first.has_value());
        const RetryPermit second(std::move(*first));
    }
    cr_assert(budget->try_acquire(now, 1));
    cr_assert_not(budget->try_acquire(now, 1), "the retry that was sent counts");
}

Test(retry_permit, the_budget_may_be_gone_first) {
    auto budget = small_budget();
    const auto permit = RetryPermit::acquire(budget, now, 1);
    budget.reset();
    cr_assert(permit.has_value());
}
