// Accepts connections from other core members and from schedulers. The first message on a connection, the
// hello, identifies the peer and negotiates the protocol version. A connection whose first message is not a
// hello, or that sends a malformed message at any time, is closed. A peer that shares no protocol version
// with this process receives a refusal with the reason before its connection is closed. Not thread-safe: used
// on the event loop's thread only.
#pragma once

#include "system/control/refusal_log.h"
#include "system/distribution/scheduler_sessions.h"
#include "system/messages/messages.h"
#include "system/messages/state_delta.h"
#include "system/protocol/negotiation.h"
#include "system/replication/types.h"
#include "system/transport/frame_connection.h"
#include "system/transport/frame_listener.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace willowrill::control {

class ConnectionAcceptor {
  public:
    enum class PeerKind { core_member, scheduler };

    // Receives identified peers and their messages. Called on the event loop's thread.
    class Handler {
      public:
        virtual ~Handler() = default;

        // A core member has connected. Returns false if it cannot be accepted; its connection is then closed.
        virtual bool on_core_member(const messages::CoreMember& member) = 0;
        virtual void on_core_message(const replication::MemberId& from,
                                     const messages::CoreMessage& message) = 0;
        // A scheduler has opened a session. Returns the id of the session.
        virtual distribution::SessionId on_scheduler(const transport::FrameConnectionPtr& connection) = 0;
        virtual void on_scheduler_message(distribution::SessionId id,
                                          const messages::SchedulerMessage& message) = 0;
        virtual void on_scheduler_closed(distribution::SessionId id) = 0;
        // The protocol versions and features that this process announces at present.
        virtual protocol::Greeting greeting() const = 0;
        // A peer of this kind was refused because it shares no protocol version with this process.
        virtual void on_refused(PeerKind peer) = 0;
        // A message of unknown type was received. It was skipped, or its connection is being closed.
        virtual void on_unknown_message(PeerKind peer) = 0;
        // A message contained `count` unknown fields, which were ignored.
        virtual void on_unknown_fields(PeerKind peer, std::size_t count) = 0;
        // A state delta could not be applied because its base is missing. The stored state is unchanged; a
        // full state has to be requested.
        virtual void on_missing_state_base(const replication::MemberId& from) = 0;
    };

    // `handler` must outlive this object. `input_memory`: what peers send is part of it.
    ConnectionAcceptor(asio::io_context& loop, const std::string& address, std::uint16_t port,
                       std::shared_ptr<budget::ByteBudget> input_memory, Handler& handler);

    // Refuses the identified peers that share no protocol version with the current greeting. Called after the
    // greeting has changed.
    void refuse_incompatible_peers();

  private:
    // The peer at the other end: not identified yet, a core member or a scheduler's session.
    using Identity = std::variant<std::monostate, replication::MemberId, distribution::SessionId>;
    struct Peer {
        Identity identity;
        std::string name; // for log messages
        protocol::Greeting greeting;
        protocol::Agreement agreement;
        messages::StateDeltaReceiver state_delta_receiver; // used for core members only
    };

    void accept(const transport::FrameConnectionPtr& connection);
    void on_message(const transport::FrameConnectionPtr& connection, Peer& peer,
                    const nlohmann::json& document);
    void on_core_message(const transport::FrameConnectionPtr& connection, Peer& peer,
                         const replication::MemberId& from, const messages::CoreMessage& message);
    void on_replication_delta(Peer& peer, const replication::MemberId& from,
                              const messages::ReplicationDelta& delta);
    void count_unknown_fields(PeerKind kind, const nlohmann::json& document);
    void on_hello(const transport::FrameConnectionPtr& connection, Peer& peer,
                  const nlohmann::json& document);
    void refuse(const transport::FrameConnectionPtr& connection, const Peer& peer, PeerKind kind,
                const errors::Error& error);
    void handle_unknown_message(const transport::FrameConnectionPtr& connection, const Peer& peer,
                                PeerKind kind, const messages::UnknownMessage& message);

    Handler& handler_;
    std::set<transport::FrameConnectionPtr> unidentified_;                      // at most `max_unidentified`
    std::map<transport::FrameConnectionPtr, std::shared_ptr<Peer>> identified_; // bounded by the handler
    RefusalLog refusal_log_;
    transport::FrameListener listener_;
};

} // namespace willowrill::control
