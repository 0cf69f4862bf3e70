// Tests the parsing of prompt headers with malformed values.
#include "system/routing/prompt.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill::routing;

Test(prompt, malformed_token_counts_are_zero_and_large_ones_are_capped) {
    const Prompt prompt = parse_prompt("a:99999999999999999999999,b:x,c", "many");
    cr_assert_eq(prompt.total_tokens, 0U);
    expect_text(prompt.shared_prefix_id.c_str(), "b");
    cr_assert_leq(prompt.shared_tokens, 1U << 30U);
    expect_text(parse_prompt("own:5", "5,5").shared_prefix_id.c_str(), "");
}
