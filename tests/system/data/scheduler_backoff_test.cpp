// How long a scheduler that failed is not preferred.
#include "system/data/scheduler_backoff.h"

#include <criterion/criterion.h>

using namespace willowrill;
using data::SchedulerBackoff;
using namespace std::chrono_literals;

namespace {

using Names = std::set<std::string>;

} // namespace

Test(scheduler_backoff, a_scheduler_is_backed_off_for_four_seconds_after_its_last_failure) {
    const SchedulerBackoff::Clock::time_point start{};
    const Names both{"n1", "n2"}, second{"n2"};
    SchedulerBackoff backoff;
    cr_assert(backoff.backed_off(start).empty());
    backoff.back_off("n1", start);
    backoff.back_off("n2", start);
    backoff.back_off("n2", start + 1s);
    cr_assert(backoff.backed_off(start + 4000ms) == both);
    cr_assert(backoff.backed_off(start + 4001ms) == second);
    cr_assert(backoff.backed_off(start + 5001ms).empty());
}
