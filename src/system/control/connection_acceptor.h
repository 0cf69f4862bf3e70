// Accepts the connections that other core members and schedulers dial, and finds out by the first message,
// the hello, whose they are. A connection that says something else first, or something malformed at any time,
// is closed. One thread.
#pragma once

#include "system/distribution/scheduler_sessions.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"
#include "system/transport/frame_connection.h"
#include "system/transport/frame_listener.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace willowrill::control {

class ConnectionAcceptor {
  public:
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
    };

    // `handler` outlives this object.
    ConnectionAcceptor(asio::io_context& loop, const std::string& address, std::uint16_t port,
                       Handler& handler);

  private:
    // Whose a connection is: nobody's yet, a core member's or a scheduler's.
    using Identity = std::variant<std::monostate, replication::MemberId, distribution::SessionId>;

    void accept(const transport::FrameConnectionPtr& connection);
    void on_message(const transport::FrameConnectionPtr& connection, Identity& identity,
                    const nlohmann::json& document);
    void on_hello(const transport::FrameConnectionPtr& connection, Identity& identity,
                  const nlohmann::json& document);

    Handler& handler_;
    std::set<transport::FrameConnectionPtr> unidentified_; // at most `max_unidentified`
    transport::FrameListener listener_;
};

} // namespace willowrill::control
