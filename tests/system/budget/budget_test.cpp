// Budgets over many schedulers, counted by a plain model of the rule in every window.
#include "system/budget/cold_budget.h"
#include "system/budget/retry_budget.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace willowrill::budget;

namespace {

std::size_t within(const std::vector<Time>& times, Time from, Time to) {
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](Time at) { return at > from && at <= to; }));
}

} // namespace

Test(retry, all_schedulers_together_keep_to_the_rule) {
    const RetryLimits limits{0.2, 62, Time(10000)};
    for (const std::size_t schedulers : {1U, 3U, 11U, 70U}) {
        std::mt19937_64 random(schedulers);
        std::vector<RetryBudget> budgets(schedulers, RetryBudget(limits));
        std::vector<Time> requests, repeats;
        for (int at = 0; at < 60000; at += 7) {
            RetryBudget& budget = budgets[random() % schedulers];
            const bool rush = at / 10000 % 2 == 0;
            if (rush || random() % 10 == 0) {
                budget.note_request(Time(at));
                requests.push_back(Time(at));
            }
            if (budget.take(Time(at), schedulers))
                repeats.push_back(Time(at)); // everything fails all the time
        }
        for (const Time end : repeats) {
            // The rule counts the requests of that window or of the one before, whichever holds more.
            const auto now = within(requests, end - limits.window, end);
            const auto before = within(requests, end - 2 * limits.window, end - limits.window);
            const double allowed = limits.ratio * static_cast<double>(std::max(now, before)) + limits.slack;
            cr_assert_leq(static_cast<double>(within(repeats, end - limits.window, end)), allowed,
                          "%zu schedulers at %ld", schedulers, static_cast<long>(end.count()));
        }
        cr_assert_gt(repeats.size(), 40U, "%zu schedulers use their budget", schedulers);
    }
}

Test(retry, nothing_is_taken_beyond_the_share) {
    RetryBudget budget({0, 20, Time(1000)});
    int taken = 0;
    for (int i = 0; i < 100; ++i)
        taken += budget.take(Time(0), 2) ? 1 : 0;
    cr_assert_eq(taken, 7); // 0.7 x 20 / 2
    cr_assert_not(budget.take(Time(1000), 2));
    cr_assert(budget.take(Time(1001), 2));
}

Test(cold, any_second_over_all_schedulers_stays_within_the_bound) {
    for (const std::size_t schedulers : {1U, 4U, 11U, 70U, 370U}) {
        std::mt19937_64 random(schedulers);
        std::vector<ColdBudget> budgets(schedulers, ColdBudget({1.5, 5}));
        const double rate = 10, bound = rate * 1.5 + 5;
        std::vector<Time> arrivals;
        for (int at = 0; at < 8000; ++at) {
            for (int tries = 0; tries < 4; ++tries) {
                const std::size_t i = random() % schedulers;
                if (!budgets[i].allows(Time(at), "w", rate, schedulers, i)) continue;
                budgets[i].note_send(Time(at), "w");
                arrivals.push_back(Time(at + static_cast<int>(random() % 100))); // the way takes up to 100 ms
            }
        }
        std::ranges::sort(arrivals);
        for (const Time end : arrivals)
            cr_assert_leq(static_cast<double>(within(arrivals, end - Time(1000), end)), bound,
                          "%zu schedulers", schedulers);
        cr_assert_gt(arrivals.size(), 30U, "%zu schedulers use a cold worker at all", schedulers);
    }
}
