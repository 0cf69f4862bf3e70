// Full mesh of connections between core members. Each member dials every peer and sends messages only on the
// connections that it dialled; accepted connections are only read from (control/connection_acceptor.h). Not
// thread-safe: used on the event loop's thread only.
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

using MemberId = std::string; // the member's control endpoint

class CoreMesh {
  public:
    struct Callbacks {
        std::function<void(const MemberId&)> connected;
        std::function<void(const MemberId&)> disconnected;
        // Returns the function that counts the frames sent to a member; it is called with the size in bytes.
        std::function<std::function<void(std::size_t)>(const MemberId&)> traffic_counter;
        // The protocol versions and features that this process announces at present.
        std::function<protocol::Greeting()> greeting;
        // A member refused the connection because the two share no protocol version.
        std::function<void(const MemberId&)> refused;
        // A message was not sent because its receiver has not announced the required feature.
        std::function<void()> message_held_back;
        // A replicated state was sent, either in full or as a delta.
        std::function<void(bool as_delta)> state_sent;
    };

    // `self`: identity and location that this member announces in its hello.
    // `internal_port`: port on which core members accept each other's connections, the same on all machines.
    // `input_memory`: what members reply is part of it.
    CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
             std::shared_ptr<budget::ByteBudget> input_memory, Callbacks callbacks);

    // Adds a member to the mesh and keeps a connection to it. Returns false if `member` is this member itself
    // or not a valid endpoint, or if the mesh is full.
    bool add_peer(const MemberId& member);
    // Dials the peers that are not connected, except those that refused a connection recently. Called
    // periodically.
    void dial_disconnected_peers();
    // Drops the message if the peer is not connected, or if the message requires a feature that the peer has
    // not announced on this connection.
    void send(const MemberId& to, const messages::CoreMessage& message);
    // As above, except that a state in the message is sent as a delta if the peer supports deltas.
    void send(const MemberId& to, const replication::Message& message);
    // Sends the newest state in full to a peer that could not apply a delta.
    void on_state_snapshot_request(const MemberId& from);
    void broadcast(const messages::CoreMessage& message);
    std::vector<MemberId> connected() const;
    // The greetings of the connected members. A member that has not announced a version range, or not yet,
    // has the default greeting: the one version that predates version ranges.
    std::map<MemberId, protocol::Greeting> greetings() const;
    // Closes the connections to members that share no protocol version with the current greeting.
    void drop_incompatible_peers();

  private:
    struct Link {
        transport::FrameConnectionPtr connection;
        bool dialling = false;
        // The next three belong to the current connection.
        protocol::Greeting greeting;   // the default until the peer has announced one
        protocol::Agreement agreement; // of the lowest version until the peer has replied
        messages::StateDeltaSender state_delta_sender;
        std::chrono::milliseconds refused_until{0}; // steady clock; the peer is not dialled before this time
    };
    void dial(const MemberId& member);
    void on_connected(const MemberId& member, const transport::FrameConnectionPtr& connection);
    void on_reply(const MemberId& member, const messages::DialReply& reply);
    // Returns nullptr if the member is not connected.
    Link* connected_link(const MemberId& member);
    // Whether the peer supports the feature that the message requires. Reports `message_held_back` if not.
    bool can_send(const Link& link, const messages::CoreMessage& message) const;
    void send_state(const Link& link, const messages::CoreMessage& message) const;

    asio::io_context& loop_;
    messages::CoreMember self_;
    std::uint16_t internal_port_;
    std::shared_ptr<budget::ByteBudget> input_memory_;
    Callbacks callbacks_;
    std::map<MemberId, Link> links_;
    RefusalLog refusal_log_;
};

} // namespace willowrill::control
