// Evaluates a state that a scheduler receives from its core member: it is newer, already known, or a delta
// whose base the scheduler lacks. A scheduler's state never goes back to a lower position. Free of I/O.
#pragma once

#include "system/configuration/configuration.h"
#include "system/errors/error.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace willowrill::distribution {

// The state that is in force at a scheduler.
struct ActiveState {
    replication::Position position;
    const configuration::Configuration* configuration = nullptr; // never null; owned by the caller
};

// A newer state, which the caller puts in force.
struct StateUpdate {
    replication::Position position;
    configuration::Configuration configuration;
    std::set<std::string> evacuated; // names of zones
};

// The state in the message is not newer than the one in force.
struct AlreadyCurrent {};

// The message is a delta to a state that is not in force: the caller has to request a snapshot.
struct MissingBase {};

using StateUpdateResult = std::variant<StateUpdate, AlreadyCurrent, MissingBase>;

// `active`: empty if the scheduler has no state yet. Fails if the configuration in the message is invalid;
// the state in force then stays.
errors::Result<StateUpdateResult> apply(const messages::StateSnapshot& snapshot,
                                        const std::optional<ActiveState>& active);
errors::Result<StateUpdateResult> apply(const messages::StateDelta& delta,
                                        const std::optional<ActiveState>& active);

} // namespace willowrill::distribution
