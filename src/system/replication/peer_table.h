// What a replica knows of the other members: when each was heard, and what it said of itself. Bounded:
// members ever heard of that the caller connects to. One thread.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace willowrill::replication {

struct Peer {
    bool connected = false;
    std::optional<Time> heard_at;     // the newest message of any kind
    std::optional<Time> steady_since; // has answered without a gap since then

    // Of its replies to heartbeats.
    std::uint64_t heartbeat = 0;           // highest number answered in this epoch
    std::optional<Time> heartbeat_sent_at; // when the newest heartbeat that it answered was sent
    Position newest_committed;             // its newest committed state
    bool voting = false;
    std::optional<Time> voting_at; // when the newest heartbeat was sent that it answered as one that can vote
    bool complete = false;         // its replica of the state is complete
    bool shutting_down = false;
    std::int64_t reply_sent_at = 0; // ms of its clock, of its newest reply; 0: none, as on the wire

    std::optional<Time> commit_notification_sent_at;
};

class PeerTable {
  public:
    using Entries = std::map<MemberId, Peer>;

    // `member_timeout`: who is silent for longer is not alive.
    PeerTable(MemberId self, Time member_timeout);

    // The peer of this id, added where it was not known.
    Peer& get(const MemberId& id) { return peers_[id]; }
    // Null for one that was never heard of.
    const Peer* find(const MemberId& id) const;

    void on_message(const MemberId& from, Time now);
    void on_connected(const MemberId& peer);
    void on_disconnected(const MemberId& peer);
    // `heartbeat_sent_at`: when the heartbeat that this answers was sent; nothing where that is not known, or
    // where it answers none. A reply that comes late is as old as its heartbeat.
    void on_heartbeat_reply(const MemberId& from, const HeartbeatReply& reply,
                            std::optional<Time> heartbeat_sent_at, Time now);

    // Heard a moment ago. This member itself always is.
    bool is_alive(const MemberId& member, Time now) const;
    // Can vote, does not shut down, and has answered without a gap for so long. Never this member itself.
    bool is_steady(const MemberId& member, Time now, Time needed) const;

    // This member and those of the peers for which the condition holds.
    template <class Condition> std::set<MemberId> self_and(Condition condition) const {
        std::set<MemberId> out{self_};
        for (const auto& [id, peer] : peers_)
            if (condition(peer)) out.insert(id);
        return out;
    }

    Entries::iterator begin() { return peers_.begin(); }
    Entries::iterator end() { return peers_.end(); }
    Entries::const_iterator begin() const { return peers_.begin(); }
    Entries::const_iterator end() const { return peers_.end(); }

    // `newest_heartbeat`: the round sent last. Shows a visitor all that decides what happens next:
    // `visitor(fields...)`. For searches through states (src/system/verification); counters are shown as
    // distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor, std::uint64_t newest_heartbeat) const {
        for (const auto& [id, peer] : peers_) {
            visitor(id, peer.connected, peer.heard_at, peer.steady_since, peer.heartbeat_sent_at,
                    peer.newest_committed, peer.voting, peer.voting_at, peer.complete, peer.shutting_down,
                    peer.reply_sent_at == 0, Time{peer.reply_sent_at}, peer.commit_notification_sent_at);
            visitor(peer.heartbeat == 0 ? newest_heartbeat + 1 : newest_heartbeat - peer.heartbeat);
        }
    }

  private:
    MemberId self_;
    Time member_timeout_;
    Entries peers_;
};

} // namespace willowrill::replication
