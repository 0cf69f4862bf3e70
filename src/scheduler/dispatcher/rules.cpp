// All dispatch decisions of willowrill. The interface is include/willowrill/dispatcher.h;
// docs/scheduler/design.md gives the source of the mechanism and the reason for each exception.
//
// Order of processing in `handle`:
//   1. Process every event: worker list, arrivals, progress, outcomes with their reports (`on`).
//   2. Review the jobs whose review time has come: deadline, patience, not started yet (`review`).
//   3. Place the waiting jobs, the most valuable first (`place`): reject, select a worker, send, or hold.
//   4. Maintain the list subscription (`maintain_list`), probe workers for their load (`send_probe`), request
//      the next wake-up.
//
// Workers are selected by PLUD: the lowest L + I + X. The other rules determine which workers are candidates,
// when a job is held, moved, repeated or given up, and the value of L when reports are old, late or missing.
#include "common/policy/score.h"
#include "scheduler/load_estimates/books.h"
#include "scheduler/load_estimates/learn.h"

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

namespace willowrill {
namespace {

using namespace std::chrono_literals;

// Tier increments (I) are counted in steps; a step is the load of one slot.
constexpr double default_step = 0.1;    // the paper's I of a preferred tier, until slots are known
constexpr double next_tier_steps = 1;   // additional; the paper's I of the next tier is double
constexpr double report_half_age_s = 2; // a report of this age has half its weight
constexpr double max_report_age_s = 2;  // after this time without a report, an idle worker's load is unknown
constexpr double min_sample_weight = 0.05; // of a new sample in running means
constexpr std::size_t max_homes = 4;       // per kind, if there are more dispatchers than workers of the kind
constexpr double stuck_run_factor = 3;  // an attempt in flight for this multiple of its usual run time waits
constexpr double overrun_factor = 1.7;  // a run of this multiple of the expected time suggests a slow worker
constexpr double cold_extra_load = 0.5; // load beyond the usual one that a cold worker is given
constexpr double full_load = 0.9;       // a report of at least this load may hide a queue
constexpr double other_zone_steps = 0.75;        // additional, for another zone: cheap compared to a late job
constexpr double new_connection_steps = 1;       // additional, if a connection must be opened
constexpr double cold_budget_margin = 0.5;       // fraction of a cold worker's budget that is used
constexpr double retry_ratio = 0.25;             // further attempts allowed per arriving job
constexpr double retry_burst = 20;               // maximum number of further attempts saved up
constexpr Duration initial_worker_back_off = 1s; // after the first failure; doubles with each further one
constexpr int distrust_factor = 10; // back-offs until a worker gets jobs again that must not run twice
constexpr int max_failures = 5;     // counted at most: bounds the doublings of the back-off
constexpr double max_backed_off_share = 0.34; // if more workers are backed off, the cause is not the workers
constexpr double epsilon = 1e-9;
constexpr double last_tier_increment = 1;      // the paper's I of the last tier: 100%
constexpr double holder_overprovision = 1.5;   // holders of a key, relative to the workers that its jobs fill
constexpr double probes_per_worker_per_s = 10; // by all dispatchers; 1% of its time at 1 ms each
constexpr double max_probe_price_share = 0.015; // of the total worth
constexpr double unlimited = std::numeric_limits<double>::infinity();
constexpr double hopeless_share = 0.8;     // fraction of the tolerable wait after which a job is given up
constexpr double wide_job_patience = 0.25; // fraction of its aim after which a wide job needs one free slot
constexpr double max_crowding = 0.35;      // unless this fraction of small jobs finds no free slot on arrival
constexpr double queue_allowance = 0.1; // load beyond full that a job accepts once it has waited for its aim

using load_estimates::Attempt, load_estimates::Job, load_estimates::Worker, load_estimates::seconds,
    load_estimates::from_seconds;

} // namespace

struct Dispatcher::Impl {
    explicit Impl(Settings s) : settings(std::move(s)), random(settings.seed) {
        for (const JobClass& c : settings.classes) {
            job_times.by_class.add_class(std::max(0.001, seconds(c.aim)), min_sample_weight);
            first_tries.add_class(c.give_up);
            offered_load.add_class(c.kind == none ? load_estimates::OfferedLoad::any_kind : c.kind);
        }
        tenants.resize(settings.tenants.size());
    }

    // ---- 1. Events -------------------------------------------------------------------------------------

    void on(const EndpointListUpdate& update) {
        list_subscription.on_update(update.kind == EndpointListUpdate::Kind::broken,
                                    update.kind == EndpointListUpdate::Kind::remembered);
        if (update.kind == EndpointListUpdate::Kind::broken) return;
        for (Worker& w : workers)
            w.ready = w.ready && update.kind == EndpointListUpdate::Kind::changes;
        for (const WorkerEntry& entry : update.entries) {
            if (workers.size() <= entry.worker) workers.resize(entry.worker + 1);
            kind_slots.add_kind(entry.kind);
            Worker& w = workers[entry.worker];
            if (w.entry.up_since != entry.up_since) // a new process: its estimates are void
                w = w.restarted();
            if (zones.size() <= entry.zone) zones.resize(entry.zone + 1);
            w.entry = entry;
            w.ready = entry.condition == Condition::ready;
        }
        rebuild_ready();
    }

