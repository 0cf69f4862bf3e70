#include "system/distribution/member_view.h"

namespace willowrill::distribution {

using membership::Lease;

void MemberView::apply(const messages::MembersSnapshot& snapshot) {
    members_.clear();
    add_leases(snapshot.members);
    list_number_ = snapshot.number;
}

bool MemberView::apply(const messages::MembersDelta& delta) {
    if (!list_number_ || *list_number_ + 1 != delta.number) return false;
    for (const std::string& node : delta.removed)
        members_.erase(node);
    add_leases(delta.changed);
    list_number_ = delta.number;
    return true;
}

void MemberView::add_leases(const std::vector<Lease>& leases) {
    for (const Lease& lease : leases)
        if (members_.contains(lease.node) || members_.size() < membership::max_leases)
            members_[lease.node] = lease;
}

std::vector<Lease> MemberView::members() const {
    std::vector<Lease> leases;
    leases.reserve(members_.size());
    for (const auto& [node, lease] : members_)
        leases.push_back(lease);
    return leases;
}

} // namespace willowrill::distribution
