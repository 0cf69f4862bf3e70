#include "system/ownership/ownership.h"

#include <algorithm>

namespace willowrill::ownership {

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

void RoleAssigner::on_work_seen(const std::string& key, FencingToken token, Time now) {
    const auto role = roles_.find(key);
    if (role != roles_.end() && role->second.assignment.token == token) role->second.seen = now;
}

std::vector<Assignment> RoleAssigner::assign(const std::vector<std::string>& keys,
                                             const std::vector<std::string>& live, Time now) {
    constexpr Time failure_memory{5000};
    std::vector<Assignment> out;
    for (const std::string& key : keys) {
        Role& role = roles_[key];
        std::erase_if(role.failed, [&](const auto& item) { return now - item.second > failure_memory; });
        Assignment& current = role.assignment;
        const bool lives = std::ranges::count(live, current.owner) > 0;
        const bool works = now - role.seen <= timeout_;
        if (!lives || !works) {
            if (lives) role.failed[current.owner] = now;
            std::vector<std::string> able;
            for (const std::string& name : live)
                if (!role.failed.contains(name)) able.push_back(name);
            if (able.empty()) role.failed.clear();
            const auto order = rendezvous_order(key, able.empty() ? live : able);
            if (order.empty()) continue;
            current = {key, order.front(), {epoch_, ++number_}};
            role.seen = now; // it has its timeout from now on
        }
        out.push_back(current);
    }
    return out;
}

} // namespace willowrill::ownership
