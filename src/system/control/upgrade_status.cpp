#include "system/control/upgrade_status.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace willowrill::control {
namespace {

using nlohmann::json;

std::optional<std::string> blocking_reason(const CoreMemberVersions& member, protocol::Version version) {
    if (!member.greeting) return "is not connected";
    if (!member.greeting->versions.contains(version))
        return fmt::format("speaks versions {} only", protocol::to_text(member.greeting->versions));
    if (!member.greeting->features.contains(protocol::cluster_version_feature))
        return fmt::format("lacks the feature {}", protocol::cluster_version_feature);
    return std::nullopt;
}

json version_range_json(const protocol::VersionRange& versions) {
    return json::array({versions.min, versions.max});
}

} // namespace

UpgradeStatus make_upgrade_status(protocol::Version cluster_version,
                                  const replication::WitnessRegister& witness_register,
                                  const std::map<replication::MemberId, protocol::Greeting>& greetings,
                                  std::vector<membership::Lease> schedulers) {
    std::set<replication::MemberId> ids;
    for (const auto& [id, greeting] : greetings)
        ids.insert(id);
    for (const auto* record : {&witness_register.accepted, &witness_register.decided}) {
        ids.insert(record->witnesses.begin(), record->witnesses.end());
        ids.insert(record->in_sync.begin(), record->in_sync.end());
    }
    UpgradeStatus result{cluster_version, {}, std::move(schedulers)};
    for (const replication::MemberId& id : ids) {
        const auto found = greetings.find(id);
        result.members.push_back(
            {id, found == greetings.end() ? std::nullopt : std::optional(found->second)});
    }
    return result;
}

std::vector<UpgradeBlocker> upgrade_blockers(const UpgradeStatus& status, protocol::Version version) {
    std::vector<UpgradeBlocker> result;
    for (const CoreMemberVersions& member : status.members)
        if (const auto reason = blocking_reason(member, version)) result.push_back({member.id, *reason});
    for (const membership::Lease& scheduler : status.schedulers)
        if (!scheduler.versions.contains(version))
            result.push_back({scheduler.node,
                              fmt::format("speaks versions {} only", protocol::to_text(scheduler.versions))});
    return result;
}

std::string to_json_text(const UpgradeStatus& status, protocol::Version target) {
    json members = json::array(), schedulers = json::array(), blockers = json::array();
    for (const CoreMemberVersions& member : status.members)
        members.push_back(
            {{"id", member.id},
             {"versions", member.greeting ? version_range_json(member.greeting->versions) : json(nullptr)},
             {"features", member.greeting ? json(member.greeting->features) : json::array()}});
    for (const membership::Lease& scheduler : status.schedulers)
        schedulers.push_back(
            {{"node", scheduler.node}, {"versions", version_range_json(scheduler.versions)}});
    for (const UpgradeBlocker& blocker : upgrade_blockers(status, target))
        blockers.push_back({{"process", blocker.process}, {"reason", blocker.reason}});
    return json{{"clusterVersion", status.cluster_version},     {"targetVersion", target},
                {"finished", status.cluster_version >= target}, {"members", std::move(members)},
                {"schedulers", std::move(schedulers)},          {"blockedBy", std::move(blockers)}}
        .dump();
}

std::string to_text(const std::vector<UpgradeBlocker>& blockers) {
    std::string result;
    for (std::size_t i = 0; i < blockers.size() && i < max_named_blockers; ++i)
        result += fmt::format("{}{} {}", i == 0 ? "" : "; ", blockers[i].process, blockers[i].reason);
    if (blockers.size() > max_named_blockers)
        result += fmt::format("; and {} more", blockers.size() - max_named_blockers);
    return result;
}

} // namespace willowrill::control
