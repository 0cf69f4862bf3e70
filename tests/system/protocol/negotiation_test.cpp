// Negotiation of the version and the features of a session.
#include "system/protocol/negotiation.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::protocol;

Test(negotiation, the_highest_common_version_is_used) {
    cr_assert_eq(negotiate({{3, 5}, {}}, {{4, 9}, {}}).value().version, 5);
    cr_assert_eq(negotiate({{4, 9}, {}}, {{3, 5}, {}}).value().version, 5);
    cr_assert_eq(negotiate({{3, 4}, {}}, {{3, 3}, {}}).value().version, 3);
}

Test(negotiation, features_are_those_that_both_ends_support) {
    const Agreement agreement = negotiate({{3, 4}, {"a", "b"}}, {{3, 4}, {"b", "c"}}).value();
    cr_assert(agreement.has("b"));
    cr_assert_not(agreement.has("a") || agreement.has("c"));
}

Test(negotiation, disjoint_ranges_are_refused_with_a_reason) {
    const auto old_peer = negotiate({{4, 5}, {}}, {{3, 3}, {}});
    cr_assert(old_peer.error().kind == errors::ErrorKind::unsupported_version);
    expect_text(old_peer.error().detail,
                "this process speaks protocol versions 4 to 5, the peer 3: the peer's program is too old");
    const auto old_self = negotiate({{3, 3}, {}}, {{4, 5}, {}});
    expect_text(
        old_self.error().detail,
        "this process speaks protocol versions 3, the peer 4 to 5: this process's program is too old");
}

// Both ends reach the same agreement for every pair of ranges.
Test(negotiation, both_ends_reach_the_same_agreement) {
    for (Version min = 1; min < 5; ++min)
        for (Version max = min; max < 6; ++max)
            for (Version other_min = 1; other_min < 5; ++other_min)
                for (Version other_max = other_min; other_max < 6; ++other_max) {
                    const Greeting first{{min, max}, {"x"}}, second{{other_min, other_max}, {"x"}};
                    const auto first_result = negotiate(first, second),
                               second_result = negotiate(second, first);
                    cr_assert_eq(static_cast<bool>(first_result), static_cast<bool>(second_result));
                    if (first_result) cr_assert(first_result.value() == second_result.value());
                }
}

Test(negotiation, a_cluster_version_raises_the_lowest_version_in_use) {
    cr_assert(own_greeting(initial_cluster_version).versions == supported_versions);
    cr_assert(own_greeting(negotiated_version).versions ==
              (VersionRange{negotiated_version, supported_versions.max}));
    cr_assert_not(static_cast<bool>(negotiate(own_greeting(negotiated_version), Greeting{})));
}

Test(negotiation, core_members_announce_more_features_than_schedulers) {
    const Greeting core = own_greeting(initial_cluster_version, supported_features());
    const Greeting scheduler = own_greeting(initial_cluster_version);
    cr_assert(negotiate(core, core).value().has(state_delta_feature));
    cr_assert_not(negotiate(core, scheduler).value().has(state_delta_feature));
    cr_assert_not(negotiate(core, Greeting{}).value().has(state_delta_feature));
    cr_assert(negotiate(core, scheduler).value().has(cluster_version_feature));
}

Test(negotiation, sessions_without_a_version_range_skip_unknown_messages) {
    cr_assert_not(
        negotiate(own_greeting(initial_cluster_version), Greeting{}).value().refuses_unknown_messages());
    const Greeting own = own_greeting(initial_cluster_version);
    cr_assert(negotiate(own, own).value().refuses_unknown_messages());
}
