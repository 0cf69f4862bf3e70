#include "system/distribution/state_update.h"

#include <utility>

namespace willowrill::distribution {
namespace {

using configuration::Configuration;
using errors::Result;

bool is_newer(const replication::Position& position, const std::optional<ActiveState>& active) {
    return !active || position > active->position;
}

Result<Configuration> apply_optional_patch(const Configuration& base,
                                           const std::optional<std::string>& patch) {
    if (!patch) return base;
    return configuration::apply_difference(base, *patch);
}

} // namespace

Result<StateUpdateResult> apply(const messages::StateSnapshot& snapshot,
                                const std::optional<ActiveState>& active) {
    if (!is_newer(snapshot.position, active)) return StateUpdateResult{AlreadyCurrent{}};
    auto parsed = configuration::parse(snapshot.configuration);
    if (!parsed) return parsed.error();
    return StateUpdateResult{
        StateUpdate{snapshot.position, std::move(parsed.value()), snapshot.evacuated_zones}};
}

Result<StateUpdateResult> apply(const messages::StateDelta& delta, const std::optional<ActiveState>& active) {
    if (!is_newer(delta.position, active)) return StateUpdateResult{AlreadyCurrent{}};
    if (!active || delta.base != active->position) return StateUpdateResult{MissingBase{}};
    auto next = apply_optional_patch(*active->configuration, delta.patch);
    if (!next) return next.error();
    return StateUpdateResult{StateUpdate{delta.position, std::move(next.value()), delta.evacuated_zones}};
}

} // namespace willowrill::distribution
