// Tests the order of a service's home schedulers in a zone, and which zone probes the workers of a zone
// without schedulers.
#include "system/distribution/home_schedulers.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill;

namespace {

membership::Lease member(const std::string& node, const std::string& zone, const std::string& region) {
    membership::Lease lease;
    lease.node = node;
    lease.zone = zone;
    lease.region = region;
    lease.phase = membership::Phase::ready;
    return lease;
}

} // namespace

Test(home_schedulers, a_backed_off_home_scheduler_comes_last) {
    const std::vector<membership::Lease> members{member("a", "z1", "r"), member("b", "z1", "r"),
                                                 member("c", "z1", "r"), member("d", "z2", "r")};
    const auto initial_order = distribution::home_schedulers(members, "s", "z1", {});
    cr_assert_eq(initial_order.size(), 3U);
    const auto backed_off_order = distribution::home_schedulers(members, "s", "z1", {initial_order[0].node});
    expect_text(backed_off_order[0].node.c_str(), initial_order[1].node.c_str());
    expect_text(backed_off_order[2].node.c_str(), initial_order[0].node.c_str());
}

Test(home_schedulers, workers_of_a_zone_without_schedulers_are_probed_from_their_region) {
    const std::vector<membership::Lease> members{member("a", "z1", "r1"), member("b", "z2", "r2")};
    expect_text(distribution::probing_zone(members, "z1", "r1").c_str(), "z1");
    expect_text(distribution::probing_zone(members, "z3", "r2").c_str(), "z2");
    expect_other_text(distribution::probing_zone(members, "z9", "r9").c_str(), "");
    expect_text(distribution::probing_zone({}, "z1", "r1").c_str(), "");
}
