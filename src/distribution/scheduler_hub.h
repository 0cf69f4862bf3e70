// The schedulers' sessions at a core member: takes their leases in and pushes what they need to know
// (configuration, evacuations, members, workers) whenever it changes. To one that knows nothing the state is
// handed only while a quorum vouches for it, so that a member which is cut off gives an old one to nobody;
// one that holds an older state gets a newer one from any member. Pure; one thread.
#pragma once

#include "configuration/control_state.h"
#include "discovery/instances.h"
#include "membership/lease_table.h"
#include "replication/types.h"
#include "transport/frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::distribution {

using SessionId = std::uint64_t; // of one connection; not used again
using transport::Frame;

// A scheduler's renewal of its lease, as a message. `holds`: the state that it has in force, if any.
nlohmann::json lease_message(const membership::Lease& lease,
                             const std::optional<replication::Position>& holds);

class SchedulerHub {
  public:
    struct Callbacks {
        std::function<void(SessionId, const Frame&)> send;
        std::function<void(SessionId)> close;                  // there are too many
        std::function<bool()> is_current;                      // whether this member's state is current
        std::function<std::vector<std::string>()> core;        // ids of the core members known
        std::function<void(const membership::Lease&)> renewed; // by its holder, here
        std::function<void(const membership::Lease&)> ended;   // the holder's connection broke
    };
    explicit SchedulerHub(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    void adopt(SessionId id);
    // Throws nlohmann::json::exception on a message of the wrong shape.
    void on_message(SessionId id, const nlohmann::json& message);
    void on_closed(SessionId id);

    void publish_state(const replication::Position& position, const configuration::ControlState& state);
    void publish_members(const std::vector<membership::Lease>& leases);
    void publish_zone(const discovery::ZoneList& list);

    std::size_t sessions() const { return sessions_.size(); }

  private:
    struct Session {
        std::optional<membership::Lease> lease;
        std::optional<replication::Position> holds; // as its last renewal said
        Frame state;                                // the newest that this scheduler was sent
    };
    void push(const Frame& frame) const;
    void send_state(SessionId id, Session& session) const;

    Callbacks callbacks_;
    std::map<SessionId, Session> sessions_; // at most `most_leases`
    Frame state_, members_;
    replication::Position position_; // of the state
    std::map<std::string, Frame> zones_;
};

} // namespace willowrill::distribution
