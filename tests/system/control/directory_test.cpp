// Which schedulers a client is sent to, and how its question is read.
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
    const std::vector<Lease> all{make_lease("a1", 1, 1), make_lease("a2", 1, 1),
                                 make_lease("a3", 1, 1, Phase::leaving),
                                 make_lease("a4", 1, 1, Phase::starting), make_lease("b1", 1, 1)};
    const auto near = control::resolve(all, "r", "a");
    cr_assert(near == (std::vector<std::string>{"a1:80", "a2:80"}));
    const auto lonely = control::resolve(all, "q", "b");
    cr_assert_eq(lonely.size(), 3U);
    expect_text(lonely[0].c_str(), "b1:80");
    cr_assert(control::resolve({}, "r", "a").empty());
}

Test(query, the_first_parameter_of_the_name_is_taken) {
    using control::query_parameter;
    const char* const target = "/-/resolution?region=r&zone=a&empty=&zone=b&flag";
    expect_text(query_parameter(target, "region"), "r");
    expect_text(query_parameter(target, "zone"), "a");
    expect_text(query_parameter(target, "empty"), "");
}

Test(query, a_parameter_that_is_not_there_is_empty) {
    using control::query_parameter;
    expect_text(query_parameter("/-/resolution?region=r&flag", "zone"), "");
    expect_text(query_parameter("/-/resolution?region=r&flag", "flag"), "");
    expect_text(query_parameter("/-/resolution?", "zone"), "");
    expect_text(query_parameter("/-/resolution", "zone"), "");
    expect_text(query_parameter("", "zone"), "");
}

Test(query, escapes_and_further_equals_signs_stay_as_they_are) {
    using control::query_parameter;
    expect_text(query_parameter("/?zone=a%20b&x=1=2", "zone"), "a%20b");
    expect_text(query_parameter("/?zone=a%20b&x=1=2", "x"), "1=2");
}