    // Rebuilds the list of ready workers and assigns the homes. Each dispatcher has a slice of every kind as
    // its homes, so that dispatchers do not all rank the same newly reported idle worker first, and each gets
    // reports from its own workers often enough for a recent L. If there are more dispatchers than workers of
    // a kind, each selects a few by a hash of both, from all zones; workers that come and go do not affect
    // the choice of the others.
    void rebuild_ready() {
        ready.clear();
        for (WorkerId id = 0; id < workers.size(); ++id)
            if (workers[id].ready) ready.push_back(id);
        std::ranges::sort(ready, {}, [&](WorkerId id) {
            const WorkerEntry& e = workers[id].entry;
            return std::tuple(e.kind, e.key, id);
        });
        load_estimates::for_each_equal_range(
            std::span<const WorkerId>(ready), [&](WorkerId id) { return workers[id].entry.kind; },
            [&](std::span<const WorkerId> same_kind) {
                load_estimates::assign_homes(
                    {settings.self, settings.dispatchers, same_kind.size(), max_homes}, same_kind,
                    [&](WorkerId id) { return workers[id].entry.key; },
                    [&](WorkerId id, bool home) { workers[id].home = home; });
            });
        has_warm_worker = std::ranges::any_of(ready, [&](WorkerId id) { return !is_cold(workers[id]); });
        capacity_changed = true;
    }

    void on(const JobArrived& arrival) {
        if (jobs.size() <= arrival.job) jobs.resize(arrival.job + 1);
        const JobClass& c = settings.classes[arrival.job_class];
        Job& job = jobs[arrival.job];
        job = {.serial = ++last_serial, .live = true, .arrival = arrival, .arrived_at = now};
        job.first_tried_at = now - first_tries.since_first_try(arrival.job_class, arrival.time_left,
                                                               settings.marks_retry && !arrival.is_retry);
        job.arrival.slots = kind_slots.plausible(arrival.slots); // clients may claim any number
        job.arrival.hint = std::min(arrival.hint, c.give_up);
        kind_slots.record_job(job.arrival.slots);
        job.deadline = now + arrival.time_left - settings.tick;
        const double worth = c.worth * (within_quota(arrival) ? 1 : settings.over_quota_worth);
        job.value = worth / (job.arrival.slots *
                             (settings.worth_by_work ? 1 : job_times.by_class.run_s(arrival.job_class)));
        retry_budget.add(retry_ratio, retry_burst);
        arrival_rate.add(1, now);
        if (arrival.key) key_holders.record_job(*arrival.key);
        offered_load.add(arrival.job_class, job_times.work(job), now);
        schedule_review(arrival.job, job.deadline);
        enqueue(arrival.job);
    }

    void on(const JobAbandoned& abandoned) {
        if (abandoned.job >= jobs.size()) return;
        jobs[abandoned.job].live = jobs[abandoned.job].waiting = false;
        cancel_attempts(abandoned.job);
    }

    void on(const AttemptStarted& start) {
        Attempt* attempt = find_attempt(start.job, start.attempt);
        if (attempt == nullptr) return;
        if (attempt->started_at < 0ns) record_start(jobs[start.job], *attempt);
        mark_started(jobs[start.job], *attempt);
    }

    // Where load is not reported, it is derived from the time that the job has waited at the worker.
    void record_start(const Job& job, Attempt& attempt) {
        attempt.started_at = now;
        if (settings.reports_load()) return;
        Worker& w = workers[attempt.worker];
        w.record_report(
            job_times.load_at_start(job, attempt, w, (attempt.opens_connection ? 8 : 4) * settings.tick),
            now);
        mean_loads.add(w.group(), w.load);
    }

    void on(const AttemptProgress& progress) {
        on(AttemptStarted{progress.job, progress.attempt, progress.worker});
        if (const Attempt* attempt = find_attempt(progress.job, progress.attempt))
            job_times.record_progress(jobs[progress.job], *attempt, workers[attempt->worker], progress.done,
                                      now);
    }

    void mark_started(const Job& job, Attempt& attempt) {
        attempt.started = true;
        if (!std::exchange(attempt.stuck, false)) return;
        Worker& w = workers[attempt.worker];
        w.stuck_slots = std::max(0.0, w.stuck_slots - job.arrival.slots);
        capacity_changed = true;
    }

    void on(const AnswerBegun& begun) {
        if (find_attempt(begun.job, begun.attempt) != nullptr) jobs[begun.job].streaming = true;
    }

