#include "system/simulation/state_transfer.h"

#include <type_traits>

namespace willowrill::simulation {
namespace {

using replication::Message;

// The message with this content in place of the one that it should have.
Message forged(Message message, const replication::ReplicatedState& from) {
    std::visit(
        [&](auto& one) {
            if constexpr (requires { one.state; }) one.state.content = from.content;
        },
        message);
    return message;
}

} // namespace

messages::CoreMessage StateTransfer::prepare(const replication::MemberId& to, const Message& message,
                                             bool peer_understands_deltas) {
    return senders_[to].prepare(message, peer_understands_deltas);
}

std::optional<messages::CoreMessage>
StateTransfer::on_snapshot_request(const replication::MemberId& from) const {
    const auto sender = senders_.find(from);
    return sender == senders_.end() ? std::nullopt : sender->second.on_snapshot_request();
}

std::optional<Message> StateTransfer::receive(const replication::MemberId& from, ConnectionSerial serial,
                                              const messages::CoreMessage& message) {
    Receiver& receiver = receivers_[from];
    if (receiver.serial != serial) receiver = {serial, {}, receiver.newest};
    std::optional<Message> whole;
    if (const auto* envelope = std::get_if<messages::ReplicationEnvelope>(&message)) {
        receiver.states.on_message(envelope->message);
        whole = envelope->message;
    } else if (const auto* delta = std::get_if<messages::ReplicationDelta>(&message)) {
        whole = receiver.states.apply(*delta);
        if (!whole && break_trusts_any_base && receiver.newest)
            whole = forged(delta->message, *receiver.newest);
    }
    if (whole)
        if (const auto* state = replication::state_in(*whole)) receiver.newest = *state;
    return whole;
}

} // namespace willowrill::simulation
