// Tests the selection of schedulers for a client and the parsing of query parameters.
#include "system/control/directory.h"
#include "system/control/query.h"

#include "support/expect.h"
#include "support/leases.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill;
using membership::Lease;
using membership::Phase;

Test(directory, ready_schedulers_are_listed_nearest_first) {
    const std::vector<Lease> leases{make_lease("a1", 1, 1), make_lease("a2", 1, 1),
                                    make_lease("a3", 1, 1, Phase::leaving),
                                    make_lease("a4", 1, 1, Phase::starting), make_lease("b1", 1, 1)};
    const auto same_zone = control::resolve(leases, "r", "a");
    cr_assert(same_zone == (std::vector<std::string>{"a1:80", "a2:80"}));
    const auto other_region = control::resolve(leases, "q", "b");
    cr_assert_eq(other_region.size(), 3U);
    expect_text(other_region[0].c_str(), "b1:80");
    cr_assert(control::resolve({}, "r", "a").empty());
}

Test(query, the_first_parameter_with_the_name_is_returned) {
    using control::query_parameter;
    const char* const target = "/-/resolution?region=r&zone=a&empty=&zone=b&flag";
    expect_text(query_parameter(target, "region"), "r");
    expect_text(query_parameter(target, "zone"), "a");
    expect_text(query_parameter(target, "empty"), "");
}

Test(query, a_missing_parameter_is_empty) {
    using control::query_parameter;
    expect_text(query_parameter("/-/resolution?region=r&flag", "zone"), "");
    expect_text(query_parameter("/-/resolution?region=r&flag", "flag"), "");
    expect_text(query_parameter("/-/resolution?", "zone"), "");
    expect_text(query_parameter("/-/resolution", "zone"), "");
    expect_text(query_parameter("", "zone"), "");
}

Test(query, escapes_and_further_equals_signs_are_kept) {
    using control::query_parameter;
    expect_text(query_parameter("/?zone=a%20b&x=1=2", "zone"), "a%20b");
    expect_text(query_parameter("/?zone=a%20b&x=1=2", "x"), "1=2");
}
