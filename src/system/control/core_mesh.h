// The connections between core members, a full mesh: each member dials every peer and sends on the connection
// that it dialled; from connections that it accepted it only reads (control/connection_acceptor.h). One
// thread.
#pragma once

#include "system/control/refusal_log.h"
#include "system/messages/messages.h"
#include "system/messages/state_delta.h"
#include "system/protocol/negotiation.h"
#include "system/transport/frame_connection.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace willowrill::control {

using MemberId = std::string; // control endpoint

class CoreMesh {
  public:
    struct Callbacks {
        std::function<void(const MemberId&)> connected;
        std::function<void(const MemberId&)> disconnected;
        // What counts the bytes that go to a member.
        std::function<std::function<void(std::size_t)>(const MemberId&)> traffic_counter;
        // What this process says of itself now.
        std::function<protocol::Greeting()> greeting;
        // A member has refused a session, as no version is had in common.
        std::function<void(const MemberId&)> refused;
        // A message was not sent, as its receiver has not announced the feature that it needs.
        std::function<void()> message_held_back;
        // A replicated state went out, whole or as a delta.
        std::function<void(bool as_delta)> state_sent;
    };

    // `internal_port`: where core members listen for each other, alike on all machines.
    // `self`: how this member introduces itself.
    CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
             Callbacks callbacks);

    // Keeps a connection to this member from now on. False where it is this member itself or no endpoint, or
    // there are too many.
    bool add_peer(const MemberId& member);
    // Dials the peers that it is not connected to; to be called often.
    void dial_disconnected_peers();
    // A message to a peer that is not connected is dropped, and so is one that needs a feature which the peer
    // has not announced on this connection.
    void send(const MemberId& to, const messages::CoreMessage& message);
    // Likewise; a state in it goes as a delta where the peer can apply that.
    void send(const MemberId& to, const replication::Message& message);
    // The peer could not apply a delta: it is sent the newest state whole.
    void on_state_snapshot_request(const MemberId& from);
    void broadcast(const messages::CoreMessage& message);
    std::vector<MemberId> connected() const;
    // What the connected members have announced. One that has not, or not yet, speaks the one version that
    // named no range.
    std::map<MemberId, protocol::Greeting> greetings() const;
    // Ends the connections to members with which no version is had in common any more.
    void drop_incompatible_peers();

  private:
    struct Link {
        transport::FrameConnectionPtr connection;
        bool dialling = false;
        protocol::Greeting greeting;                   // on this connection; as announced, if it was
        protocol::Agreement agreement;                 // on it; before the reply, of the lowest version
        messages::StateDeltaSender state_delta_sender; // sent on it
        std::chrono::milliseconds refused_until{0};    // steady; is not dialled before
    };
    void dial(const MemberId& member);
    void on_connected(const MemberId& member, const transport::FrameConnectionPtr& connection);
    void on_reply(const MemberId& member, const messages::DialReply& reply);
    // Null where the member is not connected.
    Link* connected_link(const MemberId& member);
    // Whether the message may be sent to this peer.
    bool can_send(const Link& link, const messages::CoreMessage& message) const;
    void send_state(const Link& link, const messages::CoreMessage& message) const;

    asio::io_context& loop_;
    messages::CoreMember self_;
    std::uint16_t internal_port_;
    Callbacks callbacks_;
    std::map<MemberId, Link> links_;
    RefusalLog refusal_log_;
};

} // namespace willowrill::control
