// Leases as JSON. Throws on anything else.
#pragma once

#include "system/membership/lease_table.h"

#include <nlohmann/json.hpp>

namespace willowrill::membership {

// NOLINTBEGIN(readability-identifier-naming): the library looks these names up
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::starting, "starting"},
                                     {Phase::ready, "ready"},
                                     {Phase::leaving, "leaving"}})

inline void to_json(nlohmann::json& json, const Lease& lease) {
    json = {{"node", lease.node},         {"incarnation", lease.incarnation},
            {"renewal", lease.renewal},   {"zone", lease.zone},
            {"region", lease.region},     {"front", lease.client_address},
            {"peer", lease.peer_address}, {"phase", lease.phase}};
    if (lease.versions == protocol::VersionRange{}) return; // as programs of that version write it
    json["versions"] = {lease.versions.min, lease.versions.max};
}

inline void from_json(const nlohmann::json& json, Lease& out) {
    json.at("node").get_to(out.node);
    json.at("incarnation").get_to(out.incarnation);
    json.at("renewal").get_to(out.renewal);
    json.at("zone").get_to(out.zone);
    json.at("region").get_to(out.region);
    json.at("front").get_to(out.client_address);
    json.at("peer").get_to(out.peer_address);
    json.at("phase").get_to(out.phase);
    out.versions = {};
    if (!json.contains("versions")) return;
    const nlohmann::json& versions = json.at("versions");
    out.versions = {versions.at(0).get<protocol::Version>(), versions.at(1).get<protocol::Version>()};
}

// NOLINTEND(readability-identifier-naming)

} // namespace willowrill::membership
