#include "system/control/directory.h"

namespace willowrill::control {
namespace {

// Returns 0 if the scheduler is in the client's zone, 1 if it is in the client's region, 2 otherwise.
int distance(const membership::Lease& lease, const std::string& region, const std::string& zone) {
    if (lease.zone == zone) return 0;
    return lease.region == region ? 1 : 2;
}

} // namespace

std::vector<std::string> resolve(const std::vector<membership::Lease>& leases, const std::string& region,
                                 const std::string& zone) {
    std::vector<std::string> addresses;
    for (int wanted_distance = 0; wanted_distance <= 2; ++wanted_distance) {
        if (addresses.size() >= min_nearby_addresses) break;
        for (const membership::Lease& lease : leases) {
            const bool is_match =
                lease.phase == membership::Phase::ready && distance(lease, region, zone) == wanted_distance;
            if (is_match && addresses.size() < max_addresses) addresses.push_back(lease.client_address);
        }
    }
    return addresses;
}

} // namespace willowrill::control
