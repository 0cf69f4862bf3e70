// Selects the home scheduler of a service in a zone: it polls the load reports of the service's workers, and
// the other schedulers of the zone subscribe to it. Deterministic and free of I/O: all schedulers with the
// same view of the members select the same one.
#pragma once

#include "system/membership/lease_table.h"

#include <set>
#include <string>
#include <vector>

namespace willowrill::distribution {

// Returns the schedulers of a zone in the order of preference as home of the service, without those that are
// leaving. `backed_off`: nodes that recently did not respond to this scheduler; they are ordered last.
std::vector<membership::Lease> home_schedulers(const std::vector<membership::Lease>& members,
                                               const std::string& service, const std::string& zone,
                                               const std::set<std::string>& backed_off);

// Returns the zone whose home scheduler probes the workers of `worker_zone`: that zone itself; if it has no
// scheduler, a zone of the same region, or else any zone. Empty if there is no scheduler.
std::string probing_zone(const std::vector<membership::Lease>& members, const std::string& worker_zone,
                         const std::string& worker_region);

} // namespace willowrill::distribution
