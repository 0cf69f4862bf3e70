// Budgets of many schedulers for a worker that warms up, counted by a plain model of the rule in every
// second.
#include "system/budget/cold_budget.h"

#include "budget/count_within.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace willowrill::budget;

Test(cold_budget, any_second_over_all_schedulers_stays_within_the_bound) {
    for (const std::size_t schedulers : {1U, 4U, 11U, 70U, 370U}) {
        std::mt19937_64 random(schedulers);
        std::vector<ColdBudget> budgets(schedulers, ColdBudget({1.5, 5}));
        const double rate = 10, bound = rate * 1.5 + 5;
        std::vector<Time> arrivals;
        for (int at = 0; at < 8000; ++at) {
            for (int tries = 0; tries < 4; ++tries) {
                const std::size_t i = random() % schedulers;
                if (!budgets[i].allows(Time(at), "w", rate, schedulers, i)) continue;
                budgets[i].record_send(Time(at), "w");
                arrivals.push_back(Time(at + static_cast<int>(random() % 100))); // the way takes up to 100 ms
            }
        }
        std::ranges::sort(arrivals);
        for (const Time end : arrivals)
            cr_assert_leq(static_cast<double>(count_within(arrivals, end - Time(1000), end)), bound,
                          "%zu schedulers", schedulers);
        cr_assert_gt(arrivals.size(), 30U, "%zu schedulers use a worker that warms up at all", schedulers);
    }
}
