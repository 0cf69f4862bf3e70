#include "system/replication/peer_table.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

PeerTable::PeerTable(MemberId self, Time member_timeout)
    : self_(std::move(self)), member_timeout_(member_timeout) {}

const Peer* PeerTable::find(const MemberId& id) const {
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

void PeerTable::on_message(const MemberId& from, Time now) {
    Peer& peer = peers_[from];
    const bool was_silent = !peer.heard_at || now - *peer.heard_at > member_timeout_;
    if (!peer.steady_since || was_silent) peer.steady_since = now;
    peer.heard_at = now;
}

void PeerTable::on_connected(const MemberId& id) {
    Peer& peer = peers_[id];
    peer.connected = true;
    peer.shutting_down = false;
    peer.reply_sent_at = 0;
}

void PeerTable::on_disconnected(const MemberId& id) {
    Peer& peer = peers_[id];
    peer.connected = false;
    peer.steady_since.reset();
}

void PeerTable::on_heartbeat_reply(const MemberId& from, const HeartbeatReply& reply,
                                   std::optional<Time> heartbeat_sent_at, Time now) {
    Peer& peer = peers_[from];
    if (reply.voting && !peer.voting) peer.steady_since = now;
    if (reply.voting) peer.voting_at = std::max(peer.voting_at, heartbeat_sent_at);
    peer.voting = reply.voting;
    peer.complete = reply.complete;
    peer.shutting_down = reply.shutting_down;
}

bool PeerTable::is_alive(const MemberId& member, Time now) const {
    if (member == self_) return true;
    const Peer* peer = find(member);
    return peer != nullptr && peer->heard_at && now - *peer->heard_at <= member_timeout_;
}

bool PeerTable::is_steady(const MemberId& member, Time now, Time min_duration) const {
    const Peer* peer = find(member);
    if (peer == nullptr || !is_alive(member, now)) return false;
    const bool can_serve = peer->connected && peer->voting && !peer->shutting_down;
    return can_serve && peer->steady_since && now - *peer->steady_since >= min_duration;
}

} // namespace willowrill::replication
