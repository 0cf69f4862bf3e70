// Which scheduler is home to a service's load readings in a zone: it has the service's workers of its zone
// probed, and the other schedulers of the zone subscribe to it. Pure; the same everywhere as far as the
// members known are.
#pragma once

#include "system/membership/lease_table.h"

#include <set>
#include <string>
#include <vector>

namespace willowrill::distribution {

// Schedulers of a zone in the order in which they are home to the service. `avoided`: those that lately were
// silent here; they come last.
std::vector<membership::Lease> homes(const std::vector<membership::Lease>& members,
                                     const std::string& service, const std::string& zone,
                                     const std::set<std::string>& avoided);

// The zone whose home probes the workers of `worker_zone`: that zone itself, or where no scheduler is left
// there, one of the same region, or any.
std::string probing_zone(const std::vector<membership::Lease>& members, const std::string& worker_zone,
                         const std::string& worker_region);

} // namespace willowrill::distribution
