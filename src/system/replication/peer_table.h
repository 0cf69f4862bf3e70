// What a replica knows about the other members: when each was last heard from, and what it reported about
// itself. Bounded by the number of members that the caller has connected to. Not thread-safe.
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
    std::optional<Time> heard_at;     // when the newest message of any type arrived
    std::optional<Time> steady_since; // has been heard from without a gap since then

    // Taken from its heartbeat replies.
    std::uint64_t heartbeat = 0;           // highest round answered in this epoch
    std::optional<Time> heartbeat_sent_at; // send time of the newest round that it answered
    Position newest_committed;             // position of its newest committed state
    bool voting = false;
    std::optional<Time> voting_at; // send time of the newest heartbeat that it answered while able to vote
    bool complete = false;         // its copy of the state is complete
    bool shutting_down = false;
    std::int64_t reply_sent_at = 0; // `sent_at` of its newest reply, in ms of its clock; 0: none

    std::optional<Time> commit_notification_sent_at;
};

class PeerTable {
  public:
    using Entries = std::map<MemberId, Peer>;

    // `member_timeout`: a member that is silent for longer is not considered alive.
    PeerTable(MemberId self, Time member_timeout);

    // Returns the peer with this id, adding it if it is unknown.
    Peer& get(const MemberId& id) { return peers_[id]; }
    // Returns null for an unknown peer.
    const Peer* find(const MemberId& id) const;

    void on_message(const MemberId& from, Time now);
    void on_connected(const MemberId& peer);
    void on_disconnected(const MemberId& peer);
    // `heartbeat_sent_at`: when the answered heartbeat was sent; empty if that is unknown or the reply
    // answers no heartbeat. A late reply is only as recent as the heartbeat it answers.
    void on_heartbeat_reply(const MemberId& from, const HeartbeatReply& reply,
                            std::optional<Time> heartbeat_sent_at, Time now);

    // Whether the member was heard from within the member timeout. Always true for this member itself.
    bool is_alive(const MemberId& member, Time now) const;
    // Whether the member is connected, can vote, is not shutting down, and has been heard from without a gap
    // for at least `min_duration`. Always false for this member itself.
    bool is_steady(const MemberId& member, Time now, Time min_duration) const;

    // Returns this member and all peers for which the condition holds.
    template <class Condition> std::set<MemberId> self_and_peers_where(Condition condition) const {
        std::set<MemberId> members{self_};
        for (const auto& [id, peer] : peers_)
            if (condition(peer)) members.insert(id);
        return members;
    }

    Entries::iterator begin() { return peers_.begin(); }
    Entries::iterator end() { return peers_.end(); }
    Entries::const_iterator begin() const { return peers_.begin(); }
    Entries::const_iterator end() const { return peers_.end(); }

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    // `newest_heartbeat`: the number of the newest round.
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
