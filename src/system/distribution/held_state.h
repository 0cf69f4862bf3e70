// The state in force as a scheduler holds it, and what a push of its core member makes of it: never an older
// one than before. Pure.
#pragma once

#include "system/configuration/configuration.h"
#include "system/errors/error.h"
#include "system/replication/types.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <variant>

namespace willowrill::distribution {

struct HeldState {
    replication::Position position;
    configuration::Configuration configuration;
    std::set<std::string> evacuated;
};

// The push says nothing new.
struct NotNewer {};
// It is a change of a state that is not held: the whole one has to be asked for.
struct LacksBase {};
using StatePush = std::variant<HeldState, NotNewer, LacksBase>;

// Reads a "state" or "state-change" message. `position`, `configuration`: of the state held, null where none
// is. Throws nlohmann::json::exception on a message of the wrong shape; an error where the configuration in
// it cannot be read, and what is held stays.
errors::Result<StatePush> read_state_push(const nlohmann::json& message,
                                          const replication::Position* position,
                                          const configuration::Configuration* configuration);

} // namespace willowrill::distribution
