// Who are the members of the next epoch: the pure functions behind an election.
#include "system/replication/membership_plan.h"
#include "system/replication/quorum.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill::replication;

namespace {

const std::vector<MemberId> three{"a", "b", "c"};

bool never(const MemberId&) { return false; }

PrepareReplies replies(const std::vector<MemberId>& from, const std::vector<MemberId>& shutting_down = {}) {
    PrepareReplies out;
    for (const MemberId& id : from)
        out[id].shutting_down = contains(shutting_down, id);
    return out;
}

} // namespace

Test(quorum, is_more_than_half_of_the_group) {
    cr_assert(has_quorum(three, {"a", "c"}));
    cr_assert_not(has_quorum(three, {"a", "x", "y"}), "only members of the group count");
    cr_assert_not(has_quorum({"a", "b"}, {"a"}), "half of an even number is no quorum");
    cr_assert_not(has_quorum({}, {"a"}));
}

Test(succession, follows_the_in_sync_set_from_the_last_primary_on) {
    WitnessRegister known;
    known.decided = {7, "b", three, three};
    known.complete = true;
    cr_assert_eq(succession_rank("b", known), 0U);
    cr_assert_eq(succession_rank("c", known), 1U);
    cr_assert_eq(succession_rank("a", known), 2U);
    cr_assert_eq(succession_rank("x", known), 4U, "others come after all in-sync members");
    known.complete = false;
    cr_assert_eq(succession_rank("c", known), 4U, "a copy that is not complete does not count");
}

Test(witnesses, grow_by_two_and_never_to_an_even_number) {
    cr_assert(next_witnesses(three, {"d"}, never, 5) == three);
    cr_assert(next_witnesses(three, {"d", "e"}, never, 5) ==
              std::vector<MemberId>({"a", "b", "c", "d", "e"}));
    cr_assert(next_witnesses(three, {"d", "e"}, never, 3) == three);
}

Test(witnesses, are_replaced_one_for_one_by_standbys) {
    const auto lost = [](const MemberId& id) { return id != "a"; };
    cr_assert(next_witnesses(three, {"d"}, lost, 3) == std::vector<MemberId>({"a", "c", "d"}));
    cr_assert(next_witnesses(three, {}, lost, 3) == three, "nobody is there to take the place");
}

Test(in_sync, holds_the_witnesses_that_replied_and_the_candidate) {
    cr_assert(next_in_sync("a", three, replies({"a", "c"}), 2) == std::vector<MemberId>({"a", "c"}));
    cr_assert(next_in_sync("x", three, replies({"a", "c"}), 2) == std::vector<MemberId>({"a", "c", "x"}));
}

Test(in_sync, keeps_one_that_shuts_down_only_where_too_few_stay) {
    cr_assert(next_in_sync("a", three, replies(three, {"c"}), 2) == std::vector<MemberId>({"a", "b"}));
    cr_assert(next_in_sync("a", three, replies({"a", "c"}, {"c"}), 2) == std::vector<MemberId>({"a", "c"}));
}
