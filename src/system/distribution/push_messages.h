// What a core member pushes to the schedulers that have a session with it, as JSON: the state in force and
// the members, each whole or as a change of what the scheduler has. A scheduler that lacks the base of a
// change names it in its next renewal (`lacks`) and is sent the whole. Pure.
#pragma once

#include "system/configuration/control_state.h"
#include "system/membership/lease_table.h"
#include "system/replication/types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::distribution {

// What a scheduler may lack, by the names that stand in its renewals.
inline constexpr const char* lacks_state = "state";
inline constexpr const char* lacks_members = "members";

// Where a core member stands, so that schedulers can choose a near one.
struct CoreMember {
    std::string id; // control endpoint
    std::string zone;
    std::string region;
    bool operator==(const CoreMember&) const = default;
};

// NOLINTNEXTLINE(readability-identifier-naming): the library looks this name up
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CoreMember, id, zone, region)

// A scheduler's renewal of its lease. `holds`: the state that it has in force, if any.
nlohmann::json lease_message(const membership::Lease& lease,
                             const std::optional<replication::Position>& holds,
                             const std::set<std::string>& lacks = {});

// The state whole.
nlohmann::json state_message(const replication::Position& position, const configuration::ControlState& state);
// The state as a change of an earlier one. Nothing where the change cannot be told.
std::optional<nlohmann::json> state_change_message(const replication::Position& base_position,
                                                   const configuration::ControlState& base,
                                                   const replication::Position& position,
                                                   const configuration::ControlState& state);

// The members whole, or as a change of the list with the number before.
nlohmann::json members_message(std::uint64_t number, const std::vector<membership::Lease>& members);
nlohmann::json members_change_message(std::uint64_t number, const std::vector<membership::Lease>& changed,
                                      const std::vector<std::string>& gone);

nlohmann::json position_json(const replication::Position& position);
replication::Position position_in(const nlohmann::json& json);

} // namespace willowrill::distribution
