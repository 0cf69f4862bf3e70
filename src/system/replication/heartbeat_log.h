// The numbers and send times of a primary's recent rounds of heartbeats. Not thread-safe.
#pragma once

#include "system/replication/timing.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace willowrill::replication {

class HeartbeatLog {
  public:
    // Records a new round of heartbeats. Numbers increase across all epochs of this process.
    void add(Time now);
    // The number of the newest round; 0 before the first one.
    std::uint64_t newest_number() const { return number_; }
    // When this round was sent; empty if the round is no longer recorded.
    std::optional<Time> sent_at(std::uint64_t number) const;
    // Whether `period` has passed since the newest round.
    bool is_due(Time now, Time period) const;

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    // Rounds older than `max_age` are omitted, because they are beyond every timeout.
    template <class Visitor> void visit_state(Visitor& visitor, Time now, Time max_age) const {
        for (const Round& round : rounds_)
            if (now - round.sent_at <= max_age) visitor(number_ - round.number, round.sent_at);
        visitor(rounds_.empty());
    }

  private:
    struct Round {
        std::uint64_t number = 0;
        Time sent_at{0};
    };
    std::uint64_t number_ = 0;
    std::deque<Round> rounds_; // the newest rounds; bounded
};

} // namespace willowrill::replication