    void on(const AttemptEnded& ended) {
        Attempt* attempt = find_attempt(ended.job, ended.attempt);
        if (attempt == nullptr || !attempt->in_flight) return;
        Job& job = jobs[ended.job];
        Worker& w = workers[attempt->worker];
        mark_started(job, *attempt);
        attempt->in_flight = false;
        attempt->may_have_run = may_have_run(ended.outcome);
        w.record_end(job.arrival.slots);
        capacity_changed = true;
        // A worker has at least the slots of a job that it has served. (A first report from a busy worker
        // shows too few.)
        if (ended.outcome == Outcome::served && ended.report && ended.report->free_slots)
            kind_slots.record_finished(w.entry.kind, job.arrival.slots);
        if (ended.report)
            apply_report(w, *ended.report, attempt->may_have_run ? job.arrival.slots : 0);
        else if (!settings.reports_with_answers)
            w.record_end_without_report(*attempt, job.arrival.slots,
                                        settings.reports_load() ? job.arrival.slots / warm_slots(w) : 0);
        update_health(attempt->worker, ended.outcome, job.arrival.slots);
        if (ended.outcome == Outcome::served) {
            const bool had_free_slot = !ended.report || ended.report->free_slots.value_or(1) > 0.5;
            w.connected_until = now + settings.connection_idle * 3 / 4;
            job_times.record_served(job, *attempt, w, ended.latency, had_free_slot, settings.tells_start,
                                    now);
        }
        if (ended.job_over) on(JobAbandoned{ended.job});
        if (!job.live || job.streaming || job.is_in_flight()) return;
        if (now >= job.deadline || !may_send(job)) return reject(ended.job);
        if (attempt->may_have_run && !attempt->cancelled && !retry_budget.take()) return reject(ended.job);
        enqueue(ended.job);
    }

    void on(const TimerExpired&) {} // only triggers `handle`

    void on(const Probed& probed) {
        if (probed.worker >= workers.size() || !std::exchange(workers[probed.worker].probe_in_flight, false))
            return;
        Worker& w = workers[probed.worker];
        using enum Outcome;
        if (probed.outcome == served) zones[w.entry.zone] = {};
        if (probed.outcome == served && probed.report) apply_report(w, *probed.report, 0);
        if (probed.outcome == connect_failed || probed.outcome == timed_out || probed.outcome == reset)
            update_health(probed.worker, connect_failed, 0); // a job would fail in the same way
        capacity_changed = true;
    }

    // A fresh report replaces L and resets X to 0. The report is made before the answer that carries it is
    // sent, so it still includes the answered job, whose slots are subtracted.
    void apply_report(Worker& w, const Report& report, double finished_slots) {
        if (report.free_slots)
            kind_slots.record_report(w.entry.kind, load_estimates::slots_from_report(report));
        const double total_slots = kind_slots.slots(w.entry.kind);
        const double load_per_slot = total_slots > 0 ? 1 / total_slots : default_step;
        const double load =
            load_estimates::load_from_report(report, mean_load(w), total_slots, load_per_slot);
        if (!w.is_fresh(report, now, from_seconds(max_report_age_s))) return;
        w.record_report(load - finished_slots * load_per_slot, now);
        mean_loads.add(w.group(), w.load);
    }

    // A worker that fails is backed off, for longer with each failure. Afterwards it first gets jobs that may
    // be repeated; the others stay away for `distrust_factor` back-offs. Without this, a worker that fails at
    // once would look idle and attract jobs, and each dispatcher would have to learn of it by failed jobs.
    void update_health(WorkerId id, Outcome outcome, double slots) {
        Worker& w = workers[id];
        load_estimates::ZoneHealth& zone = zones[w.entry.zone];
        using enum Outcome;
        if (outcome == cancelled || outcome == timed_out || outcome == not_sent) return;
        const bool unreachable = outcome == connect_failed || outcome == reset;
        if (!unreachable) zone = {};
        if (unreachable && zone.record_unreachable(id) && zone.unreachable >= 2)
            zone.avoid_until = now + back_off_time(std::min(zone.unreachable, max_failures) - 2);
        if (outcome == served) {
            w.record_success(now);
        } else if (outcome == full) {
            if (slots > warm_slots(w)) return; // wider than the worker, which may have room for other jobs
            // A worker that rejects at once, full or draining, looks idle and would keep being selected.
            w.full_until = now + from_seconds(seconds(initial_worker_back_off) * (0.25 + uniform() / 2));
        } else {
            w.failures = std::min(w.failures + 1, max_failures);
            w.back_off(now, back_off_time(w.failures - 1), distrust_factor);
        }
    }

    Duration back_off_time(int doublings) {
        return from_seconds(seconds(initial_worker_back_off) * std::exp2(doublings) * (0.75 + uniform() / 2));
    }

    // Whether the zone is considered lost, or its last attempt failed to connect and this job has already had
    // an attempt.
    bool avoids_zone(const Job& job, const Worker& w) const {
        const load_estimates::ZoneHealth& zone = zones[w.entry.zone];
        return now < zone.avoid_until || (zone.unreachable > 0 && !job.attempts.empty());
    }

    // ---- 2. Review of jobs -----------------------------------------------------------------------------

    // Checks a job at its review time: ends it if it is too late, and acts on an attempt that has not
    // started.
    void review(JobId id) {
        Job& job = jobs[id];
        if (job.streaming) return;
        if (now >= job.deadline) return reject(id);
        // Waiting jobs are not placed one by one, but all of them in order of their value.
        capacity_changed = capacity_changed || job.waiting;
        if (job.waiting) return;
        Attempt& last = job.attempts.back();
        if (!last.in_flight || last.cancelled) return;
        if (last.started) return review_running(id, last);
        // An attempt that has not started by then cannot be in time any more. It is cancelled, so that the
        // jobs queued behind it can be in time.
        const Time hopeless_at =
            settings.tells_start && settings.may_cancel ? useful_until(job) : job.deadline;
        if (now >= hopeless_at) return reject(id);
        if (now - last.sent < start_timeout(job, last)) return;
        job_times.by_class.record_unfinished(job.arrival.job_class, workers[last.worker].group_key(),
                                             seconds(now - last.sent), now);
        if (!std::exchange(last.stuck, true)) workers[last.worker].stuck_slots += job.arrival.slots;
        if (!reports_start_or_progress()) return schedule_review(id, now + (now - last.sent) / 4);
        // The attempt waits in a queue and is moved, if allowed, to a worker with room. Where load is not
        // reported, no worker is known to have room, and a cancelled attempt may keep its place in the queue,
        // so that moves would only add load.
        if (settings.tells_start && settings.reports_load()) move_job(id, last);
        if (settings.tells_start) schedule_review(id, hopeless_at);
    }

