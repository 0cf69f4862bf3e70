// JSON encoding of worker lists between processes of the system. Decoding throws on invalid input.
#pragma once

#include "system/discovery/instances.h"

#include <nlohmann/json.hpp>

namespace willowrill::discovery {

// NOLINTBEGIN(readability-identifier-naming): the library looks these names up
NLOHMANN_JSON_SERIALIZE_ENUM(InstanceState, {{InstanceState::draining, "draining"},
                                             {InstanceState::in_service, "in_service"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FencingToken, epoch, number)

inline void to_json(nlohmann::json& json, const Instance& instance) {
    json = {{"id", instance.id},
            {"service", instance.service},
            {"address", instance.address},
            {"zone", instance.zone},
            {"capacity", instance.capacity},
            {"state", instance.state},
            {"cold", instance.cold_remaining.count()}};
}

inline void from_json(const nlohmann::json& json, Instance& instance) {
    json.at("id").get_to(instance.id);
    json.at("service").get_to(instance.service);
    json.at("address").get_to(instance.address);
    json.at("zone").get_to(instance.zone);
    json.at("capacity").get_to(instance.capacity);
    json.at("state").get_to(instance.state);
    instance.cold_remaining = Milliseconds(json.at("cold").get<std::int64_t>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneList, zone, token, serial, instances)
// NOLINTEND(readability-identifier-naming)

} // namespace willowrill::discovery
