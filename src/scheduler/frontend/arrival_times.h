// Records when the unread bytes of a connection arrived. The deadline of a pipelined request counts from its
// arrival, not from the response to the request before it. Holds no bytes and does no I/O.
#pragma once

#include "scheduler/net/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace willowrill::frontend {

class ArrivalTimes {
  public:
    // Notes that `bytes` bytes are unread at `now`. With `buffer_full`, more may have arrived already that
    // cannot be read yet. Those, and bytes beyond `max_arrivals` arrival times, get the time of the previous
    // record or arrival: a request may seem to have arrived earlier than it did, but never later.
    void record_unread(std::size_t bytes, net::Time now, bool buffer_full) {
        const std::size_t end_offset = consumed_bytes_ + bytes;
        if (was_buffer_full_) now = last_recorded_at_;
        was_buffer_full_ = buffer_full;
        last_recorded_at_ = now;
        if (end_offset <= (count_ > 0 ? newest().end_offset : consumed_bytes_)) return;
        if (count_ == max_arrivals) {
            newest().end_offset = end_offset;
        } else {
            arrivals_[(first_index_ + count_++) % max_arrivals] = {end_offset, now};
        }
    }
    // Notes that the first `bytes` unread bytes were consumed.
    void record_consumed(std::size_t bytes) {
        consumed_bytes_ += bytes;
        while (count_ > 0 && arrivals_[first_index_].end_offset <= consumed_bytes_) {
            first_index_ = (first_index_ + 1) % max_arrivals;
            --count_;
        }
    }
    // Arrival time of the first unread byte; `now` if there is none.
    net::Time first_unread(net::Time now) const {
        return count_ > 0 ? arrivals_[first_index_].arrived_at : now;
    }

  private:
    static constexpr std::size_t max_arrivals = 8;
    struct Arrival {
        std::size_t end_offset = 0; // of the bytes that arrived then, in bytes since the connection opened
        net::Time arrived_at{0};
    };
    Arrival& newest() { return arrivals_[(first_index_ + count_ - 1) % max_arrivals]; }

    std::array<Arrival, max_arrivals> arrivals_{};
    std::size_t first_index_ = 0, count_ = 0, consumed_bytes_ = 0;
    bool was_buffer_full_ = false;
    net::Time last_recorded_at_{0};
};

} // namespace willowrill::frontend