    // Moves a job that runs for longer than expected if its worker is known to be slow.
    void review_running(JobId id, Attempt& last) {
        if (jobs[id].arrival.hint <= 0ns || last.started_at < 0ns) return;
        Worker& w = workers[last.worker];
        const Time overdue_at =
            last.started_at +
            from_seconds(overrun_factor * job_times.expected_run_s(jobs[id], last.off_holder, w));
        if (now < overdue_at) return schedule_review(id, overdue_at);
        job_times.record_progress(jobs[id], last, w, 1, now); // at best it is almost complete
        if (w.slowdown.is_slow(now)) move_job(id, last);
    }

    // Cancels the attempt and sends the job to a worker with room, at once if the settings allow two attempts
    // in flight, or when the cancelled attempt has ended.
    void move_job(JobId id, Attempt& last) {
        const Job& job = jobs[id];
        if (!settings.may_cancel || !may_send(job, true)) return;
        const WorkerId target = select_with_room(job, 0, job.arrival.slots);
        if (target == none || !retry_budget.take())
            return schedule_review(id, now + std::max(patience(job), (now - last.sent) / 2));
        last.cancelled = true;
        actions->emplace_back(Cancel{id, static_cast<Index>(job.attempts.size() - 1)});
        if (settings.second_copies) send(id, target);
    }

    bool reports_start_or_progress() const { return settings.tells_start || settings.progress_period > 0ns; }

    // Time after its send by which an attempt that has not been heard of must be waiting at its worker.
    Duration start_timeout(const Job& job, const Attempt& attempt) const {
        if (settings.tells_start) // allows for the time to establish a connection
            return patience(job) + (attempt.opens_connection ? settings.connect_timeout : 0ns);
        if (reports_start_or_progress()) return settings.progress_period + 4 * settings.tick;
        return from_seconds(stuck_run_factor * job_times.by_class.run_s(job.arrival.job_class,
                                                                        workers[attempt.worker].entry.kind));
    }

    // Time after which a job that waits in vain is reviewed, and an attempt should have started.
    Duration patience(const Job& job) const { return std::max(settings.tick, class_of(job).aim / 8); }

    // ---- 3. Placement ----------------------------------------------------------------------------------

    // Sends a waiting job to a worker with room, rejects it if it is of no use any more, or holds it.
    void place(JobId id) {
        Job& job = jobs[id];
        if (now >= give_up_at(job) || !may_send(job) || has_no_candidate(job)) return reject(id);
        // A repeat bound to a group depends only on the workers of its group and keeps to its review time.
        if (group_anchor(job) != none && job.review_at > now) return;
        // In multiples of the aim.
        const double waited = seconds(now - job.arrived_at) / std::max(0.001, seconds(class_of(job).aim));
        const bool accepts_any_load = class_of(job).late_worth > 0 && waited > 1;
        const double allowance = accepts_any_load ? 1e9 : queue_allowance * std::min(1.0, waited);
        // Several slots are rarely free at once, and other jobs take each one as it becomes free. A job that
        // needs several therefore requires fewer and fewer free slots, down to one, and queues at a worker,
        // which then reserves the slots for it.
        const double extra_slots = std::max(0.0, job.arrival.slots - 1);
        const double reduction = std::max(0.0, 1 - crowding / max_crowding);
        const double needed_slots =
            job.arrival.slots - extra_slots * std::min(reduction, waited / wide_job_patience);
        const WorkerId target = select_with_room(job, allowance, needed_slots);
        if (extra_slots <= 0 && now == job.arrived_at)
            crowding += min_sample_weight * ((target == none ? 1 : 0) - crowding);
        const Duration pause = std::max(patience(job), (now - job.arrived_at) / 4);
        if (target == none) return schedule_review(id, std::min(now + pause, give_up_at(job)));
        const double wait_s = job_times.by_class.wait_s(job.arrival.job_class, workers[target].group(), now);
        if (class_of(job).kind != none && now + from_seconds(wait_s) > useful_until(job)) return reject(id);
        job.waiting = false;
        send(id, target);
    }

    // Whether the job would meet its aim on this worker. If it is late on the best worker, it would be later
    // on any other that has room, which would first have to fetch the data that the job needs.
    bool is_in_time(const Job& job, const Worker& w) const {
        const JobClass& c = class_of(job);
        if (job.arrival.hint <= 0ns || c.late_worth > 0) return true;
        const double run_s =
            job_times.expected_run_s(job, key_increment(job, w) > 0, w) * w.slowdown.run_factor(now);
        return seconds(now - job.first_tried_at) + run_s <=
               seconds(c.aim) + c.aim_stretch * seconds(job.arrival.hint);
    }

