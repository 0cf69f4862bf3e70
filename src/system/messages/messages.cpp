#include "system/messages/messages.h"

namespace willowrill::messages {

std::optional<std::string_view> required_feature(const CoreMessage& message) {
    const bool of_deltas = std::holds_alternative<ReplicationDelta>(message) ||
                           std::holds_alternative<StateSnapshotRequest>(message);
    if (of_deltas) return protocol::state_delta_feature;
    return std::nullopt;
}

} // namespace willowrill::messages
