// Parsing of the platform's pages, and worker lists with fencing tokens.
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

Test(instances, a_page_is_parsed_and_invalid_instances_are_skipped) {
    const auto page = discovery::parse_page(
        R"({"instances":[{"instanceId":"i","service":"s","address":"1.2.3.4:5","zone":"z","capacity":64,
        "state":"draining","coldRemainingMs":1500.5},{"service":"x"}],"nextToken":"p-50"})");
    cr_assert(static_cast<bool>(page));
    cr_assert_eq(page.value().instances.size(), 1U);
    const discovery::Instance& instance = page.value().instances[0];
    cr_assert(instance.state == discovery::InstanceState::draining);
    cr_assert_eq(instance.cold_remaining.count(), 1500);
    expect_text(page.value().next_token->c_str(), "p-50");
    cr_assert_not(
        discovery::parse_page(R"({"instances":[],"nextToken":null})").value().next_token.has_value());
    for (const char* malformed :
         {"", "[]", "{}", R"({"instances":[1]})", R"({"instances":[{"instanceId":5}]})"})
        cr_assert_not(static_cast<bool>(discovery::parse_page(malformed)), "%s", malformed);
    cr_assert(nlohmann::json(instance).get<discovery::Instance>() == instance);
}

Test(instances, a_cold_time_that_decreases_with_time_is_not_a_change) {
    discovery::Instance earlier;
    earlier.id = "i";
    earlier.cold_remaining = discovery::Milliseconds(3000);
    discovery::Instance later = earlier;
    later.cold_remaining = discovery::Milliseconds(2400);
    cr_assert(discovery::same_content({earlier}, {later}, discovery::Milliseconds(500)));
    later.cold_remaining = discovery::Milliseconds(3000);
    cr_assert_not(discovery::same_content({earlier}, {later}, discovery::Milliseconds(1000)),
                  "the instance has become cold again");
    later = earlier;
    later.state = discovery::InstanceState::draining;
    cr_assert_not(discovery::same_content({earlier}, {later}, discovery::Milliseconds(0)));
}
