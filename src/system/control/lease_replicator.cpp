#include "system/control/lease_replicator.h"

#include <utility>

namespace willowrill::control {
namespace {

using membership::Lease;

constexpr membership::Time lease_duration{2200};

} // namespace

LeaseReplicator::LeaseReplicator(std::uint64_t incarnation, Callbacks callbacks)
    : callbacks_(std::move(callbacks)), leases_(lease_duration), version_{incarnation, 0} {}

// ---- Leases renewed at this member -----------------------------------------------------------------------

messages::LeasesSnapshot LeaseReplicator::snapshot() const {
    messages::LeasesSnapshot result{version_, {}};
    for (const auto& [node, lease] : local_leases_)
        result.leases.push_back(lease);
    return result;
}

void LeaseReplicator::publish_delta(const std::vector<Lease>& changed,
                                    const std::vector<std::string>& removed) {
    ++version_.number;
    callbacks_.broadcast(messages::LeasesDelta{version_, changed, removed});
}

void LeaseReplicator::on_renewed(membership::Time now, const Lease& lease) {
    const bool view_changed = leases_.renew(now, lease, membership::Source::holder);
    const auto found = local_leases_.find(lease.node);
    if (found == local_leases_.end() && local_leases_.size() >= membership::max_leases) return;
    Lease previous = found == local_leases_.end() ? Lease{} : found->second;
    previous.renewal = lease.renewal;
    const bool list_changed = previous != lease;
    local_leases_[lease.node] = lease;
    renewed_since_publish_.insert(lease.node);
    removed_since_publish_.erase(lease.node);
    if (list_changed) publish_delta({lease}, {});
    if (view_changed) on_changed();
}

// Does not end the lease: its holder may have reconnected to another core member and renewed it there, so the
// lease ends only by expiring.
void LeaseReplicator::on_disconnected(const Lease& lease) {
    const auto found = local_leases_.find(lease.node);
    if (found == local_leases_.end() || found->second.incarnation != lease.incarnation) return;
    local_leases_.erase(found);
    renewed_since_publish_.erase(lease.node);
    removed_since_publish_.insert(lease.node);
}

void LeaseReplicator::publish() {
    if (!removed_since_publish_.empty())
        publish_delta({}, {removed_since_publish_.begin(), removed_since_publish_.end()});
    removed_since_publish_.clear();
    messages::LeasesKeepAlive keep_alive{version_, {}};
    for (const auto& [node, lease] : local_leases_)
        if (!renewed_since_publish_.contains(node)) keep_alive.silent.insert(node);
    renewed_since_publish_.clear();
    callbacks_.broadcast(keep_alive);
}

void LeaseReplicator::on_connected(const std::string& member) const { callbacks_.send(member, snapshot()); }

void LeaseReplicator::expire(membership::Time now) {
    if (leases_.expire(now)) on_changed();
}

// ---- Leases renewed at other members ---------------------------------------------------------------------

void LeaseReplicator::on_message(membership::Time now, const std::string& from,
                                 const messages::LeasesMessage& message) {
    std::visit([&](const auto& one) { on(now, from, one); }, message);
}

void LeaseReplicator::on(membership::Time now, const std::string& from,
                         const messages::LeasesSnapshot& snapshot) {
    PeerLeases& peer = peers_[from];
    const bool changed = apply_snapshot(now, peer, snapshot);
    peer.version = snapshot.version;
    if (changed) on_changed();
}

void LeaseReplicator::on(membership::Time now, const std::string& from, const messages::LeasesDelta& delta) {
    PeerLeases& peer = peers_[from];
    const messages::LeaseListVersion next{peer.version.incarnation, peer.version.number + 1};
    if (delta.version != next) return request_snapshot(from, delta.version);
    const bool changed = apply_delta(now, peer, delta);
    peer.version = delta.version;
    if (changed) on_changed();
}

void LeaseReplicator::on(membership::Time now, const std::string& from,
                         const messages::LeasesKeepAlive& keep_alive) {
    const PeerLeases& peer = peers_[from];
    if (keep_alive.version == peer.version && apply_keep_alive(now, peer, keep_alive)) return;
    request_snapshot(from, keep_alive.version);
}

void LeaseReplicator::on(membership::Time /*now*/, const std::string& from,
                         const messages::LeasesSnapshotRequest&) {
    callbacks_.send(from, snapshot());
}

void LeaseReplicator::on(membership::Time /*now*/, const std::string& from,
                         const messages::UnknownLeasesUpdate& update) {
    request_snapshot(from, update.version);
}

void LeaseReplicator::request_snapshot(const std::string& from, const messages::LeaseListVersion& version) {
    const messages::LeaseListVersion& received = peers_[from].version;
    const bool outdated = version.incarnation == received.incarnation && version.number < received.number;
    if (!outdated) callbacks_.send(from, messages::LeasesSnapshotRequest{});
}

bool LeaseReplicator::renew_all(membership::Time now, PeerLeases& peer, const std::vector<Lease>& leases) {
    bool changed = false;
    for (const Lease& lease : leases) {
        changed |= leases_.renew(now, lease, membership::Source::core_member);
        if (peer.incarnations.contains(lease.node) || peer.incarnations.size() < membership::max_leases)
            peer.incarnations[lease.node] = lease.incarnation;
    }
    return changed;
}

bool LeaseReplicator::apply_snapshot(membership::Time now, PeerLeases& peer,
                                     const messages::LeasesSnapshot& snapshot) {
    peer.incarnations.clear();
    return renew_all(now, peer, snapshot.leases);
}

bool LeaseReplicator::apply_delta(membership::Time now, PeerLeases& peer,
                                  const messages::LeasesDelta& delta) {
    for (const std::string& node : delta.removed)
        peer.incarnations.erase(node);
    return renew_all(now, peer, delta.changed);
}

bool LeaseReplicator::apply_keep_alive(membership::Time now, const PeerLeases& peer,
                                       const messages::LeasesKeepAlive& keep_alive) {
    bool all_extended = true;
    for (const auto& [node, incarnation] : peer.incarnations)
        if (!keep_alive.silent.contains(node)) all_extended &= leases_.extend(now, node, incarnation);
    return all_extended;
}

} // namespace willowrill::control
