// Which scheduler of a zone is home to a service's load reports: it polls the service's workers, and the
// other schedulers of the zone subscribe to it. Pure; all schedulers with the same view of the members agree.
#pragma once

#include "system/membership/lease_table.h"

#include <set>
#include <string>
#include <vector>

namespace willowrill::distribution {

// Schedulers of a zone in the order in which they are home to the service. `backed_off`: nodes
// that were silent here lately; they come last.
std::vector<membership::Lease> home_schedulers(const std::vector<membership::Lease>& members,
                                               const std::string& service, const std::string& zone,
                                               const std::set<std::string>& backed_off);

// The zone whose home probes the workers of `worker_zone`: that zone itself, or where no scheduler is left
// there, one of the same region, or any.
std::string probing_zone(const std::vector<membership::Lease>& members, const std::string& worker_zone,
                         const std::string& worker_region);

} // namespace willowrill::distribution
