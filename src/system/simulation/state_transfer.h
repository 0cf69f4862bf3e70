// How the replicated states of a member travel in a run: the real deltas of both ends of each connection.
// What is late, as a copy of an earlier message or on a connection that was replaced, meets a base that has
// moved on. One thread.
#pragma once

#include "system/messages/state_delta.h"
#include "system/replication/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace willowrill::simulation {

using ConnectionSerial = std::uint64_t;

class StateTransfer {
  public:
    // ---- Towards a peer

    void on_connected(const replication::MemberId& peer) { senders_[peer] = {}; }
    messages::CoreMessage prepare(const replication::MemberId& to, const replication::Message& message,
                                  bool peer_understands_deltas);
    std::optional<messages::CoreMessage> on_snapshot_request(const replication::MemberId& from) const;

    // ---- From a peer

    // The replication message in it, with its state whole; nothing where that has to be requested.
    std::optional<replication::Message> receive(const replication::MemberId& from, ConnectionSerial serial,
                                                const messages::CoreMessage& message);

    // Deliberate break: a delta without its base is applied to whatever state is there.
    bool break_trusts_any_base = false;

  private:
    struct Receiver {
        ConnectionSerial serial = 0;
        messages::StateDeltaReceiver states;
        std::optional<replication::ReplicatedState> newest; // for the deliberate break
    };
    std::map<replication::MemberId, messages::StateDeltaSender> senders_; // bounded by the members
    std::map<replication::MemberId, Receiver> receivers_;
};

} // namespace willowrill::simulation
