// When the bytes came that wait unread on a connection: a client's time for a request runs from then on, and
// not from when the one before it was answered. It holds no bytes and knows no sockets.
#pragma once

#include "scheduler/net/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace willowrill::frontend {

class ArrivalTimes {
  public:
    // So many bytes wait by now. `full`: the buffer takes no more, so that the next ones may be here already.
    // Those, and bytes beyond `most_marks` times, count as come with the last ones that are known: a client
    // may seem to have asked earlier than it did, never later.
    void record_unread(std::size_t bytes, net::Time now, bool full) {
        const std::size_t end = taken_ + bytes;
        if (was_full_) now = full_at_;
        was_full_ = full;
        full_at_ = now;
        if (end <= (count_ > 0 ? last().end : taken_)) return;
        if (count_ == most_marks) {
            last().end = end;
        } else {
            marks_[(first_ + count_++) % most_marks] = {end, now};
        }
    }
    void record_consumed(std::size_t bytes) {
        taken_ += bytes;
        while (count_ > 0 && marks_[first_].end <= taken_) {
            first_ = (first_ + 1) % most_marks;
            --count_;
        }
    }
    // Of the first byte that waits; `now` where none was noted.
    net::Time first_unread(net::Time now) const { return count_ > 0 ? marks_[first_].at : now; }

  private:
    static constexpr std::size_t most_marks = 8;
    struct Mark {
        std::size_t end = 0; // of the bytes that came at that time, counted over the connection
        net::Time at{0};
    };
    Mark& last() { return marks_[(first_ + count_ - 1) % most_marks]; }

    std::array<Mark, most_marks> marks_{};
    std::size_t first_ = 0, count_ = 0, taken_ = 0;
    bool was_full_ = false;
    net::Time full_at_{0};
};

} // namespace willowrill::frontend
