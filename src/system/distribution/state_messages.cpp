#include "system/distribution/state_messages.h"

#include "system/configuration/patch.h"

namespace willowrill::distribution {

messages::StateSnapshot make_state_snapshot(const replication::Position& position,
                                            const configuration::ControlState& state) {
    return {position, state.version, state.configuration, state.evacuated_zones};
}

std::optional<messages::StateDelta> make_state_delta(const replication::Position& base_position,
                                                     const configuration::ControlState& base,
                                                     const replication::Position& position,
                                                     const configuration::ControlState& state) {
    messages::StateDelta delta{base_position, position, state.version, std::nullopt, state.evacuated_zones};
    if (base.configuration == state.configuration) return delta;
    const auto patch = configuration::difference(base.configuration, state.configuration);
    if (!patch || patch->size() >= state.configuration.size()) return std::nullopt;
    delta.patch = *patch;
    return delta;
}

} // namespace willowrill::distribution
