// What clients say of their prompts, and what is made of nonsense.
#include "system/routing/prompt.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill::routing;

Test(prompt, nonsense_counts_as_nothing) {
    const Prompt prompt = parse_prompt("a:99999999999999999999999,b:x,c", "many");
    cr_assert_eq(prompt.tokens, 0U);
    expect_text(prompt.shared_key.c_str(), "b");
    cr_assert_leq(prompt.shared_tokens, 1U << 30U);
    expect_text(parse_prompt("own:5", "5,5").shared_key.c_str(), "");
}
