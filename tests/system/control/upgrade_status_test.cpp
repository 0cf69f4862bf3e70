// Tests which processes block an upgrade, and how the status is reported.
#include "system/control/refusal_log.h"
#include "system/control/upgrade_status.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace willowrill;
using namespace willowrill::control;
using protocol::Greeting;

namespace {

const Greeting old_greeting{}, new_greeting = protocol::own_greeting(protocol::initial_cluster_version);
const std::vector<replication::MemberId> three_members{"a:1", "b:1", "c:1"};

replication::WitnessRegister witness_register() {
    replication::WitnessRegister record;
    record.accepted = record.decided = {5, "a:1", {"a:1", "b:1"}, three_members};
    return record;
}

membership::Lease scheduler(const std::string& node, protocol::VersionRange versions) {
    membership::Lease lease;
    lease.node = node;
    lease.versions = versions;
    return lease;
}

UpgradeStatus status(const std::map<replication::MemberId, Greeting>& greetings,
                     std::vector<membership::Lease> schedulers = {}) {
    return make_upgrade_status(3, witness_register(), greetings, std::move(schedulers));
}

std::string blockers(const UpgradeStatus& status) { return to_text(upgrade_blockers(status, 4)); }

} // namespace

Test(upgrade_status, nothing_blocks_if_all_processes_have_announced_the_version) {
    expect_text(blockers(status({{"a:1", new_greeting}, {"b:1", new_greeting}, {"c:1", new_greeting}},
                                {scheduler("n1", {3, 4})})),
                "");
}

Test(upgrade_status, an_older_member_scheduler_or_standby_member_blocks) {
    expect_text(blockers(status({{"a:1", new_greeting}, {"b:1", old_greeting}, {"c:1", new_greeting}})),
                "b:1 speaks versions 3 only");
    expect_text(blockers(status({{"a:1", new_greeting}, {"b:1", new_greeting}, {"c:1", new_greeting}},
                                {scheduler("n1", {3, 3})})),
                "n1 speaks versions 3 only");
    expect_text(
        blockers(status(
            {{"a:1", new_greeting}, {"b:1", new_greeting}, {"c:1", new_greeting}, {"d:1", old_greeting}})),
        "d:1 speaks versions 3 only");
}

Test(upgrade_status, a_witness_that_is_not_connected_blocks) {
    expect_text(blockers(status({{"a:1", new_greeting}, {"b:1", new_greeting}})), "c:1 is not connected");
}

Test(upgrade_status, a_member_without_the_feature_blocks) {
    const Greeting without_feature{new_greeting.versions, {}};
    expect_text(blockers(status({{"a:1", new_greeting}, {"b:1", without_feature}, {"c:1", new_greeting}})),
                "b:1 lacks the feature cluster-version");
}

Test(upgrade_status, only_the_first_blockers_are_named) {
    std::vector<membership::Lease> schedulers;
    for (int i = 0; i < 20; ++i)
        schedulers.push_back(scheduler("n" + std::to_string(i), {3, 3}));
    const std::string text =
        blockers(status({{"a:1", new_greeting}, {"b:1", new_greeting}, {"c:1", new_greeting}}, schedulers));
    cr_assert(text.ends_with("; and 12 more"), "%s", text.c_str());
}

Test(upgrade_status, is_formatted_as_json_for_operators) {
    const auto document = nlohmann::json::parse(
        to_json_text(status({{"a:1", new_greeting}, {"b:1", old_greeting}}, {scheduler("n1", {3, 4})}), 4));
    cr_assert_eq(document.at("clusterVersion").get<int>(), 3);
    cr_assert_not(document.at("finished").get<bool>());
    cr_assert_eq(document.at("members").size(), 3U);
    cr_assert(document.at("members").at(2).at("versions").is_null());
    cr_assert_eq(document.at("blockedBy").size(), 2U);
    expect_text(document.at("schedulers").at(0).at("node").get<std::string>(), "n1");
}

Test(refusal_log, a_peer_is_reported_once_per_period) {
    RefusalLog log;
    using Time = RefusalLog::Time;
    cr_assert(log.is_due(Time(0), "a"));
    cr_assert(log.is_due(Time(0), "b"));
    cr_assert_not(log.is_due(Time(9000), "a"));
    cr_assert(log.is_due(Time(10000), "a"));
    cr_assert_not(log.is_due(Time(19999), "a"));
}
