// Replicated states between two core members, as differences to the state sent before on the same connection.
//
// Protocol. A connection delivers in order, so its sender knows which state the receiver has seen on it last:
// that one is the base of the next delta, named by its position. A delta also carries the digest of the
// content that it leads to. A receiver that has not got the base, or comes to another digest, changes nothing
// and asks for the state whole (`StateSnapshotRequest`); the sender then sends the newest whole, whatever it
// is. So no state reaches the replica that is not, byte for byte, the one its sender holds, and a delta that
// is lost, doubled or late costs one whole state. Both ends forget everything with the connection.
//
// Pure; one thread. Holds one state (bounded by configuration::max_state_bytes), whose content is shared with
// the replica.
#pragma once

#include "system/messages/messages.h"
#include "system/replication/messages.h"

#include <optional>

namespace willowrill::messages {

// The end that sends states.
class StateDeltaSender {
  public:
    // What to send for this message: the message itself, or a delta where the peer understands them, a state
    // was sent before and the delta is much the shorter one.
    CoreMessage prepare(const replication::Message& message, bool peer_understands_deltas);

    // The peer asks for the newest state whole: the message to send, or nothing where none was sent.
    std::optional<CoreMessage> on_snapshot_request() const;

  private:
    std::optional<replication::Message> last_; // the newest message with a state
};

// The end that receives them.
class StateDeltaReceiver {
  public:
    // A message that came whole.
    void on_message(const replication::Message& message);

    // The message with its state whole; nothing where the base is not held here or the content is not what
    // was sent: a snapshot has to be requested.
    std::optional<replication::Message> apply(const ReplicationDelta& delta);

  private:
    std::optional<replication::ReplicatedState> last_; // the newest state that came
};

} // namespace willowrill::messages
