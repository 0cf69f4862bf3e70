// Leases as JSON. Throws on anything else.
#pragma once

#include "system/membership/lease_table.h"

#include <nlohmann/json.hpp>

namespace willowrill::membership {

// NOLINTBEGIN(readability-identifier-naming): the library looks these names up
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::starting, "starting"},
                                     {Phase::ready, "ready"},
                                     {Phase::leaving, "leaving"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Lease, node, incarnation, renewal, zone, region, front, peer, phase)
// NOLINTEND(readability-identifier-naming)

} // namespace willowrill::membership
