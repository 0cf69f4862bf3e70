#include "system/ownership/ownership.h"

#include <algorithm>

namespace willowrill::ownership {
namespace {

// A candidate that showed no work for a key is not asked again for so long.
constexpr Time failure_memory{5000};

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    constexpr std::uint64_t basis = 0xcbf29ce484222325ULL, prime = 0x100000001b3ULL;
    std::uint64_t hash = basis;
    const auto mix = [&](std::string_view text) {
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        hash = (hash ^ 0xffU) * prime;
    };
    mix(key);
    mix(candidate);
    // FNV leaves the high bits of near-alike names alike: a last scramble (from splitmix64).
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

std::vector<std::string> rendezvous_order(std::string_view key, const std::vector<std::string>& candidates) {
    std::vector<std::string> out = candidates;
    std::ranges::sort(out, std::greater<>(),
                      [&](const std::string& name) { return std::pair(rendezvous_weight(key, name), name); });
    return out;
}

void RoleAssigner::on_owner_activity(const std::string& key, FencingToken token, Time now) {
    const auto role = roles_.find(key);
    if (role != roles_.end() && role->second.assignment.token == token) role->second.seen = now;
}

bool RoleAssigner::has_working_owner(const Role& role, const std::vector<std::string>& live, Time now) const {
    return std::ranges::count(live, role.assignment.owner) > 0 && now - role.seen <= timeout_;
}

std::string RoleAssigner::owner_of_most(const std::vector<std::string>& live, Time now) const {
    std::map<std::string, std::size_t> keys;
    for (const auto& [key, role] : roles_)
        if (has_working_owner(role, live, now)) ++keys[role.assignment.owner];
    const auto most = std::ranges::max_element(keys, {}, [](const auto& owner) { return owner.second; });
    return most == keys.end() ? "" : most->first;
}

std::string RoleAssigner::choose(const std::string& key, const Role& role,
                                 const std::vector<std::string>& live, Time now) const {
    std::vector<std::string> able;
    for (const std::string& name : live)
        if (!role.failed.contains(name)) able.push_back(name);
    const std::vector<std::string>& candidates = able.empty() ? live : able;
    if (candidates.empty()) return "";
    if (placement_ == Placement::distributed) return rendezvous_order(key, candidates).front();
    std::string most = owner_of_most(live, now);
    if (std::ranges::count(candidates, most) > 0) return most;
    return rendezvous_order("", candidates).front();
}

bool RoleAssigner::is_apart_from(const std::string& owner, const Role& role, Time now) const {
    return placement_ == Placement::colocated && !owner.empty() && role.assignment.owner != owner &&
           !role.failed.contains(owner) && now - role.assigned > failure_memory;
}

std::vector<Assignment> RoleAssigner::assign(const std::vector<std::string>& keys,
                                             const std::vector<std::string>& live, Time now) {
    std::vector<Assignment> out;
    const std::string most = owner_of_most(live, now);
    for (const std::string& key : keys) {
        Role& role = roles_[key];
        std::erase_if(role.failed, [&](const auto& item) { return now - item.second > failure_memory; });
        Assignment& current = role.assignment;
        const bool works = has_working_owner(role, live, now);
        if (!works || is_apart_from(most, role, now)) {
            if (!works && std::ranges::count(live, current.owner) > 0) role.failed[current.owner] = now;
            const std::string owner = choose(key, role, live, now);
            if (owner.empty()) continue;
            current = {key, owner, {epoch_, ++number_}};
            role.seen = now; // it has its timeout from now on
            role.assigned = now;
        }
        out.push_back(current);
    }
    return out;
}

} // namespace willowrill::ownership
