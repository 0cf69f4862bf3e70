// What one scheduler may believe of a worker's slots: its own jobs out there and when they will be over, the
// last report and its age, and what the other schedulers are likely to have in work. Pure.
#pragma once

#include "room/run_times.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace willowrill::room {

using Time = std::chrono::nanoseconds; // since the Unix epoch
using JobId = std::uint32_t;

class Slots {
  public:
    // `total`: the worker's slots, as far as they are known; at least 1.
    explicit Slots(double total) : total_(total) {}

    void set_total(double total) { total_ = total; }
    double total() const { return total_; }

    void sent(JobId job, std::size_t job_class, double slots, Time now);
    void ended(JobId job); // whatever its outcome; a job that is not out changes nothing
    // A fresh report. It left before the answer that brings it, so that job's slots count as taken in it:
    // call it before `ended`.
    void report(double free, Time now);
    // A new process there: what was learnt is void, but our jobs are lost one by one and told so.
    void restarted();

    double own() const;            // slots of our jobs that are out
    double others(Time now) const; // that others have in work, likely: the last seen, fading to their mean
    double free(Time now) const;   // believed, 0 to total
    bool stale(Time now) const;    // nothing was reported for so long that `free` is a guess
    // Slots that are free at `at` with a probability of `share` at least, if nothing more is sent there. Jobs
    // of ours are taken to be over as `times` says; what others have in work stays as much as it is.
    double free_at(Time at, double share, const RunTimes& times, std::size_t kind, Time now) const;
    // The first moment, up to `latest`, at which `slots` are free in that sense; nothing if there is none.
    std::optional<Time> free_from(double slots, Time latest, double share, const RunTimes& times,
                                  std::size_t kind, Time now) const;

    std::size_t jobs() const { return jobs_.size(); }

    static constexpr Duration stale_after = std::chrono::seconds(2);

  private:
    struct Out {
        JobId job = 0;
        std::size_t job_class = 0;
        double slots = 0;
        Time sent{0};
        bool reported = false; // sent before the last report, which therefore shows it
    };

    double total_;
    std::vector<Out> jobs_; // bounded by what the host holds open
    double reported_free_ = 0, ended_since_ = 0, others_seen_ = 0, others_mean_ = 0;
    Time reported_at_{-1};
};

} // namespace willowrill::room
