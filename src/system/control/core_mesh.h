// The connections between core members, a full mesh: each member dials every peer and sends on the connection
// that it dialled; from connections that it accepted it only reads (control/connection_acceptor.h). One
// thread.
#pragma once

#include "system/messages/messages.h"
#include "system/transport/frame_connection.h"

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
        std::function<void(const MemberId&)> lost;
        // What counts the bytes that go to a member.
        std::function<std::function<void(std::size_t)>(const MemberId&)> counter;
    };

    // `internal_port`: where core members listen for each other, alike on all machines.
    // `self`: how this member introduces itself.
    CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
             Callbacks callbacks);

    // Keeps a connection to this member from now on. False where it is this member itself or no endpoint, or
    // there are too many.
    bool add_peer(const MemberId& member);
    // Dials the peers that it is not connected to; to be called often.
    // A message to a peer that is not connected is dropped.
    void maintain();
    void send(const MemberId& to, const messages::CoreMessage& message);
    void broadcast(const messages::CoreMessage& message);
    std::vector<MemberId> connected() const;

  private:
    struct Link {
        transport::FrameConnectionPtr connection;
        bool dialling = false;
    };
    void dial(const MemberId& member);

    asio::io_context& loop_;
    messages::CoreMember self_;
    std::uint16_t internal_port_;
    Callbacks callbacks_;
    std::map<MemberId, Link> links_;
};

} // namespace willowrill::control
