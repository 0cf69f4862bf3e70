#include "system/data/probe_assignment.h"

#include "system/distribution/home_schedulers.h"

namespace willowrill::data {

bool ProbeAssignment::contains(const routing::Worker& worker) const {
    const discovery::Instance& instance = worker.instance;
    if (!home_services_.contains(instance.service)) return false;
    const std::string& region = location_.region_of(instance.zone);
    return distribution::probing_zone(members_, instance.zone, region) == location_.zone;
}

} // namespace willowrill::data
