// Which scheduler is home to a service in a zone, and who probes a zone without schedulers.
#include "system/distribution/home_schedulers.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill;

namespace {

membership::Lease member(const std::string& node, const std::string& zone, const std::string& region) {
    membership::Lease out;
    out.node = node;
    out.zone = zone;
    out.region = region;
    out.phase = membership::Phase::ready;
    return out;
}

} // namespace

Test(homes, a_backed_off_home_comes_last) {
    const std::vector<membership::Lease> members{member("a", "z1", "r"), member("b", "z1", "r"),
                                                 member("c", "z1", "r"), member("d", "z2", "r")};
    const auto order = distribution::home_schedulers(members, "s", "z1", {});
    cr_assert_eq(order.size(), 3U);
    const auto round = distribution::home_schedulers(members, "s", "z1", {order[0].node});
    expect_text(round[0].node.c_str(), order[1].node.c_str());
    expect_text(round[2].node.c_str(), order[0].node.c_str());
}

Test(homes, workers_of_a_zone_without_schedulers_are_probed_from_their_region) {
    const std::vector<membership::Lease> members{member("a", "z1", "r1"), member("b", "z2", "r2")};
    expect_text(distribution::probing_zone(members, "z1", "r1").c_str(), "z1");
    expect_text(distribution::probing_zone(members, "z3", "r2").c_str(), "z2");
    expect_other_text(distribution::probing_zone(members, "z9", "r9").c_str(), "");
    expect_text(distribution::probing_zone({}, "z1", "r1").c_str(), "");
}
