// What a scheduler makes of a state that its core member sends: a newer state, nothing new, or a delta whose
// base it has not got. A scheduler's state never goes back to a lower position. Pure.
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

// The state that a scheduler has in force.
struct ActiveState {
    replication::Position position;
    const configuration::Configuration* configuration = nullptr; // never null; owned by the caller
};

// A newer state, to be put in force.
struct StateUpdate {
    replication::Position position;
    configuration::Configuration configuration;
    std::set<std::string> evacuated; // zones
};

// The message says nothing new.
struct AlreadyCurrent {};

// The message is a delta to a state that is not in force: the snapshot has to be requested.
struct MissingBase {};

using StateUpdateResult = std::variant<StateUpdate, AlreadyCurrent, MissingBase>;

// `active`: none where the scheduler has no state yet. An error where the configuration in the message cannot
// be read; the state in force stays.
errors::Result<StateUpdateResult> apply(const messages::StateSnapshot& snapshot,
                                        const std::optional<ActiveState>& active);
errors::Result<StateUpdateResult> apply(const messages::StateDelta& delta,
                                        const std::optional<ActiveState>& active);

} // namespace willowrill::distribution
