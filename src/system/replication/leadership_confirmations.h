// Questions whether this member still is the primary, each of which waits for a round of heartbeats that was
// sent after it. One thread.
#pragma once

#include "system/replication/timing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace willowrill::replication {

class LeadershipConfirmations {
  public:
    // The caller's id of the question.
    using Id = std::uint64_t;

    // `heartbeat`: the round that must be answered.
    void add(Id id, std::uint64_t heartbeat, Time now) { waiting_[id] = {heartbeat, now}; }
    // A new epoch numbers its answers anew: all wait for this round from now on.
    void wait_for(std::uint64_t heartbeat);
    // Removes and returns those whose round was answered, as the caller knows, by enough members.
    std::vector<Id> take_answered(const std::function<bool(std::uint64_t heartbeat)>& answered);
    // Removes and returns those that have waited for longer than this.
    std::vector<Id> take_expired(Time now, Time timeout);
    std::vector<Id> take_all();

    // `newest_heartbeat`: the round sent last. Shows a visitor all that decides what happens next:
    // `visitor(fields...)`. For searches through states (src/system/verification); counters are shown as
    // distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor, std::uint64_t newest_heartbeat) const {
        visitor(waiting_.size());
        for (const auto& [id, one] : waiting_)
            visitor(id, newest_heartbeat - one.heartbeat, one.since);
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
