// The schedulers' sessions at a core member: takes in the renewals of their leases, and sends them what they
// need to know (configuration, evacuations, members, endpoint lists) whenever it changes. A delta goes to
// those that have its base, a snapshot to the others.
//
// A scheduler without a state is sent one only while a quorum vouches for it, so that a core member that is
// cut off lets nobody begin with an old one. A scheduler with an older state is sent a newer one by any
// member. Pure; one thread.
#pragma once

#include "system/configuration/control_state.h"
#include "system/discovery/instances.h"
#include "system/membership/lease_table.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"
#include "system/transport/frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::distribution {

using SessionId = std::uint64_t; // of one connection; not used again
using transport::Frame;

class SchedulerSessions {
  public:
    struct Callbacks {
        std::function<void(SessionId, const Frame&)> send;
        std::function<void(SessionId)> close;                    // there are too many
        std::function<bool()> is_current;                        // whether this member's state is current
        std::function<std::vector<messages::CoreMember>()> core; // the core members reached
        std::function<void(const membership::Lease&)> renewed;   // by its holder, here
        std::function<void(const membership::Lease&)> ended;     // the holder's connection broke
    };
    explicit SchedulerSessions(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    void add_session(SessionId id);
    void on_message(SessionId id, const messages::SchedulerMessage& message);
    void on_closed(SessionId id);

    void publish_state(const replication::Position& position, const configuration::ControlState& state);
    // Sent to the sessions by the next `flush`, so that changes of one moment go out as one.
    void publish_members(const std::vector<membership::Lease>& leases);
    void flush();
    void publish_zone(const discovery::ZoneList& list);

    std::size_t session_count() const { return sessions_.size(); }

  private:
    struct Session {
        std::optional<membership::Lease> lease;
        std::optional<replication::Position> active_position; // as its last renewal said
        std::optional<replication::Position> sent; // the newest state that went out on this session
        bool needs_snapshot = false;               // has not got the base of a delta
    };
    void push(const Frame& frame) const;
    void send_state(SessionId id, Session& session) const;
    const Frame& state_frame_for(const Session& session) const;
    void on_renewal(SessionId id, Session& session, const messages::RenewLease& renewal);
    void answer_resync(SessionId id, Session& session, const messages::ResyncRequest& resync) const;

    Callbacks callbacks_;
    std::map<SessionId, Session> sessions_; // at most `max_leases`
    configuration::ControlState state_;     // the newest
    replication::Position position_;        // its own, and that of the one before
    replication::Position base_;
    Frame state_snapshot_, state_delta_;                                           // null: there is none
    std::map<std::string, membership::Lease> current_members_, published_members_; // by node
    std::uint64_t published_number_ = 0; // of the list last published
    Frame members_snapshot_;             // that list whole
    std::map<std::string, Frame> zones_;
};

} // namespace willowrill::distribution
