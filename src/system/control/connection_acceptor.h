// Accepts the connections that other core members and schedulers dial, and finds out by the first message,
// the hello, whose they are, and settles on a version of the protocol with who sent it. A connection that
// says something else first, or something malformed at any time, is closed; a peer with which no version is
// had in common is told so by name before that. One thread.
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

    // Takes in the connections that are known by their hello. Called on the loop's thread.
    class Handler {
      public:
        virtual ~Handler() = default;

        // A core member has dialled this one. False where it cannot be taken in: the connection is closed.
        virtual bool on_core_member(const messages::CoreMember& member) = 0;
        virtual void on_core_message(const replication::MemberId& from,
                                     const messages::CoreMessage& message) = 0;
        // A scheduler has begun a session. Returns its id.
        virtual distribution::SessionId on_scheduler(const transport::FrameConnectionPtr& connection) = 0;
        virtual void on_scheduler_message(distribution::SessionId id,
                                          const messages::SchedulerMessage& message) = 0;
        virtual void on_scheduler_closed(distribution::SessionId id) = 0;
        // What this process says of itself now.
        virtual protocol::Greeting greeting() const = 0;
        // No session could be had with a peer of this kind.
        virtual void on_refused(PeerKind peer) = 0;
        // A message that is not understood came, and was skipped or ended its connection.
        virtual void on_unknown_message(PeerKind peer) = 0;
        // A message had fields that are not known; they were skipped.
        virtual void on_unknown_fields(PeerKind peer, std::size_t count) = 0;
        // A delta of a state could not be applied: nothing has changed, and the state has to be had whole.
        virtual void on_missing_state_base(const replication::MemberId& from) = 0;
    };

    // `handler` outlives this object.
    ConnectionAcceptor(asio::io_context& loop, const std::string& address, std::uint16_t port,
                       Handler& handler);

    // Refuses the peers with which no version is had in common any more, as this process's greeting has
    // changed.
    void refuse_incompatible_peers();

  private:
    // Whose a connection is: nobody's yet, a core member's or a scheduler's.
    using Identity = std::variant<std::monostate, replication::MemberId, distribution::SessionId>;
    struct Peer {
        Identity identity;
        std::string name; // for the log
        protocol::Greeting greeting;
        protocol::Agreement agreement;
        messages::StateDeltaReceiver state_delta_receiver; // of a core member
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
