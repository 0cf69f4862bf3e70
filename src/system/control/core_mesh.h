// The connections between core members. Each member dials every other that it knows of, and sends on the
// connection that it dialled; what it accepted it only reads. One thread.
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
    // `self`: told to the members that it dials.
    CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
             Callbacks callbacks);

    // Keeps trying to reach this member from now on. False where it is no member's id, or there are too many.
    bool add_peer(const MemberId& member);
    // Dials whom it is not connected to; called now and then.
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
