// Tests that the retry budgets of many schedulers together keep the limit.
#include "system/budget/retry_budget.h"

#include "budget/count_within.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace willowrill::budget;

// The request rate alternates every 10 s between its full value and a tenth of it, and every attempt fails.
Test(retry_budget, retries_of_all_schedulers_stay_within_the_limit) {
    const RetryLimits limits{0.2, 62, Time(10000)};
    for (const std::size_t scheduler_count : {1U, 3U, 11U, 70U}) {
        std::mt19937_64 random(scheduler_count);
        std::vector<RetryBudget> budgets(scheduler_count, RetryBudget(limits));
        std::vector<Time> requests, retries;
        for (int now_ms = 0; now_ms < 60000; now_ms += 7) {
            RetryBudget& budget = budgets[random() % scheduler_count];
            const bool is_peak = now_ms / 10000 % 2 == 0;
            if (is_peak || random() % 10 == 0) {
                budget.record_request(Time(now_ms));
                requests.push_back(Time(now_ms));
            }
            if (budget.try_acquire(Time(now_ms), scheduler_count)) retries.push_back(Time(now_ms));
        }
        for (const Time end : retries) {
            // The limit is based on the requests of this window or of the previous one, whichever has more.
            const auto in_window = count_within(requests, end - limits.window, end);
            const auto in_previous_window =
                count_within(requests, end - 2 * limits.window, end - limits.window);
            const double max_retries =
                limits.ratio * static_cast<double>(std::max(in_window, in_previous_window)) + limits.slack;
            cr_assert_leq(static_cast<double>(count_within(retries, end - limits.window, end)), max_retries,
                          "%zu schedulers at %ld", scheduler_count, static_cast<long>(end.count()));
        }
        cr_assert_gt(retries.size(), 40U, "%zu schedulers do not use their budget", scheduler_count);
    }
}

Test(retry_budget, a_scheduler_takes_no_more_than_its_share) {
    RetryBudget budget({0, 20, Time(1000)});
    int retries = 0;
    for (int i = 0; i < 100; ++i)
        retries += budget.try_acquire(Time(0), 2) ? 1 : 0;
    cr_assert_eq(retries, 7); // 0.7 x 20 / 2
    cr_assert_not(budget.try_acquire(Time(1000), 2));
    cr_assert(budget.try_acquire(Time(1001), 2));
}
