// Retry budgets of many schedulers, counted by a plain model of the rule in every window.
#include "system/budget/retry_budget.h"

#include "budget/count_within.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace willowrill::budget;

Test(retry_budget, all_schedulers_together_keep_to_the_rule) {
    const RetryLimits limits{0.2, 62, Time(10000)};
    for (const std::size_t schedulers : {1U, 3U, 11U, 70U}) {
        std::mt19937_64 random(schedulers);
        std::vector<RetryBudget> budgets(schedulers, RetryBudget(limits));
        std::vector<Time> requests, retries;
        for (int at = 0; at < 60000; at += 7) {
            RetryBudget& budget = budgets[random() % schedulers];
            const bool rush = at / 10000 % 2 == 0;
            if (rush || random() % 10 == 0) {
                budget.record_request(Time(at));
                requests.push_back(Time(at));
            }
            if (budget.try_acquire(Time(at), schedulers))
                retries.push_back(Time(at)); // everything fails all the time
        }
        for (const Time end : retries) {
            // The rule counts the requests of that window or of the one before, whichever holds more.
            const auto now = count_within(requests, end - limits.window, end);
            const auto before = count_within(requests, end - 2 * limits.window, end - limits.window);
            const double allowed = limits.ratio * static_cast<double>(std::max(now, before)) + limits.slack;
            cr_assert_leq(static_cast<double>(count_within(retries, end - limits.window, end)), allowed,
                          "%zu schedulers at %ld", schedulers, static_cast<long>(end.count()));
        }
        cr_assert_gt(retries.size(), 40U, "%zu schedulers use their budget", schedulers);
    }
}

Test(retry_budget, nothing_is_taken_beyond_the_share) {
    RetryBudget budget({0, 20, Time(1000)});
    int taken = 0;
    for (int i = 0; i < 100; ++i)
        taken += budget.try_acquire(Time(0), 2) ? 1 : 0;
    cr_assert_eq(taken, 7); // 0.7 x 20 / 2
    cr_assert_not(budget.try_acquire(Time(1000), 2));
    cr_assert(budget.try_acquire(Time(1001), 2));
}
