#include "system/ownership/ownership.h"

#include <algorithm>

namespace willowrill::ownership {
namespace {

// How long an owner that was not active for a key is excluded from owning that key again.
constexpr Time failed_owner_cooldown{5000};

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325ULL, prime = 0x100000001b3ULL;
    std::uint64_t hash = offset_basis;
    const auto mix = [&](std::string_view text) {
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        hash = (hash ^ 0xffU) * prime;
    };
    mix(key);
    mix(candidate);
    // FNV-1a yields similar high bits for similar names; the splitmix64 finalizer mixes them.
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

std::vector<std::string> rendezvous_order(std::string_view key, const std::vector<std::string>& candidates) {
    std::vector<std::string> ordered = candidates;
    std::ranges::sort(ordered, std::greater<>(),
                      [&](const std::string& name) { return std::pair(rendezvous_weight(key, name), name); });
    return ordered;
}

void RoleAssigner::on_owner_activity(const std::string& key, FencingToken token, Time now) {
    const auto role = roles_.find(key);
    if (role != roles_.end() && role->second.assignment.token == token) role->second.last_activity_at = now;
}

bool RoleAssigner::has_active_owner(const Role& role, const std::vector<std::string>& live, Time now) const {
    return std::ranges::count(live, role.assignment.owner) > 0 && now - role.last_activity_at <= timeout_;
}

std::string RoleAssigner::owner_of_most_keys(const std::vector<std::string>& live, Time now) const {
    std::map<std::string, std::size_t> keys;
    for (const auto& [key, role] : roles_)
        if (has_active_owner(role, live, now)) ++keys[role.assignment.owner];
    const auto busiest_owner =
        std::ranges::max_element(keys, {}, [](const auto& owner) { return owner.second; });
    return busiest_owner == keys.end() ? "" : busiest_owner->first;
}

std::string RoleAssigner::choose_owner(const std::string& key, const Role& role,
                                       const std::vector<std::string>& live, Time now) const {
    std::vector<std::string> eligible;
    for (const std::string& name : live)
        if (!role.failed_candidates.contains(name)) eligible.push_back(name);
    const std::vector<std::string>& candidates = eligible.empty() ? live : eligible;
    if (candidates.empty()) return "";
    if (placement_ == Placement::distributed) return rendezvous_order(key, candidates).front();
    std::string busiest_owner = owner_of_most_keys(live, now);
    if (std::ranges::count(candidates, busiest_owner) > 0) return busiest_owner;
    return rendezvous_order("", candidates).front();
}

bool RoleAssigner::should_move_to(const std::string& owner, const Role& role, Time now) const {
    return placement_ == Placement::colocated && !owner.empty() && role.assignment.owner != owner &&
           !role.failed_candidates.contains(owner) && now - role.assigned_at > failed_owner_cooldown;
}

std::vector<Assignment> RoleAssigner::assign(const std::vector<std::string>& keys,
                                             const std::vector<std::string>& live, Time now) {
    std::vector<Assignment> assignments;
    const std::string busiest_owner = owner_of_most_keys(live, now);
    for (const std::string& key : keys) {
        Role& role = roles_[key];
        std::erase_if(role.failed_candidates,
                      [&](const auto& item) { return now - item.second > failed_owner_cooldown; });
        Assignment& current = role.assignment;
        const bool owner_is_active = has_active_owner(role, live, now);
        if (!owner_is_active || should_move_to(busiest_owner, role, now)) {
            if (!owner_is_active && std::ranges::count(live, current.owner) > 0)
                role.failed_candidates[current.owner] = now;
            const std::string owner = choose_owner(key, role, live, now);
            if (owner.empty()) continue;
            current = {key, owner, {epoch_, ++number_}};
            role.last_activity_at = now; // starts the new owner's timeout
            role.assigned_at = now;
        }
        assignments.push_back(current);
    }
    return assignments;
}

} // namespace willowrill::ownership
