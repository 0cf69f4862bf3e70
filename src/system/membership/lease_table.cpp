#include "system/membership/lease_table.h"

namespace willowrill::membership {

bool LeaseTable::renew(Time now, const Lease& lease, Source source) {
    if (const auto ended = ended_incarnations_.find(lease.node);
        ended != ended_incarnations_.end() && ended->second == lease.incarnation)
        return false;
    const auto found = entries_.find(lease.node);
    if (found == entries_.end()) {
        if (entries_.size() >= max_leases) return false;
        entries_.emplace(lease.node, Entry{lease, now});
        return true;
    }
    Entry& entry = found->second;
    const bool same_incarnation = entry.lease.incarnation == lease.incarnation;
    if (same_incarnation && lease.renewal <= entry.lease.renewal) return false;
    if (!same_incarnation && source == Source::core_member) return false; // the known lease must expire first
    if (!same_incarnation) ended_incarnations_[lease.node] = entry.lease.incarnation;
    Lease previous = entry.lease;
    previous.renewal = lease.renewal;
    entry = {lease, now};
    return !(previous == lease);
}

bool LeaseTable::extend(Time now, const std::string& node, std::uint64_t incarnation) {
    const auto found = entries_.find(node);
    if (found == entries_.end()) return false;
    if (found->second.lease.incarnation == incarnation) found->second.renewed_at = now;
    return true;
}

bool LeaseTable::end(const std::string& node, std::uint64_t incarnation) {
    const auto found = entries_.find(node);
    if (found == entries_.end() || found->second.lease.incarnation != incarnation) return false;
    entries_.erase(found);
    if (ended_incarnations_.size() >= max_leases) ended_incarnations_.clear();
    ended_incarnations_[node] = incarnation;
    return true;
}

bool LeaseTable::expire(Time now) {
    return std::erase_if(entries_,
                         [&](const auto& item) { return now - item.second.renewed_at > duration_; }) > 0;
}

std::vector<Lease> LeaseTable::leases() const {
    std::vector<Lease> leases_by_node;
    leases_by_node.reserve(entries_.size());
    for (const auto& [node, entry] : entries_)
        leases_by_node.push_back(entry.lease);
    return leases_by_node;
}

} // namespace willowrill::membership
