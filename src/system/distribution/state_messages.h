// Builds the messages that carry the replicated state to schedulers. Free of I/O.
#pragma once

#include "system/configuration/control_state.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"

#include <optional>

namespace willowrill::distribution {

messages::StateSnapshot make_state_snapshot(const replication::Position& position,
                                            const configuration::ControlState& state);

// Builds the delta from the state at `base_position` to the one at `position`. Returns nothing if the
// difference cannot be expressed or would be at least as long as the configuration itself.
std::optional<messages::StateDelta> make_state_delta(const replication::Position& base_position,
                                                     const configuration::ControlState& base,
                                                     const replication::Position& position,
                                                     const configuration::ControlState& state);

} // namespace willowrill::distribution
