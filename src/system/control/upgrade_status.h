// Whether an upgrade of the cluster can be finished: which versions of the protocol each process that matters
// has announced, and who stands in the way. Pure; any thread.
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
    // What it announced on the present connection; none where there is no connection to it.
    std::optional<protocol::Greeting> greeting;
};

struct UpgradeStatus {
    protocol::Version cluster_version = protocol::initial_cluster_version;
    std::vector<CoreMemberVersions> members; // witnesses, the in-sync set, and whoever else is connected
    std::vector<membership::Lease> schedulers;
};

// A process that keeps the cluster from rising to a version, and why.
struct UpgradeBlocker {
    std::string process;
    std::string reason;
    bool operator==(const UpgradeBlocker&) const = default;
};

// Puts together what is known: `greetings` of the members that are connected, by id, and this member's own
// among them; the witnesses and the in-sync set of `known` count whether they are connected or not.
UpgradeStatus make_upgrade_status(protocol::Version cluster_version,
                                  const replication::WitnessRegister& witness_register,
                                  const std::map<replication::MemberId, protocol::Greeting>& greetings,
                                  std::vector<membership::Lease> schedulers);

// Who has not announced this version and, where it is a core member, that it reads a state that names its
// cluster version. Empty: the upgrade can be finished.
std::vector<UpgradeBlocker> upgrade_blockers(const UpgradeStatus& status, protocol::Version version);

// As JSON text, for the operators' interface.
std::string to_json_text(const UpgradeStatus& status, protocol::Version target);
// "10.1.0.13:8166 speaks versions 3 only; ...", at most `max_named_blockers` of them.
std::string to_text(const std::vector<UpgradeBlocker>& blockers);
inline constexpr std::size_t max_named_blockers = 8;

} // namespace willowrill::control
