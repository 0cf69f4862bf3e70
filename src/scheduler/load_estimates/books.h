// What the module writes down of workers, attempts and jobs, and of its subscription to the list. Plain
// books: they keep what they are told and what follows from it by sums, and know neither rules nor time.
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

constexpr double usual_at_first = 0.5; // a load, while none is known

struct Attempt {
    WorkerId worker = 0;
    Time sent{0};
    double load_increment = 0; // what it added to X
    bool opens = false;        // the connection it goes on
    bool away = false;         // not at a holder of its key
    Time started_at{-1};       // negative: no word of its start came
    bool out = true, started = false, cancelled = false, may_have_run = true;
    bool stuck = false; // out for so long that it must be waiting at its worker
};

struct Worker {
    WorkerEntry entry;
    bool ready = false, home = false;
    double load = 0;        // L: last reported load, in shares of its slots
    double degradation = 0; // X
    double sent_slots = 0;  // what X stands for, in slots: sent since the last fresh report
    Time reported_at{-1};   // when L came; negative for never
    std::optional<Report> last_report{};
    Time changed_at{0};           // when it came first
    Time connected_until{0};      // a connection that has served is kept so long at the least
    double outstanding_slots = 0; // slots of this dispatcher's attempts that are out
    double stuck_slots = 0;       // of these, slots of attempts that ought to have started by now
    int strikes = 0;
    Time full_until{0}, rest_until{0}, trusted_from{0};
    Window cold_sends;  // work
    Pace pace{};        // by jobs with hints
    bool asked = false; // a probe is out
    Time asked_at{0};

    // Workers of one kind and zone are alike: what is known of one holds for others.
    std::size_t group() const { return group_index(entry.kind, entry.zone); }
    Runs::Place place() const { return {entry.kind, group()}; }
    bool is_cold(Time now, Time cold_time) const {
        return entry.up_since > Time(0) && now - entry.up_since < cold_time;
    }
    // What a cold one can do, as a share: from that of its start evenly up to all.
    double warmth(Time at, Time cold_time, double from) const {
        return from + (1 - from) * std::max(0.0, seconds(at - entry.up_since) / seconds(cold_time));
    }

    // A new process at its place: what was learnt is void, and what is out still is.
    Worker anew() const {
        Worker out;
        out.outstanding_slots = outstanding_slots;
        out.asked = asked;
        out.asked_at = asked_at;
        return out;
    }
    bool rests(Time now) const { return now < rest_until; }
    bool is_full(Time now) const { return now >= rest_until && now < full_until; }
    void rest(Time now, Time span, int wary_spans) {
        rest_until = now + span;
        trusted_from = now + wary_spans * span;
    }
    void proved_well(Time now) {
        strikes /= 2;
        if (strikes == 0) trusted_from = now;
    }
    bool ask(Time now) { // false: a probe is out already
        asked_at = now;
        return !std::exchange(asked, true);
    }

    void record_report(double l, Time now) {
        load = std::max(0.0, l);
        degradation = sent_slots = 0;
        reported_at = now;
    }
    // A worker whose reports have stopped repeats its last one for good: the same figures, noise and all, for
    // longer than any report lives are not news.
    bool is_news(const Report& told, Time now, Time lives) {
        if (std::exchange(last_report, told) != told) changed_at = now;
        return now - changed_at <= lives;
    }
    // What the last report still counts for; one so old counts for half. A cold worker not heard of counts as
    // empty: whoever has its chance there is one of few.
    double told(Time now, bool cold, double half_s) const {
        if (reported_at < Time(0)) return cold ? 1 : 0;
        return half_s / (half_s + seconds(now - reported_at));
    }
    // A load that counts what is known of ours: all of it is there and, while some has not started, the
    // worker is full and those wait.
    double at_least(double load, double slots) const {
        load = std::max(load, outstanding_slots / slots);
        return stuck_slots > 0 ? std::max(1.0, load) + stuck_slots / slots : load;
    }
    void record_send(double slots, double load_increment) {
        degradation = policy::degradation_after(degradation, load_increment);
        sent_slots += slots;
        outstanding_slots += slots;
    }
    void record_end(double slots) { outstanding_slots = std::max(0.0, outstanding_slots - slots); }
    // An end that no report came with: until the next one, what this dispatcher knows to be over counts no
    // more, be it in X or, if the last report was made after the job was sent, in L. `share`: of all slots. A
    // job goes out after the reports of its own moment have been taken in.
    void record_end_without_report(const Attempt& attempt, double slots, double share) {
        if (attempt.sent < reported_at) {
            load = std::max(0.0, load - share);
        } else {
            sent_slots = std::max(0.0, sent_slots - slots);
            degradation = std::max(0.0, degradation - attempt.load_increment);
        }
    }
};

// Whether both drop each other's repeats.
inline bool same_group(RepeatScope scope, const WorkerEntry& a, const WorkerEntry& b) {
    return scope == RepeatScope::zone ? a.zone == b.zone : a.cell == b.cell;
}

