// Singleton roles: rendezvous order, and owners under fencing tokens.
#include "system/ownership/ownership.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace willowrill;
using ownership::Time;

Test(rendezvous_order, only_the_keys_of_a_removed_candidate_move) {
    std::vector<std::string> all;
    all.reserve(10);
    for (int i = 0; i < 10; ++i)
        all.push_back("node-" + std::to_string(i));
    std::vector<std::string> fewer = all;
    fewer.erase(fewer.begin() + 3);
    int moved = 0, lost = 0;
    for (int key = 0; key < 1000; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const auto before = ownership::rendezvous_order(name, all).front();
        const auto after = ownership::rendezvous_order(name, fewer).front();
        lost += before == all[3] ? 1 : 0;
        moved += before != after ? 1 : 0;
    }
    cr_assert_eq(moved, lost);
    cr_assert(lost > 50 && lost < 200, "%d of 1000", lost);
}

namespace {

const std::vector<std::string> zones{"z1", "z2", "z3"};

std::set<std::string> owners_of(const std::vector<ownership::Assignment>& assignments) {
    std::set<std::string> out;
    for (const ownership::Assignment& one : assignments)
        out.insert(one.owner);
    return out;
}

} // namespace

Test(role_assigner, keys_that_are_to_be_together_have_one_owner_and_follow_it) {
    ownership::RoleAssigner assigner(7, Time(1600), ownership::Placement::colocated);
    const std::vector<std::string> live{"a", "b", "c"};
    const auto first = assigner.assign(zones, live, Time(0));
    cr_assert_eq(owners_of(first).size(), 1U);
    std::vector<std::string> others = live;
    std::erase(others, first[0].owner);
    const auto second = assigner.assign(zones, others, Time(100));
    cr_assert_eq(owners_of(second).size(), 1U);
    cr_assert(second[0].token > first[2].token, "tokens rise over all keys");
    const auto back = assigner.assign(zones, live, Time(200));
    cr_assert(back == second, "who comes back gets nothing");
}

Test(role_assigner, keys_that_came_apart_come_together_once_the_failure_is_forgotten) {
    ownership::RoleAssigner assigner(7, Time(1600), ownership::Placement::colocated);
    const std::vector<std::string> live{"a", "b", "c"};
    std::vector<ownership::Assignment> now = assigner.assign(zones, live, Time(0));
    const std::string owner = now[0].owner;
    // One zone's list cannot be read by its owner for a while; the others can, by whoever has them.
    const auto play = [&](int from, int to) {
        for (int at = from; at <= to; at += 250) {
            for (const ownership::Assignment& one : now)
                if (one.key != "z1" || one.owner != owner)
                    assigner.on_owner_activity(one.key, one.token, Time(at));
            now = assigner.assign(zones, live, Time(at));
        }
    };
    play(250, 3000);
    cr_assert_eq(owners_of(now).size(), 2U, "the zone alone has moved");
    for (int at = 3250; at <= 9000; at += 250) {
        for (const ownership::Assignment& one : now)
            assigner.on_owner_activity(one.key, one.token, Time(at));
        now = assigner.assign(zones, live, Time(at));
    }
    cr_assert_eq(owners_of(now).size(), 1U);
}

Test(role_assigner, an_owner_that_shows_no_work_is_replaced_under_a_higher_token) {
    ownership::RoleAssigner assigner(7, Time(1600));
    const std::vector<std::string> live{"a", "b", "c"};
    const auto first = assigner.assign({"zone"}, live, Time(0))[0];
    cr_assert_eq(first.token.epoch, 7U);
    assigner.on_owner_activity("zone", first.token, Time(1000));
    cr_assert(assigner.assign({"zone"}, live, Time(2600))[0] == first);
    const auto second = assigner.assign({"zone"}, live, Time(2601))[0];
    expect_other_text(second.owner.c_str(), first.owner.c_str());
    cr_assert(second.token > first.token);
    assigner.on_owner_activity("zone", first.token, Time(4000)); // the old one wakes up
    const auto third = assigner.assign({"zone"}, live, Time(4300))[0];
    cr_assert(third.token > second.token);
    const auto gone = assigner.assign({"zone"}, {"a"}, Time(4400))[0];
    expect_text(gone.owner.c_str(), "a");
    cr_assert(ownership::RoleAssigner(8, Time(1600)).assign({"zone"}, live, Time(0))[0].token > gone.token);
}
