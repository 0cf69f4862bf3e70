// Selects the schedulers that a client is directed to: the ready ones in its zone and, if there are too few,
// the nearest ones elsewhere. Pure functions without I/O.
#pragma once

#include "system/membership/lease_table.h"

#include <string>
#include <vector>

namespace willowrill::control {

inline constexpr std::size_t max_addresses = 64;
// Schedulers further away are added while fewer than this many addresses have been found.
inline constexpr std::size_t min_nearby_addresses = 2;

// Returns the addresses of ready schedulers for a client in this region and zone, nearest first; at most
// `max_addresses`.
std::vector<std::string> resolve(const std::vector<membership::Lease>& leases, const std::string& region,
                                 const std::string& zone);

} // namespace willowrill::control
