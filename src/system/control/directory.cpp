#include "system/control/directory.h"

namespace willowrill::control {
namespace {

// 0: the client's zone, 1: its region, 2: elsewhere.
int distance(const membership::Lease& lease, const std::string& region, const std::string& zone) {
    if (lease.zone == zone) return 0;
    return lease.region == region ? 1 : 2;
}

} // namespace

std::vector<std::string> resolve(const std::vector<membership::Lease>& leases, const std::string& region,
                                 const std::string& zone) {
    std::vector<std::string> out;
    for (int wanted = 0; wanted <= 2; ++wanted) {
        if (out.size() >= enough_in_zone) break;
        for (const membership::Lease& lease : leases) {
            const bool fits =
                lease.phase == membership::Phase::ready && distance(lease, region, zone) == wanted;
            if (fits && out.size() < max_addresses) out.push_back(lease.client_address);
        }
    }
    return out;
}

} // namespace willowrill::control