    // Selects a worker with room for `needed_slots` up to a load of 1 + `allowance`, or `none`.
    WorkerId select_with_room(const Job& job, double allowance, double needed_slots) {
        // Jobs with a key are ranked by their own holders, so that a search for one tells nothing of others.
        const bool is_unrestricted = group_anchor(job) == none && !job.arrival.key;
        double& no_room = no_room_for(job);
        if (is_unrestricted && needed_slots >= no_room && (allowance < 1 || no_room <= 0)) return none;
        const WorkerId target = select_worker(job);
        const double max_load = 1 + allowance + epsilon;
        if (target != none && has_room(workers[target], needed_slots, max_load) &&
            is_in_time(job, workers[target]))
            return target;
        if (is_unrestricted) no_room = target == none ? 0 : std::min(no_room, needed_slots);
        return none;
    }

    // A search that found no room is valid, for the current instant, for all jobs that need as many slots.
    double& no_room_for(const Job& job) {
        const Index kind = class_of(job).kind;
        return no_room_slots[kind == none ? 0 : kind + 1];
    }

    // Time after which a job cannot meet its aim any more or, if a late answer has worth, cannot finish
    // before its client gives up.
    Time useful_until(const Job& job) const {
        const JobClass& c = class_of(job);
        const double run_s = job_times.by_class.run_s(job.arrival.job_class);
        if (c.late_worth > 0) return job.deadline - from_seconds(run_s);
        if (job.arrival.hint > 0ns) { // its aim follows from the hint, its run time from the fastest kind
            const double hint_s = seconds(job.arrival.hint),
                         fastest_s = job_times.by_hint.min_expected_s(settings.kinds, hint_s);
            const double slack_s = std::max(0.0, seconds(c.aim) + c.aim_stretch * hint_s - fastest_s);
            return std::min(job.deadline, job.first_tried_at + from_seconds(slack_s));
        }
        const double slack_s = seconds(c.aim) + std::max(0.0, c.aim_stretch - 1) * run_s;
        return std::min(job.deadline, job.first_tried_at + from_seconds(hopeless_share * slack_s));
    }

    // Time at which a waiting job is given up: an answer is of no use any more, or it must not be sent again.
    Time give_up_at(const Job& job) const { return std::min(useful_until(job), repeat_deadline(job)); }

    // Whether the job has been sent already and every listed worker that may run it has had an attempt.
    bool has_no_candidate(const Job& job) const {
        const WorkerId anchor = group_anchor(job);
        return !job.attempts.empty() &&
               std::ranges::none_of(ready, [&](WorkerId id) { return is_candidate(job, id, anchor); });
    }

    // Slots of the worker when warm, or the number that corresponds to `default_step` while unknown.
    double warm_slots(const Worker& w) const {
        const double slots = kind_slots.slots(w.entry.kind);
        return slots > 0 ? slots : 1 / default_step;
    }

    double current_slots(const Worker& w) const { return warm_slots(w) * warmth(w, now); }

    // Room is measured by the slots sent instead of X, because X includes tier increments: a far tier makes a
    // worker rank lower, but not smaller.
    bool has_room(const Worker& w, double needed_slots, double max_load) const {
        return effective_load(w, needed_slots, w.sent_slots / current_slots(w)) +
                   needed_slots / current_slots(w) <=
               max_load;
    }

    // L + X, at least the load of this dispatcher's own attempts there: a report may have been made before
    // the last sends arrived, and free slots mean nothing while a wider job waits at the head of the queue. A
    // worker that has no attempts of this dispatcher and has not reported for `max_report_age_s` is assumed
    // to have room for one job, since it would otherwise get no job and never report again.
    double effective_load(const Worker& w, double needed_slots, double degradation) const {
        const double load = estimated_load(w, degradation);
        const bool is_unknown = w.outstanding_slots <= 0 &&
                                (w.reported_at < 0ns || seconds(now - w.reported_at) > max_report_age_s);
        return is_unknown ? std::min(load, std::max(0.0, 1 - needed_slots / current_slots(w))) : load;
    }

    // With age, the reported L fades to the mean load of the worker's group.
    double estimated_load(const Worker& w, double degradation) const {
        const double mean = mean_load(w), faded = mean + (w.load - mean) * report_weight(w);
        return w.with_own_load(faded + degradation, current_slots(w));
    }

    double report_weight(const Worker& w) const {
        return w.report_weight(now, is_cold(w), report_half_age_s);
    }

    double mean_load(const Worker& w) const { return mean_loads.estimate(w.group()); }

    // I, as a fraction of the worker's capacity: the job's slots, plus steps for each reason why the worker
    // belongs to a further tier.
    double increment(const Worker& w, const Job& job) const {
        double steps = job.arrival.slots;
        if (!w.home && !is_cold(w)) steps += next_tier_steps;
        // A kind that some classes require is of the next tier for jobs that run on any kind.
        if (class_of(job).kind == none &&
            std::ranges::count(settings.classes, w.entry.kind, &JobClass::kind) > 0)
            steps += next_tier_steps;
        if (settings.cross_zone_price > 0 && w.entry.zone != settings.zone) steps += other_zone_steps;
        if (settings.handshake_price > 0 && now >= w.connected_until) steps += new_connection_steps;
        if (w.slowdown.is_slow(now)) steps += last_tier_increment * warm_slots(w);
        return steps / warm_slots(w) + key_increment(job, w); // for cold workers see `cold_budget_allows`
    }

