// The sessions of schedulers with a core member. Receives lease renewals, and sends the schedulers the
// configuration, evacuations, members and endpoint lists whenever they change: as a delta to schedulers that
// have its base, as a snapshot to the others.
//
// A scheduler without a state receives one only while a quorum confirms that it is current, so that a
// partitioned core member does not let a scheduler start with an outdated state. A scheduler with an older
// state receives a newer one from any member. Free of I/O; not thread-safe.
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

using SessionId = std::uint64_t; // identifies one connection; never reused
using transport::Frame;

class SchedulerSessions {
  public:
    struct Callbacks {
        std::function<void(SessionId, const Frame&)> send;
        // Closes a connection for which there is no room.
        std::function<void(SessionId)> close;
        // Returns whether the state of this member is current.
        std::function<bool()> is_current;
        // Returns the reachable core members.
        std::function<std::vector<messages::CoreMember>()> core_members;
        // The holder of the lease has renewed it at this member.
        std::function<void(const membership::Lease&)> on_lease_renewed;
        // The connection of the holder of the lease was closed.
        std::function<void(const membership::Lease&)> on_lease_ended;
    };
    explicit SchedulerSessions(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    // Starts a session and sends it the published state, members and endpoint lists. Closes the connection if
    // there are too many sessions.
    void add_session(SessionId id);
    void on_message(SessionId id, const messages::SchedulerMessage& message);
    void on_closed(SessionId id);

    void publish_state(const replication::Position& position, const configuration::ControlState& state);
    // Records the members. The next `flush` sends the changes, so that simultaneous changes are sent
    // together.
    void publish_members(const std::vector<membership::Lease>& leases);
    void flush();
    void publish_zone(const discovery::ZoneList& list);

    std::size_t session_count() const { return sessions_.size(); }

  private:
    struct Session {
        std::optional<membership::Lease> lease;
        std::optional<replication::Position> active_position;    // as reported by its last renewal
        std::optional<replication::Position> last_sent_position; // newest state sent on this session
        bool needs_snapshot = false; // the scheduler has reported that it lacks the base of a delta
    };
    void broadcast(const Frame& frame) const;
    void send_state(SessionId id, Session& session) const;
    const Frame& state_frame_for(const Session& session) const;
    void on_renewal(SessionId id, Session& session, const messages::RenewLease& renewal);
    void handle_resync_request(SessionId id, Session& session, const messages::ResyncRequest& resync) const;

    Callbacks callbacks_;
    std::map<SessionId, Session> sessions_; // at most `max_leases`
    configuration::ControlState state_;     // the published state
    replication::Position state_position_;
    replication::Position base_position_; // of the previously published state
    Frame state_snapshot_, state_delta_;  // null: none
    std::map<std::string, membership::Lease> current_members_, published_members_; // by node
    std::uint64_t members_list_number_ = 0; // number of the last published members list
    Frame members_snapshot_;                // snapshot of that list
    std::map<std::string, Frame> zone_frames_;
};

} // namespace willowrill::distribution
