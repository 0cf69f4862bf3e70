#include "system/distribution/held_state.h"

#include "system/distribution/push_messages.h"

#include <utility>

namespace willowrill::distribution {
namespace {

using configuration::Configuration;
using errors::Result;
using nlohmann::json;

Result<Configuration> changed(const Configuration& held, const json& patch) {
    if (patch.is_null()) return held;
    return configuration::altered(held, patch.get_ref<const std::string&>());
}

} // namespace

Result<StatePush> read_state_push(const json& message, const replication::Position* position,
                                  const Configuration* configuration) {
    HeldState next;
    next.position = position_in(message.at("position"));
    if (position != nullptr && next.position <= *position) return StatePush{NotNewer{}};
    next.evacuated = message.at("evacuated").get<std::set<std::string>>();
    const bool is_change = message.at("type") == "state-change";
    if (is_change && (position == nullptr || position_in(message.at("base")) != *position))
        return StatePush{LacksBase{}};
    auto read = is_change ? changed(*configuration, message.at("patch"))
                          : configuration::parse(message.at("configuration").get_ref<const std::string&>());
    if (!read) return read.error();
    next.configuration = std::move(read.value());
    return StatePush{std::move(next)};
}

} // namespace willowrill::distribution
