#include "system/control/lease_gossip.h"

#include "system/membership/codec.h"

#include <utility>

namespace willowrill::control {
namespace {

using membership::Lease;
using nlohmann::json;

constexpr membership::Time lease_duration{2200};

} // namespace

LeaseGossip::LeaseGossip(std::uint64_t life, Callbacks callbacks)
    : life_(life), callbacks_(std::move(callbacks)), leases_(lease_duration) {}

// ---- Leases renewed here ---------------------------------------------------------------------------------

json LeaseGossip::message(const char* type) const {
    return {{"type", type}, {"life", life_}, {"number", number_}};
}

json LeaseGossip::whole_message() const {
    json out = message("leases");
    out["leases"] = json::array();
    for (const auto& [node, lease] : renewed_here_)
        out["leases"].push_back(lease);
    return out;
}

void LeaseGossip::send_change(const std::vector<Lease>& set, const std::vector<std::string>& gone) {
    ++number_;
    json out = message("leases-change");
    out["leases"] = set;
    out["gone"] = gone;
    callbacks_.broadcast(out);
}

void LeaseGossip::on_renewed(membership::Time now, const Lease& lease) {
    const bool view_changed = leases_.renew(now, lease, membership::Source::holder);
    const auto held = renewed_here_.find(lease.node);
    if (held == renewed_here_.end() && renewed_here_.size() >= membership::most_leases) return;
    Lease before = held == renewed_here_.end() ? Lease{} : held->second;
    before.renewal = lease.renewal;
    const bool list_changed = before != lease;
    renewed_here_[lease.node] = lease;
    renewed_since_told_.insert(lease.node);
    gone_since_told_.erase(lease.node);
    if (list_changed) send_change({lease}, {});
    if (view_changed) on_changed();
}

// The lease itself lapses: its holder may have moved on to another member and renewed there.
void LeaseGossip::on_disconnected(const Lease& lease) {
    const auto held = renewed_here_.find(lease.node);
    if (held == renewed_here_.end() || held->second.incarnation != lease.incarnation) return;
    renewed_here_.erase(held);
    renewed_since_told_.erase(lease.node);
    gone_since_told_.insert(lease.node);
}

void LeaseGossip::tell() {
    if (!gone_since_told_.empty()) send_change({}, {gone_since_told_.begin(), gone_since_told_.end()});
    gone_since_told_.clear();
    json silent = json::array();
    for (const auto& [node, lease] : renewed_here_)
        if (!renewed_since_told_.contains(node)) silent.push_back(node);
    renewed_since_told_.clear();
    json out = message("leases-alive");
    if (!silent.empty()) out["silent"] = std::move(silent);
    callbacks_.broadcast(out);
}

void LeaseGossip::on_connected(const std::string& member) const { callbacks_.send(member, whole_message()); }

// ---- Leases renewed elsewhere ----------------------------------------------------------------------------

void LeaseGossip::on_message(membership::Time now, const std::string& from, const json& message) {
    const auto type = message.at("type").get<std::string>();
    if (type == "leases-wanted") return callbacks_.send(from, whole_message());
    Told& told = told_[from];
    const auto life = message.at("life").get<std::uint64_t>();
    const auto number = message.at("number").get<std::uint64_t>();
    const bool follows = told.life == life && told.number + 1 == number;
    const bool same = told.life == life && told.number == number;
    if (type == "leases-alive" && same && take_proof_of_life(now, told, message)) return;
    const bool whole = type == "leases";
    if (!whole && !(type == "leases-change" && follows)) {
        const bool is_behind = told.life != life || told.number <= number; // else it is old news
        if (is_behind) callbacks_.send(from, {{"type", "leases-wanted"}});
        return;
    }
    const bool changed = whole ? take_whole(now, told, message) : take_change(now, told, message);
    told.life = life;
    told.number = number;
    if (changed) on_changed();
}

bool LeaseGossip::take_leases(membership::Time now, Told& told, const json& leases) {
    bool changed = false;
    for (const json& one : leases) {
        const auto lease = one.get<Lease>();
        changed |= leases_.renew(now, lease, membership::Source::core_member);
        if (told.incarnations.contains(lease.node) || told.incarnations.size() < membership::most_leases)
            told.incarnations[lease.node] = lease.incarnation;
    }
    return changed;
}

bool LeaseGossip::take_whole(membership::Time now, Told& told, const json& message) {
    told.incarnations.clear();
    return take_leases(now, told, message.at("leases"));
}

bool LeaseGossip::take_change(membership::Time now, Told& told, const json& message) {
    for (const json& node : message.at("gone"))
        told.incarnations.erase(node.get<std::string>());
    return take_leases(now, told, message.at("leases"));
}

bool LeaseGossip::take_proof_of_life(membership::Time now, const Told& told, const json& message) {
    std::set<std::string> silent;
    if (message.contains("silent")) silent = message.at("silent").get<std::set<std::string>>();
    bool all_known = true;
    for (const auto& [node, incarnation] : told.incarnations)
        if (!silent.contains(node)) all_known &= leases_.extend(now, node, incarnation);
    return all_known;
}

void LeaseGossip::expire(membership::Time now) {
    if (leases_.expire(now)) on_changed();
}

} // namespace willowrill::control
