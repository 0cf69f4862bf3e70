#include "system/messages/state_delta.h"

#include "system/compression/compression.h"

#include <memory>
#include <utility>

namespace willowrill::messages {
namespace {

using replication::Message;
using replication::ReplicatedState;

// Shorter states gain nothing: their frames are short as they are.
constexpr std::size_t min_content_bytes = 512;
// A delta has to be so many times shorter than the content, which is compressed too when it is sent whole.
constexpr std::size_t min_gain = 4;

// The message with this content in place of its state's.
Message with_content(Message message, std::shared_ptr<const std::string> content) {
    std::visit(
        [&](auto& one) {
            if constexpr (requires { one.state; }) one.state.content = std::move(content);
        },
        message);
    return message;
}

} // namespace

CoreMessage StateDeltaSender::prepare(const Message& message, bool peer_understands_deltas) {
    const ReplicatedState* state = replication::state_in(message);
    if (state == nullptr) return ReplicationEnvelope{message};
    const std::optional<Message> before = std::exchange(last_, message);
    if (!peer_understands_deltas || !before || state->content->size() < min_content_bytes)
        return ReplicationEnvelope{message};
    const ReplicatedState& base = *replication::state_in(*before);
    std::string delta = compression::compress_against(*base.content, *state->content);
    if (delta.size() > state->content->size() / min_gain) return ReplicationEnvelope{message};
    return ReplicationDelta{with_content(message, std::make_shared<const std::string>()), base.position,
                            digest::sha256(*state->content), std::move(delta)};
}

std::optional<CoreMessage> StateDeltaSender::on_snapshot_request() const {
    if (!last_) return std::nullopt;
    return ReplicationEnvelope{*last_};
}

void StateDeltaReceiver::on_message(const Message& message) {
    if (const ReplicatedState* state = replication::state_in(message)) last_ = *state;
}

std::optional<Message> StateDeltaReceiver::apply(const ReplicationDelta& delta) {
    if (!last_ || last_->position != delta.base) return std::nullopt;
    auto content =
        compression::decompress_against(*last_->content, delta.delta, configuration::max_state_bytes);
    if (!content || digest::sha256(*content) != delta.digest) return std::nullopt;
    Message whole = with_content(delta.message, std::make_shared<const std::string>(std::move(*content)));
    on_message(whole);
    return whole;
}

} // namespace willowrill::messages
