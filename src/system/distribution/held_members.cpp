#include "system/distribution/held_members.h"

#include "system/membership/codec.h"

namespace willowrill::distribution {

using membership::Lease;
using nlohmann::json;

bool HeldMembers::take(const json& message) {
    const auto number = message.at("number").get<std::uint64_t>();
    const bool whole = message.at("type") == "members";
    if (!whole && (!number_ || *number_ + 1 != number)) return false;
    const auto set = message.at(whole ? "members" : "changed").get<std::vector<Lease>>();
    const auto gone = whole ? std::vector<std::string>() : message.at("gone").get<std::vector<std::string>>();
    if (whole) members_.clear();
    for (const std::string& node : gone)
        members_.erase(node);
    for (const Lease& lease : set)
        if (members_.contains(lease.node) || members_.size() < membership::most_leases)
            members_[lease.node] = lease;
    number_ = number;
    return true;
}

std::vector<Lease> HeldMembers::members() const {
    std::vector<Lease> out;
    out.reserve(members_.size());
    for (const auto& [node, lease] : members_)
        out.push_back(lease);
    return out;
}

} // namespace willowrill::distribution
