// Fixtures shared by the tests of one replica: a core of three members and its primary.
#pragma once

#include "system/replication/replica.h"

#include "replication/replica_driver.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace willowrill::replication {

inline const std::vector<MemberId> three_members{"a:1", "b:1", "c:1"};

inline Options options(const MemberId& self, bool initial_start) {
    Options out;
    out.self = self;
    out.initial_start = initial_start;
    out.seeds = three_members;
    return out;
}

inline EpochRecord record(Epoch epoch, const MemberId& primary) {
    return {epoch, primary, three_members, three_members};
}

inline WitnessRegister complete_register(Epoch promised, Epoch accepted) {
    return {promised, record(accepted, "a:1"), record(accepted, "a:1"), true};
}

// A driver whose replica has been elected primary of three members, with both others in sync.
inline ReplicaDriver primary() {
    ReplicaDriver member(options("a:1", true));
    member.step(0, PeerConnected{"b:1"});
    member.step(0, PeerConnected{"c:1"});
    Epoch epoch = 0;
    for (int at = 50; epoch == 0 && at < 1000; at += 50)
        for (const PrepareRequest& request : messages_of<PrepareRequest>(member.step(at, Tick{})))
            epoch = request.epoch;
    const auto granted = [&](bool pre_vote) {
        return PrepareReply{epoch, pre_vote, true, false, {epoch, record(1, "a:1"), record(1, "a:1"), true},
                            {}};
    };
    member.receive(1000, "c:1", granted(true)); // makes both others known to be alive
    member.receive(1000, "b:1", granted(false));
    member.receive(1000, "c:1", granted(false));
    member.receive(1000, "b:1", AcceptReply{epoch, true, epoch});
    member.receive(1000, "c:1", AcceptReply{epoch, true, epoch});
    cr_assert(member.replica.is_primary());
    return member;
}

// Lets the receivers answer every heartbeat among the actions.
inline void answer_heartbeats(ReplicaDriver& member, int at, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        const auto* heartbeat = send == nullptr ? nullptr : std::get_if<Heartbeat>(&send->message);
        if (heartbeat == nullptr) continue;
        member.receive(at, send->to,
                       HeartbeatReply{heartbeat->number, heartbeat->record.epoch, heartbeat->record.epoch,
                                      heartbeat->committed, true, true, false, at});
    }
}

inline Propose propose(const ReplicaDriver& member, std::uint64_t id, const std::string& content) {
    return {id, member.replica.committed().position, content};
}

} // namespace willowrill::replication