struct Job {
    std::uint64_t serial = 0; // tells this job from others that had the same id
    bool live = false, waiting = false, streaming = false;
    JobArrived in;
    Time asked_at{0}, arrived{0}, deadline{0}, look_at{0};
    double value = 0; // worth for each slot-second
    std::vector<Attempt> attempts{};
    const Attempt* first_that_may_have_run() const {
        const auto found = std::ranges::find(attempts, true, &Attempt::may_have_run);
        return found == attempts.end() ? nullptr : &*found;
    }
    bool is_out() const { return std::ranges::count(attempts, true, &Attempt::out) > 0; }
};

// How long jobs take: by class and place, and by their hints.
struct Times {
    Runs runs;
    HintedRuns hinted;

    // What an attempt of a job with a hint is expected to run, in seconds.
    double expected(const Job& job, bool away, const Worker& w) const {
        return std::max(0.001, hinted.run(w.entry.kind, away, seconds(job.in.hint)));
    }
    double work(const Job& job) const { // in slot-seconds
        return job.in.slots * std::max(runs.run(job.in.job_class), seconds(job.in.hint));
    }
    // The load of a worker at which a job has just started, by what it waited there: a wait of one run is a
    // load beyond full. Less than `noise` is none.
    double load_at_start(const Job& job, const Attempt& attempt, const Worker& w, Time noise) const {
        const Time waited = attempt.started_at - attempt.sent;
        if (waited <= noise) return usual_at_first;
        return 1 + seconds(waited) / std::max(0.001, runs.run(job.in.job_class, w.entry.kind));
    }
    // It says that it is so far; at that pace, it takes so long. What cannot be says nothing.
    void progressed(const Job& job, const Attempt& attempt, Worker& w, double done, Time now) const {
        if (job.in.hint <= Time(0) || attempt.started_at < Time(0) || !(done > 0) || done > 1) return;
        w.pace.outlasts(seconds(now - attempt.started_at) / (done * expected(job, attempt.away, w)), now);
    }
    // It was served. What it ran is known where starts are told or, elsewhere, where there was room.
    void served(const Job& job, const Attempt& attempt, Worker& w, Time took, bool had_room, bool tells_start,
                Time now) {
        const double ran = attempt.started_at >= Time(0) ? seconds(now - attempt.started_at)
                           : had_room && !tells_start    ? seconds(took)
                                                         : -1;
        if (job.in.hint > Time(0) && ran >= 0) w.pace.ran(ran / expected(job, attempt.away, w), now);
        if (!w.pace.crawls(now)) hinted.ended(w.entry.kind, attempt.away, ran, seconds(job.in.hint));
        runs.served(job.in.job_class, w.place(), seconds(took), had_room, now);
    }
};

// The slots of a worker that tells how many are free.
inline double slots_in(const Report& report) {
    return report.free_slots.value_or(0) +
           std::max(0.0, report.in_flight.value_or(0) - report.queued.value_or(0));
}

// The load in a report. Utilisation ends at 1 and may lag behind the slots: the fuller view counts, and what
// waits is added. `fallback`: where it tells neither; `all`: the worker's slots, 0 while none are known.
inline double load_in(const Report& report, double fallback, double all, double per_slot) {
    double load = report.utilisation.value_or(fallback);
    if (report.free_slots && all > 0) load = std::max(load, 1 - *report.free_slots / all);
    return load + report.queued.value_or(0) * per_slot;
}

// A subscription to the list that must be asked for, and asked for again when it breaks. Calls are spread by
// chance, as all dispatchers may start at once; they recur often enough for the list to stay valid.
class Subscription {
  public:
    void on_update(bool broken, bool remembered) {
        failed_ = failed_ || broken;
        asked_ = asked_ && !broken; // what still comes of the one that broke is no sign of a new one
        if (!broken && asked_) watching_ = watching_ || !remembered;
    }
    // Whether to ask now; `chance` gives a number from 0 to 1 when it is needed. A new life may remember a
    // list so old that its changes count as told from the first moment: its first call leaves half of the
    // grace for drains to its answer.
    template <class Chance> bool should_request(Time now, Time valid, Time drain_grace, Chance chance) {
        if (ask_at_ < Time(0)) ask_at_ = now + from_seconds(chance() * first_spread(valid, drain_grace));
        if (watching_) failures_ = 0;
        if (std::exchange(failed_, false)) {
            watching_ = false;
            ask_at_ = now + std::min(valid / 2, back_off_after(failures_++, chance()));
        }
        if (watching_ || now < ask_at_) return false;
        ask_at_ = now + valid / 2;
        return asked_ = true;
    }
    std::optional<Time> next_request_at() const { return watching_ ? std::nullopt : std::optional(ask_at_); }

  private:
    static double first_spread(Time valid, Time drain_grace) {
        return drain_grace > Time(0) ? std::min(seconds(valid) / 8, seconds(drain_grace) / 2)
                                     : seconds(valid) / 8;
    }
    bool watching_ = false, failed_ = false, asked_ = true;
    int failures_ = 0;
    Time ask_at_{-1};
};

} // namespace willowrill::load_estimates
