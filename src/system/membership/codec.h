// Encodes and decodes leases as JSON. Decoding throws `nlohmann::json::exception` on invalid input.
#pragma once

#include "system/membership/lease_table.h"

#include <nlohmann/json.hpp>

namespace willowrill::membership {

// NOLINTBEGIN(readability-identifier-naming): names required by the library
NLOHMANN_JSON_SERIALIZE_ENUM(Phase, {{Phase::starting, "starting"},
                                     {Phase::ready, "ready"},
                                     {Phase::leaving, "leaving"}})

inline void to_json(nlohmann::json& json, const Lease& lease) {
    json = {{"node", lease.node},         {"incarnation", lease.incarnation},
            {"renewal", lease.renewal},   {"zone", lease.zone},
            {"region", lease.region},     {"front", lease.client_address},
            {"peer", lease.peer_address}, {"phase", lease.phase}};
    if (lease.versions == protocol::VersionRange{}) return; // omitted for compatibility, as in that version
    json["versions"] = {lease.versions.min, lease.versions.max};
}

inline void from_json(const nlohmann::json& json, Lease& lease) {
    json.at("node").get_to(lease.node);
    json.at("incarnation").get_to(lease.incarnation);
    json.at("renewal").get_to(lease.renewal);
    json.at("zone").get_to(lease.zone);
    json.at("region").get_to(lease.region);
    json.at("front").get_to(lease.client_address);
    json.at("peer").get_to(lease.peer_address);
    json.at("phase").get_to(lease.phase);
    lease.versions = {};
    if (!json.contains("versions")) return;
    const nlohmann::json& versions = json.at("versions");
    lease.versions = {versions.at(0).get<protocol::Version>(), versions.at(1).get<protocol::Version>()};
}

// NOLINTEND(readability-identifier-naming)

} // namespace willowrill::membership
