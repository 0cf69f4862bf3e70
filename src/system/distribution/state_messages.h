// The replicated state as the messages that take it to schedulers. Pure.
#pragma once

#include "system/configuration/control_state.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"

#include <optional>

namespace willowrill::distribution {

messages::StateSnapshot make_state_snapshot(const replication::Position& position,
                                            const configuration::ControlState& state);

// The state at `position` as the difference to the one at `base_position`. Nothing where the difference
// cannot be expressed or would be longer than the configuration itself.
std::optional<messages::StateDelta> make_state_delta(const replication::Position& base_position,
                                                     const configuration::ControlState& base,
                                                     const replication::Position& position,
                                                     const configuration::ControlState& state);

} // namespace willowrill::distribution
