// Lists of workers as JSON between processes of the system. Throws on anything else.
#pragma once

#include "system/discovery/instances.h"

#include <nlohmann/json.hpp>

namespace willowrill::discovery {

// NOLINTBEGIN(readability-identifier-naming): the library looks these names up
NLOHMANN_JSON_SERIALIZE_ENUM(InstanceState, {{InstanceState::draining, "draining"},
                                             {InstanceState::in_service, "in_service"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FencingToken, epoch, number)

inline void to_json(nlohmann::json& json, const Instance& in) {
    json = {{"id", in.id},
            {"service", in.service},
            {"address", in.address},
            {"zone", in.zone},
            {"capacity", in.capacity},
            {"state", in.state},
            {"cold", in.cold_remaining.count()}};
}

inline void from_json(const nlohmann::json& json, Instance& out) {
    json.at("id").get_to(out.id);
    json.at("service").get_to(out.service);
    json.at("address").get_to(out.address);
    json.at("zone").get_to(out.zone);
    json.at("capacity").get_to(out.capacity);
    json.at("state").get_to(out.state);
    out.cold_remaining = Milliseconds(json.at("cold").get<std::int64_t>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneList, zone, token, serial, instances)
// NOLINTEND(readability-identifier-naming)

} // namespace willowrill::discovery
