// Who keeps an upgrade from being finished.
#include "system/control/refusal_log.h"
#include "system/control/upgrade_status.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace willowrill;
using namespace willowrill::control;
using protocol::Greeting;

namespace {

const Greeting older{}, newer = protocol::own_greeting(protocol::initial_cluster_version);
const std::vector<replication::MemberId> three{"a:1", "b:1", "c:1"};

replication::WitnessRegister known() {
    replication::WitnessRegister out;
    out.accepted = out.decided = {5, "a:1", {"a:1", "b:1"}, three};
    return out;
}

membership::Lease scheduler(const std::string& node, protocol::VersionRange versions) {
    membership::Lease out;
    out.node = node;
    out.versions = versions;
    return out;
}

UpgradeStatus status(const std::map<replication::MemberId, Greeting>& greetings,
                     std::vector<membership::Lease> schedulers = {}) {
    return make_upgrade_status(3, known(), greetings, std::move(schedulers));
}

std::string blockers(const UpgradeStatus& status) { return to_text(upgrade_blockers(status, 4)); }

} // namespace

Test(upgrade_status, nobody_blocks_where_all_have_announced_the_version) {
    expect_text(blockers(status({{"a:1", newer}, {"b:1", newer}, {"c:1", newer}}, {scheduler("n1", {3, 4})})),
                "");
}

Test(upgrade_status, an_older_member_scheduler_or_spare_blocks) {
    expect_text(blockers(status({{"a:1", newer}, {"b:1", older}, {"c:1", newer}})),
                "b:1 speaks versions 3 only");
    expect_text(blockers(status({{"a:1", newer}, {"b:1", newer}, {"c:1", newer}}, {scheduler("n1", {3, 3})})),
                "n1 speaks versions 3 only");
    expect_text(blockers(status({{"a:1", newer}, {"b:1", newer}, {"c:1", newer}, {"d:1", older}})),
                "d:1 speaks versions 3 only");
}

Test(upgrade_status, a_witness_that_is_not_connected_blocks) {
    expect_text(blockers(status({{"a:1", newer}, {"b:1", newer}})), "c:1 is not connected");
}

Test(upgrade_status, a_member_that_lacks_the_feature_blocks) {
    const Greeting without{newer.versions, {}};
    expect_text(blockers(status({{"a:1", newer}, {"b:1", without}, {"c:1", newer}})),
                "b:1 lacks the feature cluster-version");
}

Test(upgrade_status, many_blockers_are_named_in_part) {
    std::vector<membership::Lease> many;
    for (int i = 0; i < 20; ++i)
        many.push_back(scheduler("n" + std::to_string(i), {3, 3}));
    const std::string text = blockers(status({{"a:1", newer}, {"b:1", newer}, {"c:1", newer}}, many));
    cr_assert(text.ends_with("; and 12 more"), "%s", text.c_str());
}

Test(upgrade_status, is_shown_to_operators) {
    const auto shown = nlohmann::json::parse(
        to_json_text(status({{"a:1", newer}, {"b:1", older}}, {scheduler("n1", {3, 4})}), 4));
    cr_assert_eq(shown.at("clusterVersion").get<int>(), 3);
    cr_assert_not(shown.at("finished").get<bool>());
    cr_assert_eq(shown.at("members").size(), 3U);
    cr_assert(shown.at("members").at(2).at("versions").is_null());
    cr_assert_eq(shown.at("blockedBy").size(), 2U);
    expect_text(shown.at("schedulers").at(0).at("node").get<std::string>(), "n1");
}

Test(refusal_log, a_peer_is_reported_once_in_a_while) {
    RefusalLog log;
    using Time = RefusalLog::Time;
    cr_assert(log.is_due(Time(0), "a"));
    cr_assert(log.is_due(Time(0), "b"));
    cr_assert_not(log.is_due(Time(9000), "a"));
    cr_assert(log.is_due(Time(10000), "a"));
    cr_assert_not(log.is_due(Time(19999), "a"));
}
