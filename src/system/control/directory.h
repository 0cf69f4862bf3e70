// Which schedulers a client is sent to: the ready ones of its zone, and where these are too few, the nearest
// others. Pure.
#pragma once

#include "system/membership/lease_table.h"

#include <string>
#include <vector>

namespace willowrill::control {

inline constexpr std::size_t max_addresses = 64;
// Where fewer are found, schedulers further away are added.
inline constexpr std::size_t min_nearby_addresses = 2;

// Addresses for clients in this zone and region, the nearest first; at most `max_addresses`.
std::vector<std::string> resolve(const std::vector<membership::Lease>& leases, const std::string& region,
                                 const std::string& zone);

} // namespace willowrill::control
