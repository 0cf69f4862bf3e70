// Determines whether a cluster upgrade can be finished: which protocol versions the relevant processes have
// announced, and which processes block the upgrade. Pure functions; callable on any thread.
#pragma once

#include "system/membership/lease_table.h"
#include "system/protocol/negotiation.h"
#include "system/replication/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::control {

struct CoreMemberVersions {
    replication::MemberId id;
    // The greeting announced on the current connection; empty if the member is not connected.
    std::optional<protocol::Greeting> greeting;
};

struct UpgradeStatus {
    protocol::Version cluster_version = protocol::initial_cluster_version;
    std::vector<CoreMemberVersions> members; // witnesses, in-sync members and all other connected members
    std::vector<membership::Lease> schedulers;
};

// A process that prevents the cluster from moving to a version, with the reason.
struct UpgradeBlocker {
    std::string process;
    std::string reason;
    bool operator==(const UpgradeBlocker&) const = default;
};

// Builds the status. `greetings`: by id, of the connected members and of this member itself. The witnesses
// and in-sync members in `witness_register` are included whether or not they are connected.
UpgradeStatus make_upgrade_status(protocol::Version cluster_version,
                                  const replication::WitnessRegister& witness_register,
                                  const std::map<replication::MemberId, protocol::Greeting>& greetings,
                                  std::vector<membership::Lease> schedulers);

// Returns the processes that do not support `version`, and the core members that do not support states with a
// cluster version. If there are none, the upgrade can be finished.
std::vector<UpgradeBlocker> upgrade_blockers(const UpgradeStatus& status, protocol::Version version);

// Formats the status as JSON for the operator API.
std::string to_json_text(const UpgradeStatus& status, protocol::Version target);
// Formats blockers as "10.1.0.13:8166 speaks versions 3 only; ...", naming at most `max_named_blockers`.
std::string to_text(const std::vector<UpgradeBlocker>& blockers);
inline constexpr std::size_t max_named_blockers = 8;

} // namespace willowrill::control
