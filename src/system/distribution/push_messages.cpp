#include "system/distribution/push_messages.h"

#include "system/configuration/patch.h"
#include "system/membership/codec.h"

namespace willowrill::distribution {

using nlohmann::json;

json position_json(const replication::Position& position) {
    return json::array({position.epoch, position.sequence});
}

replication::Position position_in(const json& in) {
    return {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}

json lease_message(const membership::Lease& lease, const std::optional<replication::Position>& holds,
                   const std::set<std::string>& lacks) {
    json message{{"type", "lease"}, {"lease", lease}, {"holds", nullptr}};
    if (holds) message["holds"] = position_json(*holds);
    if (!lacks.empty()) message["lacks"] = lacks;
    return message;
}

json state_message(const replication::Position& position, const configuration::ControlState& state) {
    return {{"type", "state"},
            {"position", position_json(position)},
            {"version", state.version},
            {"configuration", state.configuration},
            {"evacuated", state.evacuated_zones}};
}

std::optional<json> state_change_message(const replication::Position& base_position,
                                         const configuration::ControlState& base,
                                         const replication::Position& position,
                                         const configuration::ControlState& state) {
    json message{{"type", "state-change"},
                 {"base", position_json(base_position)},
                 {"position", position_json(position)},
                 {"version", state.version},
                 {"patch", nullptr},
                 {"evacuated", state.evacuated_zones}};
    if (base.configuration == state.configuration) return message;
    const auto patch = configuration::difference(base.configuration, state.configuration);
    if (!patch || patch->size() >= state.configuration.size()) return std::nullopt;
    message["patch"] = *patch;
    return message;
}

json members_message(std::uint64_t number, const std::vector<membership::Lease>& members) {
    return {{"type", "members"}, {"number", number}, {"members", members}};
}

json members_change_message(std::uint64_t number, const std::vector<membership::Lease>& changed,
                            const std::vector<std::string>& gone) {
    return {{"type", "members-change"}, {"number", number}, {"changed", changed}, {"gone", gone}};
}

} // namespace willowrill::distribution
