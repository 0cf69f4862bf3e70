// The cost of a prefill as it is learned from answers.
#include "system/routing/prefill_cost.h"

#include <criterion/criterion.h>

using namespace willowrill::routing;

Test(prefill_cost, without_usable_answers_there_is_no_cost) {
    PrefillCost cost;
    cr_assert_eq(cost.milliseconds(1'000'000), 0);
    for (int i = 0; i < 100; ++i)
        cost.record_response_start(std::chrono::milliseconds(100), 0);
    cr_assert_eq(cost.milliseconds(1'000'000), 0);
    cr_assert_eq(cost.mean_milliseconds(), 0);
}
