#include "control/lease_gossip.h"

#include "membership/codec.h"

#include <utility>

namespace willowrill::control {
namespace {

using nlohmann::json;

constexpr membership::Time lease_duration{2200};

} // namespace

LeaseGossip::LeaseGossip(Callbacks callbacks) : callbacks_(std::move(callbacks)), leases_(lease_duration) {}

void LeaseGossip::on_renewed(membership::Time now, const membership::Lease& lease) {
    const bool changed = leases_.renew(now, lease, membership::Source::holder);
    if (renewed_here_.contains(lease.node) || renewed_here_.size() < membership::most_leases)
        renewed_here_[lease.node] = lease;
    if (!changed) return;
    on_changed();
    callbacks_.broadcast({{"type", "gossip"}, {"core", json::array()}, {"leases", {lease}}});
}

// The lease itself lapses: its holder may have moved on to another member and renewed there.
void LeaseGossip::on_disconnected(const membership::Lease& lease) {
    const auto held = renewed_here_.find(lease.node);
    if (held != renewed_here_.end() && held->second.incarnation == lease.incarnation)
        renewed_here_.erase(held);
}

void LeaseGossip::on_gossip(membership::Time now, const json& message) {
    bool changed = false;
    for (const json& lease : message.at("leases"))
        changed |= leases_.renew(now, lease.get<membership::Lease>(), membership::Source::core_member);
    if (changed) on_changed();
}

void LeaseGossip::expire(membership::Time now) {
    if (leases_.expire(now)) on_changed();
}

void LeaseGossip::tell(const std::vector<std::string>& core) const {
    json leases = json::array();
    for (const auto& [node, lease] : renewed_here_)
        leases.push_back(lease);
    callbacks_.broadcast({{"type", "gossip"}, {"core", core}, {"leases", std::move(leases)}});
}

} // namespace willowrill::control
