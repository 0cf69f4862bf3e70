// Tests of what a replica knows about the other members and for how long it is valid.
#include "system/replication/peer_table.h"

#include <criterion/criterion.h>

using namespace willowrill::replication;

namespace {

constexpr Time member_timeout{800}, min_duration{1000};

HeartbeatReply reply(bool voting, bool shutting_down = false) {
    HeartbeatReply out;
    out.voting = voting;
    out.complete = true;
    out.shutting_down = shutting_down;
    return out;
}

// A table with one connected peer that has answered every 250 ms until `end_ms`.
PeerTable answering_until(int end_ms, const HeartbeatReply& reply_content = reply(true)) {
    PeerTable out("a:1", member_timeout);
    out.on_connected("b:1");
    for (int at = 0; at <= end_ms; at += 250) {
        out.on_message("b:1", Time(at));
        out.on_heartbeat_reply("b:1", reply_content, Time(at), Time(at));
    }
    return out;
}

} // namespace

Test(peer_table, this_member_is_alive_and_is_never_among_the_steady_peers) {
    const PeerTable peers("a:1", member_timeout);
    cr_assert(peers.is_alive("a:1", Time(100000)));
    cr_assert_not(peers.is_steady("a:1", Time(100000), Time(0)));
    cr_assert_not(peers.is_alive("b:1", Time(0)));
    cr_assert(peers.find("b:1") == nullptr);
}

Test(peer_table, a_peer_is_alive_for_a_while_after_each_message) {
    PeerTable peers("a:1", member_timeout);
    peers.on_message("b:1", Time(100));
    cr_assert(peers.is_alive("b:1", Time(900)));
    cr_assert_not(peers.is_alive("b:1", Time(901)));
}

Test(peer_table, a_peer_is_steady_once_it_has_answered_without_a_gap) {
    cr_assert_not(answering_until(750).is_steady("b:1", Time(999), min_duration));
    cr_assert(answering_until(1000).is_steady("b:1", Time(1000), min_duration));
}

Test(peer_table, a_gap_restarts_the_steady_period) {
    PeerTable peers = answering_until(1000);
    peers.on_message("b:1", Time(1801));
    cr_assert_not(peers.is_steady("b:1", Time(1801), min_duration));
    cr_assert(peers.is_steady("b:1", Time(2600), Time(799)));
}

Test(peer_table, a_peer_that_cannot_vote_or_shuts_down_is_not_steady) {
    cr_assert_not(answering_until(2000, reply(false)).is_steady("b:1", Time(2000), min_duration));
    cr_assert_not(answering_until(2000, reply(true, true)).is_steady("b:1", Time(2000), min_duration));
}

Test(peer_table, the_steady_period_starts_when_a_peer_can_vote_again) {
    PeerTable peers = answering_until(2000, reply(false));
    peers.on_message("b:1", Time(2250));
    peers.on_heartbeat_reply("b:1", reply(true), Time(2250), Time(2250));
    cr_assert_not(peers.is_steady("b:1", Time(2250), Time(1)));
    peers.on_message("b:1", Time(2500));
    cr_assert(peers.is_steady("b:1", Time(2500), Time(250)));
}

Test(peer_table, a_reply_is_as_old_as_the_heartbeat_that_it_answers) {
    PeerTable peers = answering_until(1000);
    peers.on_heartbeat_reply("b:1", reply(true), Time(500), Time(3000));
    cr_assert(peers.find("b:1")->voting_at == Time(1000), "a late duplicate of an earlier reply");
    peers.on_heartbeat_reply("b:1", reply(true), std::nullopt, Time(3000));
    cr_assert(peers.find("b:1")->voting_at == Time(1000),
              "a reply to a heartbeat that is no longer recorded");
    peers.on_heartbeat_reply("b:1", reply(true), Time(2900), Time(3000));
    cr_assert(peers.find("b:1")->voting_at == Time(2900));
}

Test(peer_table, a_lost_connection_restarts_the_steady_period_and_a_new_one_clears_the_shutdown) {
    PeerTable peers = answering_until(2000, reply(true, true));
    peers.on_disconnected("b:1");
    cr_assert_not(peers.is_steady("b:1", Time(2000), Time(0)));
    peers.on_connected("b:1");
    cr_assert_not(peers.find("b:1")->shutting_down);
    peers.on_message("b:1", Time(2100));
    cr_assert(peers.is_steady("b:1", Time(2100), Time(0)));
}

Test(peer_table, this_member_and_the_peers_that_meet_a_condition) {
    PeerTable peers = answering_until(0);
    peers.on_message("c:1", Time(0));
    const auto voting = peers.self_and_peers_where([](const Peer& peer) { return peer.voting; });
    cr_assert(voting == (std::set<MemberId>{"a:1", "b:1"}));
}
