// Pending requests to confirm that this member is still the primary. Each waits until a quorum has answered a
// round of heartbeats that was sent after the request. Not thread-safe.
#pragma once

#include "system/replication/timing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace willowrill::replication {

class LeadershipConfirmations {
  public:
    // The caller's id of the request.
    using Id = std::uint64_t;

    // `heartbeat`: the round that a quorum must answer.
    void add(Id id, std::uint64_t heartbeat, Time now) { waiting_[id] = {heartbeat, now}; }
    // Makes all pending requests wait for this round: answers to earlier rounds are discarded in a new epoch.
    void wait_for(std::uint64_t heartbeat);
    // Removes and returns the requests whose round was answered by a quorum, as decided by `answered`.
    std::vector<Id> take_answered(const std::function<bool(std::uint64_t heartbeat)>& answered);
    // Removes and returns the requests that have waited for longer than `timeout`.
    std::vector<Id> take_expired(Time now, Time timeout);
    std::vector<Id> take_all();

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    // `newest_heartbeat`: the number of the newest round.
    template <class Visitor> void visit_state(Visitor& visitor, std::uint64_t newest_heartbeat) const {
        visitor(waiting_.size());
        for (const auto& [id, confirmation] : waiting_)
            visitor(id, newest_heartbeat - confirmation.heartbeat, confirmation.since);
    }

  private:
    struct Confirmation {
        std::uint64_t heartbeat = 0;
        Time since{0};
    };
    template <class Condition> std::vector<Id> take_if(Condition condition);

    std::map<Id, Confirmation> waiting_;
};

} // namespace willowrill::replication
