// The platform's pages, and lists of workers under fencing tokens.
#include "system/discovery/codec.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;

Test(catalogue, a_list_read_under_an_older_token_is_rejected) {
    discovery::Catalogue catalogue;
    cr_assert(catalogue.update({"z", {3, 1}, 5, {}}));
    cr_assert_not(catalogue.update({"z", {3, 1}, 5, {}}));
    cr_assert_not(catalogue.update({"z", {2, 9}, 99, {}}));
    cr_assert(catalogue.update({"z", {3, 2}, 1, {}}));
    cr_assert_not(catalogue.update({"z", {3, 1}, 6, {}}));
}

Test(instances, a_page_is_parsed_and_invalid_instances_are_left_out) {
    const auto page = discovery::parse_page(
        R"({"instances":[{"instanceId":"i","service":"s","address":"1.2.3.4:5","zone":"z","capacity":64,
        "state":"draining","coldRemainingMs":1500.5},{"service":"x"}],"nextToken":"p-50"})");
    cr_assert(static_cast<bool>(page));
    cr_assert_eq(page.value().instances.size(), 1U);
    const discovery::Instance& read = page.value().instances[0];
    cr_assert(read.state == discovery::InstanceState::draining);
    cr_assert_eq(read.cold_remaining.count(), 1500);
    expect_text(page.value().next_token->c_str(), "p-50");
    cr_assert_not(
        discovery::parse_page(R"({"instances":[],"nextToken":null})").value().next_token.has_value());
    for (const char* bad : {"", "[]", "{}", R"({"instances":[1]})", R"({"instances":[{"instanceId":5}]})"})
        cr_assert_not(static_cast<bool>(discovery::parse_page(bad)), "%s", bad);
    cr_assert(nlohmann::json(read).get<discovery::Instance>() == read);
}

Test(instances, a_cold_time_that_runs_down_is_not_a_change) {
    discovery::Instance one;
    one.id = "i";
    one.cold_remaining = discovery::Milliseconds(3000);
    discovery::Instance later = one;
    later.cold_remaining = discovery::Milliseconds(2400);
    cr_assert(discovery::same_content({one}, {later}, discovery::Milliseconds(500)));
    later.cold_remaining = discovery::Milliseconds(3000);
    cr_assert_not(discovery::same_content({one}, {later}, discovery::Milliseconds(1000)),
                  "it turned cold again");
    later = one;
    later.state = discovery::InstanceState::draining;
    cr_assert_not(discovery::same_content({one}, {later}, discovery::Milliseconds(0)));
}
