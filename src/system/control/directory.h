// Which schedulers a client is sent to: those of its zone that are ready, and where these are too few, the
// nearest others. Pure.
#pragma once

#include "system/membership/lease_table.h"

#include <string>
#include <vector>

namespace willowrill::control {

inline constexpr std::size_t max_addresses = 64;
inline constexpr std::size_t enough_in_zone = 2; // fewer are helped by schedulers of other zones

std::vector<std::string> resolve(const std::vector<membership::Lease>& leases, const std::string& region,
                                 const std::string& zone);

} // namespace willowrill::control