    // Expected wait in the queue, in run times, derived from the latencies at the workers of the same group:
    // the report of a full worker does not show its queue. A worker that has just reported room has no queue.
    double queue_load(const Worker& w, const Job& job) const {
        const double room_weight = w.load < full_load ? report_weight(w) : 0;
        return (1 - room_weight) * job_times.by_class.wait_s(job.arrival.job_class, w.group(), now) /
               job_times.by_class.run_s(job.arrival.job_class, w.entry.kind);
    }

    // The data that a job with a key needs is cached by the workers that recently ran jobs with this key: its
    // holders, the first of an order that all dispatchers share. Any other worker would have to fetch the
    // data, at the expense of all jobs, and is therefore ranked as the paper's last tier.
    double key_increment(const Job& job, const Worker& w) const {
        if (!job.arrival.key) return 0;
        // `select_worker` has ranked the workers for the key of this job.
        const double ranks_behind = key_holders.ranks_behind_holders(w.entry.key);
        return ranks_behind <= 0 ? 0 : last_tier_increment * ranks_behind / (ranks_behind + 1);
    }

    // Returns the eligible worker with the lowest score, or `none`. Healthy workers come first. Workers that
    // are backed off compete with them only if back-offs are widespread, and workers in a zone to be avoided
    // are selected only if there are no others.
    WorkerId select_worker(const Job& job) {
        const WorkerId anchor = group_anchor(job);
        const auto key_of = [&](WorkerId id) { return workers[id].entry.key; };
        if (job.arrival.key) key_holders.rank(*job.arrival.key, holder_overprovision, ready, key_of);
        // By health: healthy, backed off, in a zone to be avoided.
        std::array<load_estimates::LowestScore, 3> best;
        cold_sampler = {};
        std::size_t reachable = 0, backed_off = 0;
        for (const WorkerId id : ready) {
            Worker& w = workers[id];
            if (!is_eligible(job, id, anchor)) continue;
            const bool zone_avoided = avoids_zone(job, w), worker_avoided = avoids_worker(w, job);
            if (!zone_avoided) ++reachable;
            if (!zone_avoided && worker_avoided) ++backed_off;
            // L + X
            const double load = effective_load(w, job.arrival.slots, w.degradation) + queue_load(w, job);
            const double score = policy::plud_score(load, increment(w, job));
            best[zone_avoided ? 2 : worker_avoided ? 1 : 0].offer(id, score, [&] { return uniform(); });
        }
        if (reachable == 0) return best[2].id;
        return is_widespread(backed_off, reachable) && best[1].score < best[0].score ? best[1].id
                                                                                     : best[0].id;
    }

    std::size_t excluded(Time at) const {
        std::size_t draining = 0, backed_off = 0, full = 0;
        for (const Worker& w : workers) {
            draining += w.entry.condition == Condition::draining ? 1 : 0;
            backed_off += w.ready && w.is_backed_off(at) ? 1 : 0;
            full += w.ready && w.is_full(at) ? 1 : 0;
        }
        // As in `select_worker`, back-offs exclude no worker if they are widespread.
        return draining + full + (is_widespread(backed_off, ready.size()) ? 0 : backed_off);
    }

    // Whether so many workers are backed off that the cause is probably not the workers themselves.
    static bool is_widespread(std::size_t backed_off, std::size_t workers_total) {
        return static_cast<double>(backed_off) > max_backed_off_share * static_cast<double>(workers_total);
    }

    // Whether the worker is backed off, or not yet trusted with a job that must not run twice.
    bool avoids_worker(const Worker& w, const Job& job) const {
        return now < w.back_off_until || (now < w.trusted_from && class_of(job).effect == Effect::once);
    }

    // Whether the worker may run the job: it is of the right kind and group and has not had an attempt of it.
    bool is_candidate(const Job& job, WorkerId id, WorkerId anchor) const {
        const Worker& w = workers[id];
        const JobClass& c = class_of(job);
        if (c.kind != none && c.kind != w.entry.kind) return false;
        if (anchor != none &&
            !load_estimates::same_repeat_group(c.repeat_scope, w.entry, workers[anchor].entry))
            return false;
        return std::ranges::count(job.attempts, id, &Attempt::worker) == 0;
    }

    bool is_eligible(const Job& job, WorkerId id, WorkerId anchor) {
        Worker& w = workers[id];
        return now >= w.full_until && is_candidate(job, id, anchor) && cold_budget_allows(w, job);
    }

    void send(JobId id, WorkerId target) {
        Job& job = jobs[id];
        Worker& w = workers[target];
        const double load_increment = increment(w, job);
        w.record_send(job.arrival.slots, load_increment);
        if (is_cold(w)) w.cold_sends.add(job_times.work(job), now);
        const Time begin_by = repeat_deadline(job);
        // The open connection, if there is one, is used by this job.
        const bool opens_connection = now >= std::exchange(w.connected_until, 0ns);
        job.attempts.push_back({target, now, load_increment, opens_connection, key_increment(job, w) > 0});
        actions->emplace_back(Send{id, target, 0ns, begin_by});
        schedule_review(id, now + start_timeout(job, job.attempts.back()));
    }

