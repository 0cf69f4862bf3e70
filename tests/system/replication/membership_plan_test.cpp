// Tests of the pure functions that choose the members of the next epoch.
#include "system/replication/membership_plan.h"
#include "system/replication/quorum.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill::replication;

namespace {

const std::vector<MemberId> three_members{"a", "b", "c"};

bool replace_none(const MemberId&) { return false; }

PrepareReplies replies(const std::vector<MemberId>& from, const std::vector<MemberId>& shutting_down = {}) {
    PrepareReplies out;
    for (const MemberId& id : from)
        out[id].shutting_down = contains(shutting_down, id);
    return out;
}

} // namespace

Test(quorum, is_more_than_half_of_the_group) {
    cr_assert(has_quorum(three_members, {"a", "c"}));
    cr_assert_not(has_quorum(three_members, {"a", "x", "y"}), "only members of the group count");
    cr_assert_not(has_quorum({"a", "b"}, {"a"}), "half of an even number is no quorum");
    cr_assert_not(has_quorum({}, {"a"}));
}

Test(succession, follows_the_in_sync_set_starting_at_the_last_primary) {
    WitnessRegister known;
    known.decided = {7, "b", three_members, three_members};
    known.complete = true;
    cr_assert_eq(succession_rank("b", known), 0U);
    cr_assert_eq(succession_rank("c", known), 1U);
    cr_assert_eq(succession_rank("a", known), 2U);
    cr_assert_eq(succession_rank("x", known), 4U, "members that are not in sync rank last");
    known.complete = false;
    cr_assert_eq(succession_rank("c", known), 4U, "a member with an incomplete copy ranks last");
}

Test(witnesses, grow_by_two_and_never_to_an_even_number) {
    cr_assert(next_witnesses(three_members, {"d"}, replace_none, 5) == three_members);
    cr_assert(next_witnesses(three_members, {"d", "e"}, replace_none, 5) ==
              std::vector<MemberId>({"a", "b", "c", "d", "e"}));
    cr_assert(next_witnesses(three_members, {"d", "e"}, replace_none, 3) == three_members);
}

Test(witnesses, are_replaced_one_for_one_by_standbys) {
    const auto is_lost = [](const MemberId& id) { return id != "a"; };
    cr_assert(next_witnesses(three_members, {"d"}, is_lost, 3) == std::vector<MemberId>({"a", "c", "d"}));
    cr_assert(next_witnesses(three_members, {}, is_lost, 3) == three_members, "there is no standby");
}

Test(in_sync, holds_the_witnesses_that_replied_and_the_candidate) {
    cr_assert(next_in_sync("a", three_members, replies({"a", "c"}), 2) == std::vector<MemberId>({"a", "c"}));
    cr_assert(next_in_sync("x", three_members, replies({"a", "c"}), 2) ==
              std::vector<MemberId>({"a", "c", "x"}));
}

Test(in_sync, keeps_a_member_that_shuts_down_only_if_too_few_remain) {
    cr_assert(next_in_sync("a", three_members, replies(three_members, {"c"}), 2) ==
              std::vector<MemberId>({"a", "b"}));
    cr_assert(next_in_sync("a", three_members, replies({"a", "c"}, {"c"}), 2) ==
              std::vector<MemberId>({"a", "c"}));
}
