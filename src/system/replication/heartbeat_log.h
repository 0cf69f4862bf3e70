// The heartbeats that a primary has sent: their numbers, and when each was sent. One thread.
#pragma once

#include "system/replication/timing.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace willowrill::replication {

class HeartbeatLog {
  public:
    // Numbers a new round of heartbeats. Numbers rise over all epochs of this process.
    void add(Time now);
    // Of the newest round; 0 before the first.
    std::uint64_t number() const { return number_; }
    // When this round was sent; nothing where that is not remembered.
    std::optional<Time> sent_at(std::uint64_t number) const;
    // Whether a new round is due.
    bool is_due(Time now, Time period) const;

    // Rounds older than `max_age` prove nothing any more. Shows a visitor all that decides what happens next:
    // `visitor(fields...)`. For searches through states (src/system/verification); counters are shown as
    // distances, as only these matter.
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
    std::deque<Round> rounds_; // the newest ones, bounded
};

} // namespace willowrill::replication