    // Ends a job without a result: refuses it if a retry is harmless, or fails it.
    void reject(JobId id) {
        Job& job = jobs[id];
        job.live = job.waiting = false;
        const Refuse refusal{id, settings.clients_honor_retry_after ? settings.max_retry_after : 0ns};
        const bool timed_out = now >= job.deadline && job.is_in_flight();
        actions->push_back(may_refuse(job) && !timed_out ? Action{refusal} : Action{Fail{id}});
        cancel_attempts(id);
    }

    // Cancels the attempts still in flight when their job is over: their results are of no use.
    void cancel_attempts(JobId id) {
        std::vector<Attempt>& attempts = jobs[id].attempts;
        for (Index i = 0; settings.may_cancel && i < attempts.size(); ++i) {
            if (attempts[i].in_flight && !std::exchange(attempts[i].cancelled, true))
                actions->emplace_back(Cancel{id, i});
        }
    }

    // ---- Rule 2: what may be sent again, where, and what may be refused --------------------------------

    // `replacing`: the attempt in flight will be cancelled first.
    bool may_send(const Job& job, bool replacing = false) const {
        const JobClass& c = class_of(job);
        if (job.attempts.size() >= settings.max_attempts) return false;
        if (job.is_in_flight() && !replacing) return false;
        const Attempt* first = job.first_that_may_have_run();
        if (first == nullptr || c.effect == Effect::repeatable) return true;
        return c.effect == Effect::keyed && now < repeat_deadline(job);
    }

    // Time until which a keyed job that may have run may be sent again; unlimited for other jobs.
    Time repeat_deadline(const Job& job) const {
        const Attempt* first = job.first_that_may_have_run();
        if (first == nullptr || class_of(job).effect != Effect::keyed) return Time::max();
        return first->sent + class_of(job).repeat_window - 2 * settings.tick;
    }

    // The worker whose zone or cell a repeat must stay in, or `none`.
    WorkerId group_anchor(const Job& job) const {
        const JobClass& c = class_of(job);
        if (c.effect != Effect::keyed || c.repeat_scope == RepeatScope::all) return none;
        const Attempt* first = job.first_that_may_have_run();
        return first == nullptr ? none : first->worker;
    }

    // Whether a retry by the client is harmless: a second run is, or all workers would drop it, or the job
    // has certainly not run.
    bool may_refuse(const Job& job) const {
        const JobClass& c = class_of(job);
        const bool all_deduplicate = c.effect == Effect::keyed && c.repeat_scope == RepeatScope::all;
        return c.effect == Effect::repeatable || all_deduplicate || job.first_that_may_have_run() == nullptr;
    }

    // ---- Rule 4: this dispatcher's share of what a cold worker can take --------------------------------

    bool is_cold(const Worker& w) const { return w.is_cold(now, settings.cold_time); }

    double warmth(const Worker& w, Time at) const {
        return is_cold(w) ? w.warmth(at, settings.cold_time, settings.cold_capacity) : 1;
    }

    // Whether a cold worker's budget, over a sliding window, allows the job. If the fair share is less than
    // one job, jobs are assigned to cold workers at random, in proportion to their shares of all work that
    // arrives here, so that the dispatchers together use the whole budget.
    bool cold_budget_allows(Worker& w, const Job& job) {
        if (!is_cold(w)) return true;
        const Duration window = settings.overload_time;
        const double sent_work = w.cold_sends.sum(window, now),
                     total_work = offered_load.rate_for(w.entry.kind) * seconds(window);
        load_estimates::ColdBudget budget{warmth(w, now - window), mean_load(w), cold_extra_load};
        if (const double slots = kind_slots.slots(w.entry.kind); slots > 0 || !has_warm_worker) {
            budget.from_slots(std::max(1.0, slots) * seconds(window) / settings.dispatchers,
                              cold_budget_margin * settings.overload_multiple);
        } else {
            budget.from_work(total_work, ready.size());
        }
        if (sent_work + job_times.work(job) <= budget.max_work) return true;
        return cold_sampler.select_next(budget.fair_work, job_times.work(job), total_work,
                                        sampling_point(job)) &&
               sent_work <= 0;
    }

    const JobClass& class_of(const Job& job) const { return settings.classes[job.arrival.job_class]; }

    // Pseudo-random number in [0, 1) that is the same on each call for a job.
    double sampling_point(const Job& job) const {
        return load_estimates::to_unit_interval(
            load_estimates::mix64(settings.seed + job.serial * 0x9e3779b97f4a7c15ULL));
    }

    double uniform() { return load_estimates::to_unit_interval(random()); }

    Attempt* find_attempt(JobId id, Index attempt) {
        return id < jobs.size() && attempt < jobs[id].attempts.size() ? &jobs[id].attempts[attempt] : nullptr;
    }

    bool within_quota(const JobArrived& arrival) {
        if (arrival.tenant >= tenants.size()) return true;
        const double quota_per_s = settings.tenants[arrival.tenant].quota_per_s / settings.dispatchers;
        return quota_per_s <= 0 || tenants[arrival.tenant].refill_and_take(quota_per_s, now);
    }

    // Adds the job to the waiting jobs; `handle` places it at the end of this instant.
    void enqueue(JobId id) {
        jobs[id].waiting = true;
        jobs[id].review_at = 0ns;
        waiting.push_back(id);
        capacity_changed = true;
    }

