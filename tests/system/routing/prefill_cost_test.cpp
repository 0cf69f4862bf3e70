// Tests the prefill cost estimate that is learned from responses.
#include "system/routing/prefill_cost.h"

#include <criterion/criterion.h>

using namespace willowrill::routing;

Test(prefill_cost, responses_without_prefilled_tokens_give_no_estimate) {
    PrefillCost cost;
    cr_assert_eq(cost.estimate_ms(1'000'000), 0);
    for (int i = 0; i < 100; ++i)
        cost.record_response_start(std::chrono::milliseconds(100), 0);
    cr_assert_eq(cost.estimate_ms(1'000'000), 0);
    cr_assert_eq(cost.mean_request_ms(), 0);
}
