#include "system/distribution/home_schedulers.h"

#include "system/ownership/ownership.h"

#include <algorithm>
#include <tuple>

namespace willowrill::distribution {

std::vector<membership::Lease> home_schedulers(const std::vector<membership::Lease>& members,
                                               const std::string& service, const std::string& zone,
                                               const std::set<std::string>& backed_off) {
    std::vector<membership::Lease> schedulers;
    for (const membership::Lease& member : members)
        if (member.zone == zone && member.phase != membership::Phase::leaving) schedulers.push_back(member);
    std::ranges::sort(schedulers, {}, [&](const membership::Lease& member) {
        const std::uint64_t weight = ownership::rendezvous_weight(service, member.node);
        return std::tuple(backed_off.contains(member.node), ~weight, member.node);
    });
    return schedulers;
}

std::string probing_zone(const std::vector<membership::Lease>& members, const std::string& worker_zone,
                         const std::string& worker_region) {
    std::string best_zone;
    std::tuple<int, std::uint64_t> best_rank{3, 0};
    for (const membership::Lease& member : members) {
        if (member.phase == membership::Phase::leaving) continue;
        const int distance = member.zone == worker_zone ? 0 : member.region == worker_region ? 1 : 2;
        const std::tuple rank{distance, ownership::rendezvous_weight(worker_zone, member.zone)};
        if (rank >= best_rank) continue;
        best_rank = rank;
        best_zone = member.zone;
    }
    return best_zone;
}

} // namespace willowrill::distribution
