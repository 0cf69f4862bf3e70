// Tests that the budgets of many schedulers together keep the limit of a worker that warms up.
#include "system/budget/cold_budget.h"

#include "budget/count_within.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace willowrill::budget;

// Counts the arrivals at the worker within every second that ends with an arrival.
Test(cold_budget, requests_of_all_schedulers_stay_within_the_limit_in_any_second) {
    for (const std::size_t scheduler_count : {1U, 4U, 11U, 70U, 370U}) {
        std::mt19937_64 random(scheduler_count);
        std::vector<ColdBudget> budgets(scheduler_count, ColdBudget({1.5, 5}));
        const double rate_per_s = 10, max_arrivals = rate_per_s * 1.5 + 5;
        std::vector<Time> arrivals;
        for (int now_ms = 0; now_ms < 8000; ++now_ms) {
            for (int attempt = 0; attempt < 4; ++attempt) {
                const std::size_t i = random() % scheduler_count;
                if (!budgets[i].allows(Time(now_ms), "w", rate_per_s, scheduler_count, i)) continue;
                budgets[i].record_send(Time(now_ms), "w");
                arrivals.push_back(
                    Time(now_ms + static_cast<int>(random() % 100))); // network delay of up to 100 ms
            }
        }
        std::ranges::sort(arrivals);
        for (const Time end : arrivals)
            cr_assert_leq(static_cast<double>(count_within(arrivals, end - Time(1000), end)), max_arrivals,
                          "%zu schedulers", scheduler_count);
        cr_assert_gt(arrivals.size(), 30U, "%zu schedulers do not use the worker that warms up",
                     scheduler_count);
    }
}
