// State that the dispatcher keeps of workers, attempts and jobs, and of its subscription to the worker list.
// These types record events and derive quantities from them; they make no dispatch decisions and read no
// clock.
#pragma once

#include "common/policy/score.h"
#include "scheduler/load_estimates/back_off.h"
#include "scheduler/load_estimates/learn.h"

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace willowrill::load_estimates {

constexpr double initial_load = 0.5; // assumed until a load is known

// One send of a job to a worker.
struct Attempt {
    WorkerId worker = 0;
    Time sent{0};
    double load_increment = 0;     // what it added to X
    bool opens_connection = false; // it has no open connection to use
    bool off_holder = false;       // its worker does not hold the job's key
    Time started_at{-1};           // negative: no start reported
    bool in_flight = true, started = false, cancelled = false, may_have_run = true;
    bool stuck = false; // in flight for so long that it must be waiting at its worker
};

// What a dispatcher knows of a worker. `home`: one of the workers that this dispatcher prefers.
struct Worker {
    WorkerEntry entry;
    bool ready = false, home = false;
    double load = 0;        // L: last reported load, as a fraction of its slots
    double degradation = 0; // X: load sent since the last fresh report
    double sent_slots = 0;  // X in slots
    Time reported_at{-1};   // time of L; negative: never
    std::optional<Report> last_report{};
    Time report_changed_at{0};    // when `last_report` was first received
    Time connected_until{0};      // a connection that has served is kept at least until then
    double outstanding_slots = 0; // slots of this dispatcher's attempts in flight
    double stuck_slots = 0;       // of these, slots of attempts that should have started by now
    int failures = 0;             // recent failures; determines the back-off
    Time full_until{0}, back_off_until{0}, trusted_from{0};
    SlidingWindowSum cold_sends; // work sent, in slot-seconds
    Slowdown slowdown{};         // learned from jobs with hints
    bool probe_in_flight = false;
    Time probed_at{0};

    // Workers of one kind and zone are considered alike: estimates learned from one apply to the others.
    std::size_t group() const { return group_index(entry.kind, entry.zone); }
    RunTimes::GroupKey group_key() const { return {entry.kind, group()}; }
    bool is_cold(Time now, Time cold_time) const {
        return entry.up_since > Time(0) && now - entry.up_since < cold_time;
    }
    // Fraction of its capacity that a cold worker has. It grows linearly to 1, from `initial_warmth` at the
    // start of the worker.
    double warmth(Time at, Time cold_time, double initial_warmth) const {
        return initial_warmth +
               (1 - initial_warmth) * std::max(0.0, seconds(at - entry.up_since) / seconds(cold_time));
    }

    // Returns the state after a restart of the worker's process: estimates are void, but attempts and probes
    // are still in flight.
    Worker restarted() const {
        Worker fresh;
        fresh.outstanding_slots = outstanding_slots;
        fresh.probe_in_flight = probe_in_flight;
        fresh.probed_at = probed_at;
        return fresh;
    }
    bool is_backed_off(Time now) const { return now < back_off_until; }
    bool is_full(Time now) const { return now >= back_off_until && now < full_until; }
    // For `distrust_factor` times as long, the worker gets no jobs that must not run twice.
    void back_off(Time now, Time duration, int distrust_factor) {
        back_off_until = now + duration;
        trusted_from = now + distrust_factor * duration;
    }
    void record_success(Time now) {
        failures /= 2;
        if (failures == 0) trusted_from = now;
    }
    bool begin_probe(Time now) { // false: a probe is in flight already
        probed_at = now;
        return !std::exchange(probe_in_flight, true);
    }

    void record_report(double reported_load, Time now) {
        load = std::max(0.0, reported_load);
        degradation = sent_slots = 0;
        reported_at = now;
    }
    // A worker that no longer updates its report keeps sending the last one. A report that has been
    // identical, including its noise, for longer than `max_age` is stale.
    bool is_fresh(const Report& report, Time now, Time max_age) {
        if (std::exchange(last_report, report) != report) report_changed_at = now;
        return now - report_changed_at <= max_age;
    }
    // Weight of the last report, halved at an age of `half_age_s`. A cold worker without a report counts as
    // empty, with full weight, because few dispatchers may send to it at all.
    double report_weight(Time now, bool cold, double half_age_s) const {
        if (reported_at < Time(0)) return cold ? 1 : 0;
        return half_age_s / (half_age_s + seconds(now - reported_at));
    }
    // Raises an estimated load to what this dispatcher's own attempts imply: all of them are at the worker
    // and, if some should have started by now, the worker is full and those wait in its queue.
    double with_own_load(double load, double slots) const {
        load = std::max(load, outstanding_slots / slots);
        return stuck_slots > 0 ? std::max(1.0, load) + stuck_slots / slots : load;
    }
    void record_send(double slots, double load_increment) {
        degradation = policy::degradation_after(degradation, load_increment);
        sent_slots += slots;
        outstanding_slots += slots;
    }
    void record_end(double slots) { outstanding_slots = std::max(0.0, outstanding_slots - slots); }
    // An attempt has ended without a report. Until the next report, its load is subtracted from L if the last
    // report was made after the attempt was sent, and from X otherwise. Jobs are sent after the reports of
    // the same instant have been processed. `load_share`: share of the worker's slots that the attempt used.
    void record_end_without_report(const Attempt& attempt, double slots, double load_share) {
        if (attempt.sent < reported_at) {
            load = std::max(0.0, load - load_share);
        } else {
            sent_slots = std::max(0.0, sent_slots - slots);
            degradation = std::max(0.0, degradation - attempt.load_increment);
        }
    }
};

// Whether two workers deduplicate each other's repeats.
inline bool same_repeat_group(RepeatScope scope, const WorkerEntry& a, const WorkerEntry& b) {
    return scope == RepeatScope::zone ? a.zone == b.zone : a.cell == b.cell;
}

// A job and its attempts. `live`: its final answer is still owed.
struct Job {
    std::uint64_t serial = 0; // distinguishes this job from earlier ones with the same id
    bool live = false, waiting = false, streaming = false;
    JobArrived arrival;
    Time first_tried_at{0}, arrived_at{0}, deadline{0}, review_at{0};
    double value = 0; // worth per slot-second
    std::vector<Attempt> attempts{};
    const Attempt* first_that_may_have_run() const {
        const auto found = std::ranges::find(attempts, true, &Attempt::may_have_run);
        return found == attempts.end() ? nullptr : &*found;
    }
    bool is_in_flight() const { return std::ranges::count(attempts, true, &Attempt::in_flight) > 0; }
};

// Estimates how long jobs take, by class and worker group and by their hints.
struct JobTimes {
    RunTimes by_class;
    HintedRunTimes by_hint;

    // Expected run time, in seconds, of a job with a hint.
    double expected_run_s(const Job& job, bool off_holder, const Worker& w) const {
        return std::max(0.001, by_hint.expected_s(w.entry.kind, off_holder, seconds(job.arrival.hint)));
    }
    // Expected work of a job in slot-seconds.
    double work(const Job& job) const {
        return job.arrival.slots * std::max(by_class.run_s(job.arrival.job_class), seconds(job.arrival.hint));
    }
    // Load of a worker at which a job has just started, derived from the time that the job waited there: a
    // wait of one run time is a load of 1 beyond full. A wait of up to `noise` counts as none.
    double load_at_start(const Job& job, const Attempt& attempt, const Worker& w, Time noise) const {
        const Time waited = attempt.started_at - attempt.sent;
        if (waited <= noise) return initial_load;
        return 1 + seconds(waited) / std::max(0.001, by_class.run_s(job.arrival.job_class, w.entry.kind));
    }
    // Extrapolates the run time from the reported progress, `done` in (0, 1]. Values outside of that range
    // are ignored.
    void record_progress(const Job& job, const Attempt& attempt, Worker& w, double done, Time now) const {
        if (job.arrival.hint <= Time(0) || attempt.started_at < Time(0) || !(done > 0) || done > 1) return;
        w.slowdown.record_unfinished(
            seconds(now - attempt.started_at) / (done * expected_run_s(job, attempt.off_holder, w)), now);
    }
    // The run time is known if starts are reported or, if not, if the job found a free slot at once.
    void record_served(const Job& job, const Attempt& attempt, Worker& w, Time latency, bool had_free_slot,
                       bool reports_start, Time now) {
        const double run_s = attempt.started_at >= Time(0)     ? seconds(now - attempt.started_at)
                             : had_free_slot && !reports_start ? seconds(latency)
                                                               : -1;
        if (job.arrival.hint > Time(0) && run_s >= 0)
            w.slowdown.record_run(run_s / expected_run_s(job, attempt.off_holder, w), now);
        if (!w.slowdown.is_slow(now))
            by_hint.record_end(w.entry.kind, attempt.off_holder, run_s, seconds(job.arrival.hint));
        by_class.record_served(job.arrival.job_class, w.group_key(), seconds(latency), had_free_slot, now);
    }
};

// Number of slots of a worker whose report has the number of free slots.
inline double slots_from_report(const Report& report) {
    return report.free_slots.value_or(0) +
           std::max(0.0, report.in_flight.value_or(0) - report.queued.value_or(0));
}

// Load from a report. Utilisation never exceeds 1 and may lag behind the slots in use, so the higher of the
// two counts, and queued jobs are added. `fallback` is used for a report with neither; `total_slots` are the
// slots of the worker, 0 if unknown.
inline double load_from_report(const Report& report, double fallback, double total_slots,
                               double load_per_slot) {
    double load = report.utilisation.value_or(fallback);
    if (report.free_slots && total_slots > 0) load = std::max(load, 1 - *report.free_slots / total_slots);
    return load + report.queued.value_or(0) * load_per_slot;
}

// Decides when to request the worker list, or a subscription to it, and when to do so again after a failure.
// Requests are spread at random, because all dispatchers may start at once, and are frequent enough for the
// list to stay valid.
class Subscription {
  public:
    // `remembered`: the update is the list saved before a restart, not an answer.
    void on_update(bool broken, bool remembered) {
        failed_ = failed_ || broken;
        requested_ = requested_ && !broken; // late updates of a broken subscription do not confirm a new one
        if (!broken && requested_) active_ = active_ || !remembered;
    }
    // Whether to send a request now. `uniform` returns a random number from 0 to 1. After a restart, changes
    // made since the list was saved may count as announced from the first moment. The first request is
    // therefore sent within half of the drain grace, which leaves the other half to the answer.
    template <class Uniform>
    bool should_request(Time now, Time list_valid, Time drain_grace, Uniform uniform) {
        if (request_at_ < Time(0))
            request_at_ = now + from_seconds(uniform() * initial_spread_s(list_valid, drain_grace));
        if (active_) failures_ = 0;
        if (std::exchange(failed_, false)) {
            active_ = false;
            request_at_ = now + std::min(list_valid / 2, back_off_after(failures_++, uniform()));
        }
        if (active_ || now < request_at_) return false;
        request_at_ = now + list_valid / 2;
        return requested_ = true;
    }
    std::optional<Time> next_request_at() const {
        return active_ ? std::nullopt : std::optional(request_at_);
    }

  private:
    static double initial_spread_s(Time list_valid, Time drain_grace) {
        return drain_grace > Time(0) ? std::min(seconds(list_valid) / 8, seconds(drain_grace) / 2)
                                     : seconds(list_valid) / 8;
    }
    bool active_ = false, failed_ = false, requested_ = true;
    int failures_ = 0;
    Time request_at_{-1};
};

} // namespace willowrill::load_estimates
