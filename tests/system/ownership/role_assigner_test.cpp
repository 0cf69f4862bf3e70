// Tests of singleton roles: rendezvous order, and owners with fencing tokens.
#include "system/ownership/ownership.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace willowrill;
using ownership::Time;

Test(rendezvous_order, only_the_keys_of_a_removed_candidate_move) {
    std::vector<std::string> candidates;
    candidates.reserve(10);
    for (int i = 0; i < 10; ++i)
        candidates.push_back("node-" + std::to_string(i));
    std::vector<std::string> remaining = candidates;
    remaining.erase(remaining.begin() + 3);
    int moved = 0, owned_by_removed = 0;
    for (int key = 0; key < 1000; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const auto before = ownership::rendezvous_order(name, candidates).front();
        const auto after = ownership::rendezvous_order(name, remaining).front();
        owned_by_removed += before == candidates[3] ? 1 : 0;
        moved += before != after ? 1 : 0;
    }
    cr_assert_eq(moved, owned_by_removed);
    cr_assert(owned_by_removed > 50 && owned_by_removed < 200, "%d of 1000", owned_by_removed);
}

namespace {

const std::vector<std::string> zones{"z1", "z2", "z3"};

std::set<std::string> owners_of(const std::vector<ownership::Assignment>& assignments) {
    std::set<std::string> out;
    for (const ownership::Assignment& assignment : assignments)
        out.insert(assignment.owner);
    return out;
}

} // namespace

Test(role_assigner, colocated_keys_have_one_owner_and_move_together) {
    ownership::RoleAssigner assigner(7, Time(1600), ownership::Placement::colocated);
    const std::vector<std::string> live{"a", "b", "c"};
    const auto first = assigner.assign(zones, live, Time(0));
    cr_assert_eq(owners_of(first).size(), 1U);
    std::vector<std::string> remaining = live;
    std::erase(remaining, first[0].owner);
    const auto second = assigner.assign(zones, remaining, Time(100));
    cr_assert_eq(owners_of(second).size(), 1U);
    cr_assert(second[0].token > first[2].token, "tokens increase across all keys");
    const auto after_return = assigner.assign(zones, live, Time(200));
    cr_assert(after_return == second, "a returning candidate is assigned no keys");
}

Test(role_assigner, separated_keys_are_colocated_again_after_the_cooldown) {
    ownership::RoleAssigner assigner(7, Time(1600), ownership::Placement::colocated);
    const std::vector<std::string> live{"a", "b", "c"};
    std::vector<ownership::Assignment> now = assigner.assign(zones, live, Time(0));
    const std::string owner = now[0].owner;
    // The first owner shows no activity for z1 for a while; all other keys show activity.
    const auto run_without_z1_activity = [&](int from, int to) {
        for (int at = from; at <= to; at += 250) {
            for (const ownership::Assignment& assignment : now)
                if (assignment.key != "z1" || assignment.owner != owner)
                    assigner.on_owner_activity(assignment.key, assignment.token, Time(at));
            now = assigner.assign(zones, live, Time(at));
        }
    };
    run_without_z1_activity(250, 3000);
    cr_assert_eq(owners_of(now).size(), 2U, "only z1 has moved");
    for (int at = 3250; at <= 9000; at += 250) {
        for (const ownership::Assignment& assignment : now)
            assigner.on_owner_activity(assignment.key, assignment.token, Time(at));
        now = assigner.assign(zones, live, Time(at));
    }
    cr_assert_eq(owners_of(now).size(), 1U);
}

Test(role_assigner, an_inactive_owner_is_replaced_with_a_higher_token) {
    ownership::RoleAssigner assigner(7, Time(1600));
    const std::vector<std::string> live{"a", "b", "c"};
    const auto first = assigner.assign({"zone"}, live, Time(0))[0];
    cr_assert_eq(first.token.epoch, 7U);
    assigner.on_owner_activity("zone", first.token, Time(1000));
    cr_assert(assigner.assign({"zone"}, live, Time(2600))[0] == first);
    const auto second = assigner.assign({"zone"}, live, Time(2601))[0];
    expect_other_text(second.owner.c_str(), first.owner.c_str());
    cr_assert(second.token > first.token);
    assigner.on_owner_activity("zone", first.token, Time(4000)); // late activity of the replaced owner
    const auto third = assigner.assign({"zone"}, live, Time(4300))[0];
    cr_assert(third.token > second.token);
    const auto last = assigner.assign({"zone"}, {"a"}, Time(4400))[0];
    expect_text(last.owner.c_str(), "a");
    cr_assert(ownership::RoleAssigner(8, Time(1600)).assign({"zone"}, live, Time(0))[0].token > last.token);
}
