// An emulated worker, from the protocol's words: slots, a queue in the order of arrival, a speed that may
// change at any time. No clock and no sockets: it is told the time and says what has started and ended.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace willowrill::lab::spread {

using Time = std::chrono::nanoseconds;
using Ticket = std::uint64_t; // of a job, the caller's

class Crew {
  public:
    Crew(int slots, std::size_t queue) : slots_(slots), most_queued_(queue) {}

    enum class Taken : std::uint8_t { runs, waits, full };
    Taken take(Ticket ticket, double work_s, Time now); // work at speed 1
    void drop(Ticket ticket, Time now);                 // called off, wherever it is
    void set_speed(double speed, Time now);
    // What has ended by now, in order; the jobs that were waiting take their places.
    std::vector<Ticket> ended(Time now);
    std::optional<Time> next() const; // when the next ends, if nothing changes

    int slots() const { return slots_; }
    int busy() const { return static_cast<int>(running_.size()); }
    int free() const { return slots_ - busy(); }
    std::size_t queued() const { return queue_.size(); }
    double speed() const { return speed_; }
    double busy_s(Time now) const; // slot-seconds in use since the beginning

  private:
    struct Running {
        Ticket ticket;
        double ends_at; // on the clock of work done
    };
    struct Waiting {
        Ticket ticket;
        double work_s;
    };
    void move_to(Time now);
    void fill();

    int slots_;
    std::size_t most_queued_;
    double speed_ = 1, done_s_ = 0, busy_s_ = 0; // work done by each busy slot; slot-seconds
    Time now_{0};
    std::vector<Running> running_; // at most `slots_`
    std::deque<Waiting> queue_;    // at most `most_queued_`
};

} // namespace willowrill::lab::spread