    // At most one review per job is pending, besides the one at its deadline, to keep reviews from
    // multiplying.
    void schedule_review(JobId id, Time at) {
        Job& job = jobs[id];
        if (job.review_at > now && job.review_at <= at) return;
        job.review_at = at;
        reviews.add({at, job.serial, id});
    }

    // ---- 4. List subscription, probes and wake-ups -----------------------------------------------------

    void maintain_list() {
        if (!settings.list_on_request) return;
        if (list_subscription.should_request(now, settings.list_valid, settings.drain_grace,
                                             [&] { return uniform(); }))
            actions->emplace_back(WatchList{true});
        wake_by = std::min(wake_by, list_subscription.next_request_at().value_or(wake_by));
    }

    // Bounded by the time that probes take of the workers, over all dispatchers, and by the price of probes
    // relative to the worth of the jobs.
    double probes_per_s() const {
        if (!settings.probes || !settings.reports_with_probes || ready.empty()) return 0;
        const double max_by_workers =
            probes_per_worker_per_s * static_cast<double>(ready.size()) / settings.dispatchers;
        if (settings.probe_price <= 0) return max_by_workers;
        return std::min(max_by_workers,
                        max_probe_price_share / settings.probe_price * std::max(1.0, arrival_rate.per_s()));
    }

    // Probes the worker with the longest time since its last probe, weighted by the slots sent to it since
    // its last report.
    void send_probe() {
        const double rate_per_s = probes_per_s();
        if (rate_per_s <= 0) return;
        if (probe_pacer.is_due(now, rate_per_s, [&] { return uniform(); })) {
            const WorkerId id = *std::ranges::max_element(ready, {}, [&](WorkerId candidate) {
                const Worker& w = workers[candidate];
                return w.probe_in_flight ? -1
                                         : seconds(now - w.probed_at) * (1 + w.sent_slots / warm_slots(w));
            });
            if (workers[id].begin_probe(now)) actions->emplace_back(Probe{id});
        }
        wake_by = std::min(wake_by, probe_pacer.next_time());
    }

    void handle(Time at, std::span<const Event> events, std::vector<Action>& out_actions) {
        now = at;
        actions = &out_actions;
        wake_by = Time::max();
        for (const Event& event : events)
            std::visit([&](const auto& e) { on(e); }, event);
        no_room_slots.assign(std::max<std::size_t>(settings.kinds, kind_slots.kinds()) + 1, unlimited);
        const auto is_void = [&](const load_estimates::TimerQueue::Entry& entry) {
            return !jobs[entry.id].live || jobs[entry.id].serial != entry.serial;
        };
        while (const auto entry = reviews.pop_due(now, is_void))
            review(entry->id);
        if (std::exchange(capacity_changed, false)) {
            std::ranges::stable_sort(waiting, std::greater<>(), [&](JobId id) { return jobs[id].value; });
            for (const JobId id : waiting)
                if (jobs[id].waiting) place(id);
        }
        std::erase_if(waiting, [&](JobId id) { return !jobs[id].waiting; });
        maintain_list();
        send_probe();
        wake_by = std::min(wake_by, reviews.next_time().value_or(wake_by));
        if (wake_by < Time::max() && (wake_at <= now || wake_by < wake_at)) {
            wake_at = std::max(wake_by, now + 1ns);
            actions->emplace_back(Wake{wake_at});
        }
    }

    Settings settings;
    std::mt19937_64 random;
    load_estimates::FirstTryEstimator first_tries;
    std::vector<load_estimates::TokenBucket> tenants;
    std::vector<Worker> workers;
    std::vector<load_estimates::ZoneHealth> zones;
    std::vector<WorkerId> ready; // sorted by kind, then by key
    load_estimates::KindSlots kind_slots;
    std::vector<Job> jobs;
    std::vector<JobId> waiting;
    // Number of slots for which no worker has room at this instant, by required kind + 1 (0: any kind).
    std::vector<double> no_room_slots;
    load_estimates::TimerQueue reviews;
    load_estimates::KeyHolders key_holders;         // ranked for the job that is being placed
    load_estimates::SystematicSampler cold_sampler; // for the job that is being placed
    load_estimates::Rate arrival_rate;
    load_estimates::Pacer probe_pacer;
    std::uint64_t last_serial = 0;
    load_estimates::GroupMeans mean_loads{load_estimates::initial_load,
                                          min_sample_weight}; // by kind and zone
    load_estimates::OfferedLoad offered_load;                 // slot-seconds per second
    load_estimates::JobTimes job_times;
    double crowding = 0; // fraction of the one-slot jobs that found no free slot on arrival
    load_estimates::TokenBucket retry_budget{.tokens = retry_burst};
    bool capacity_changed = false, has_warm_worker = false;
    load_estimates::Subscription list_subscription;
    Time now{0}, wake_at{-1}, wake_by{0}; // `wake_at`: last time requested; `wake_by`: earliest time needed
    std::vector<Action>* actions = nullptr;
};

Dispatcher::Dispatcher(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    impl_->handle(now, events, actions);
}

std::size_t Dispatcher::excluded(Time now) const { return impl_->excluded(now); }

} // namespace willowrill
