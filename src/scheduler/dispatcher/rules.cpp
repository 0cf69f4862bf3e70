// The decisions of willowrill, all of them. The interface is include/willowrill/dispatcher.h;
// docs/scheduler/design.md gives the source of the mechanism and the reason for each exception.
//
// Order of decision in `handle`:
//   1. take in every event: list, arrivals, notes, outcomes with their reports (`on`)
//   2. look again at the jobs whose time has come: deadline, patience, not started yet (`review`)
//   3. place the jobs that wait, the most valuable first (`place`): give up, pick a worker, send, or hold
//   4. keep the list subscription alive (`keep_list`), ask workers for their load (`probe`), ask to be woken
//
// A worker is picked by PLUD: the lowest L + I + X. The rest decides who may be ranked, when a job is held,
// moved, repeated or given up, and what L is when reports are old, late or blind.
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

constexpr double default_step = 0.1; // the paper's I of a preferred tier, until slots are known
constexpr double next_tier = 1;      // steps more: the paper's I of the next tier is double
constexpr double fade_s = 2;         // a report this old counts for half
constexpr double blind_s = 2;        // without a report for so long, an idle worker's load is not known
constexpr double mean_gain = 0.05;   // least weight of a new sample in running means
constexpr std::size_t few_homes = 4; // of a kind, where there are more dispatchers than that allows
constexpr double long_run = 3;       // times its usual time, after which a job out is taken to wait
constexpr double overrun = 1.7;      // times its expected run, after which a job's worker may crawl
constexpr double cold_more = 0.5;    // load beyond the usual that a cold worker is given
constexpr double full_load = 0.9;    // from which on a report may hide a queue
constexpr double far_zone = 0.75;    // steps more for another zone, which costs little beside a late job
constexpr double no_connection = 1;  // steps more where one must be opened
constexpr double cold_margin = 0.5;  // share of a cold worker's budget that is used
constexpr double retry_ratio = 0.25; // further attempts that an arriving job allows
constexpr double retry_burst = 20;   // and how many may be saved up
constexpr Duration first_rest = 1s;  // rest of a worker after its first failure; doubles with each more
constexpr int wary_rests = 10;       // after which a job that must not run twice goes there again
constexpr int most_strikes = 5;
constexpr double most_resting = 0.34; // beyond this share of the workers, the trouble is not theirs
constexpr double tiny = 1e-9;
constexpr double last_resort = 1;        // the paper's I of the last tier: 100%
constexpr double holder_spare = 1.5;     // workers that hold a key, over those that its jobs would fill
constexpr double probes_per_worker = 10; // a second, by all dispatchers; at 1 ms each a hundredth of its time
constexpr double most_probe_price = 0.015; // of all worth
constexpr double unlimited = std::numeric_limits<double>::infinity();
constexpr double hopeless_share = 0.8;  // share of the tolerable wait after which a job is given up
constexpr double wide_patience = 0.25;  // share of its aim after which a job of many slots goes with one
constexpr double most_crowding = 0.35;  // but not if this share of small jobs finds no room at once
constexpr double queue_allowance = 0.1; // load beyond full that a job accepts once it has waited its aim

using load_estimates::Attempt, load_estimates::Job, load_estimates::Worker, load_estimates::seconds,
    load_estimates::from_seconds;

} // namespace

struct Dispatcher::Impl {
    explicit Impl(Settings s) : settings(std::move(s)), random(settings.seed) {
        for (const JobClass& c : settings.classes) {
            times.runs.add_class(std::max(0.001, seconds(c.aim)), mean_gain);
            first_tries.add_class(c.give_up);
            offered.add_class(c.kind == none ? load_estimates::Offered::anywhere : c.kind);
        }
        tenants.resize(settings.tenants.size());
    }

    // ---- 1. Events -------------------------------------------------------------------------------------

    void on(const EndpointListUpdate& news) {
        list.on_update(news.kind == EndpointListUpdate::Kind::broken,
                       news.kind == EndpointListUpdate::Kind::remembered);
        if (news.kind == EndpointListUpdate::Kind::broken) return;
        for (Worker& w : workers)
            w.ready = w.ready && news.kind == EndpointListUpdate::Kind::changes;
        for (const WorkerEntry& entry : news.entries) {
            if (workers.size() <= entry.worker) workers.resize(entry.worker + 1);
            kind_slots.know(entry.kind);
            Worker& w = workers[entry.worker];
            if (w.entry.up_since != entry.up_since) // a new process: what was learnt is void
                w = w.anew();
            if (zones.size() <= entry.zone) zones.resize(entry.zone + 1);
            w.entry = entry;
            w.ready = entry.condition == Condition::ready;
        }
        rebuild_ready();
    }

    // Each dispatcher has a slice of every kind for home, so that not all rank the same newly reported empty
    // worker first, and one sees its own often enough for L to be young. Where there are more of them than of
    // a kind's workers, each has a few by a hash of both, in all zones, whatever others come and go.
    void rebuild_ready() {
        ready.clear();
        for (WorkerId id = 0; id < workers.size(); ++id)
            if (workers[id].ready) ready.push_back(id);
        std::ranges::sort(ready, {}, [&](WorkerId id) {
            const WorkerEntry& e = workers[id].entry;
            return std::tuple(e.kind, e.key, id);
        });
        load_estimates::each_run(
            std::span<const WorkerId>(ready), [&](WorkerId id) { return workers[id].entry.kind; },
            [&](std::span<const WorkerId> alike) {
                load_estimates::each_home(
                    {settings.self, settings.dispatchers, alike.size(), few_homes}, alike,
                    [&](WorkerId id) { return workers[id].entry.key; },
                    [&](WorkerId id, bool home) { workers[id].home = home; });
            });
        some_warm = std::ranges::any_of(ready, [&](WorkerId id) { return !is_cold(workers[id]); });
        capacity_changed = true;
    }

    void on(const JobArrived& in) {
        if (jobs.size() <= in.job) jobs.resize(in.job + 1);
        const JobClass& c = settings.classes[in.job_class];
        Job& job = jobs[in.job];
        job = {.serial = ++last_serial, .live = true, .in = in, .arrived = now};
        job.asked_at =
            now - first_tries.ago(in.job_class, in.time_left, settings.marks_retry && !in.is_retry);
        job.in.slots = kind_slots.believed(in.slots); // a client may claim anything
        job.in.hint = std::min(in.hint, c.give_up);
        kind_slots.wide_job(job.in.slots);
        job.deadline = now + in.time_left - settings.tick;
        const double worth = c.worth * (within_quota(in) ? 1 : settings.over_quota_worth);
        job.value = worth / (job.in.slots * (settings.worth_by_work ? 1 : times.runs.run(in.job_class)));
        retries.add(retry_ratio, retry_burst);
        arrivals.add(1, now);
        if (in.key) holders.asked_for(*in.key);
        offered.add(in.job_class, times.work(job), now);
        look_again(in.job, job.deadline);
        wait(in.job);
    }

    void on(const JobAbandoned& left) {
        if (left.job >= jobs.size()) return;
        jobs[left.job].live = jobs[left.job].waiting = false;
        call_off(left.job);
    }

    void on(const AttemptStarted& note) {
        Attempt* attempt = find(note.job, note.attempt);
        if (attempt == nullptr) return;
        if (attempt->started_at < 0ns) started(jobs[note.job], *attempt);
        mark_started(jobs[note.job], *attempt);
    }

    // Where load is never told, how long a job waited there tells it.
    void started(const Job& job, Attempt& attempt) {
        attempt.started_at = now;
        if (settings.reports_load()) return;
        Worker& w = workers[attempt.worker];
        w.record_report(times.load_at_start(job, attempt, w, (attempt.opens ? 8 : 4) * settings.tick), now);
        loads.add(w.group(), w.load);
    }

    void on(const AttemptProgress& note) {
        on(AttemptStarted{note.job, note.attempt, note.worker});
        if (const Attempt* attempt = find(note.job, note.attempt))
            times.progressed(jobs[note.job], *attempt, workers[attempt->worker], note.done, now);
    }

    void mark_started(const Job& job, Attempt& attempt) {
        attempt.started = true;
        if (!std::exchange(attempt.stuck, false)) return;
        Worker& w = workers[attempt.worker];
        w.stuck_slots = std::max(0.0, w.stuck_slots - job.in.slots);
        capacity_changed = true;
    }

    void on(const AnswerBegun& begun) {
        if (find(begun.job, begun.attempt) != nullptr) jobs[begun.job].streaming = true;
    }

    void on(const AttemptEnded& ended) {
        Attempt* attempt = find(ended.job, ended.attempt);
        if (attempt == nullptr || !attempt->out) return;
        Job& job = jobs[ended.job];
        Worker& w = workers[attempt->worker];
        mark_started(job, *attempt);
        attempt->out = false;
        attempt->may_have_run = may_have_run(ended.outcome);
        w.record_end(job.in.slots);
        capacity_changed = true;
        // What it has finished, it had slots for. (A first report from a busy worker shows few.)
        if (ended.outcome == Outcome::served && ended.report && ended.report->free_slots)
            kind_slots.finished(w.entry.kind, job.in.slots);
        if (ended.report)
            note_report(w, *ended.report, attempt->may_have_run ? job.in.slots : 0);
        else if (!settings.reports_with_answers)
            w.record_end_without_report(*attempt, job.in.slots,
                                        settings.reports_load() ? job.in.slots / warm_slots(w) : 0);
        judge(attempt->worker, ended.outcome, job.in.slots);
        if (ended.outcome == Outcome::served) {
            const bool had_room = !ended.report || ended.report->free_slots.value_or(1) > 0.5;
            w.connected_until = now + settings.connection_idle * 3 / 4;
            times.served(job, *attempt, w, ended.latency, had_room, settings.tells_start, now);
        }
        if (ended.job_over) on(JobAbandoned{ended.job});
        if (!job.live || job.streaming || job.is_out()) return;
        if (now >= job.deadline || !may_send(job)) return end(ended.job);
        if (attempt->may_have_run && !attempt->cancelled && !retries.take()) return end(ended.job);
        wait(ended.job);
    }

    void on(const TimerExpired&) {} // nothing to learn from it

    void on(const Probed& answer) {
        if (answer.worker >= workers.size() || !std::exchange(workers[answer.worker].asked, false)) return;
        Worker& w = workers[answer.worker];
        using enum Outcome;
        if (answer.outcome == served) zones[w.entry.zone] = {};
        if (answer.outcome == served && answer.report) note_report(w, *answer.report, 0);
        if (answer.outcome == connect_failed || answer.outcome == timed_out || answer.outcome == reset)
            judge(answer.worker, connect_failed, 0); // it would cost a job the same
        capacity_changed = true;
    }

    // A fresh report replaces L and zeroes X. It left before the answer that carries it, so the job answered
    // is still counted in it: its slots are taken off.
    void note_report(Worker& w, const Report& report, double finished_slots) {
        if (report.free_slots) kind_slots.reported(w.entry.kind, load_estimates::slots_in(report));
        const double all = kind_slots.of(w.entry.kind);
        const double per_slot = all > 0 ? 1 / all : default_step;
        const double load = load_estimates::load_in(report, usual_load(w), all, per_slot);
        if (!w.is_news(report, now, from_seconds(blind_s))) return;
        w.record_report(load - finished_slots * per_slot, now);
        loads.add(w.group(), w.load);
    }

    // A worker that fails rests, longer each time; then jobs that may be repeated prove it well again, and
    // the others stay away for ten rests. Workers that err at once look idle, and each dispatcher pays to
    // learn it.
    void judge(WorkerId id, Outcome outcome, double slots) {
        Worker& w = workers[id];
        load_estimates::Zone& zone = zones[w.entry.zone];
        using enum Outcome;
        if (outcome == cancelled || outcome == timed_out || outcome == not_sent) return;
        const bool silent = outcome == connect_failed || outcome == reset;
        if (!silent) zone = {};
        if (silent && zone.another_silent(id) && zone.silent >= 2)
            zone.out_until = now + rest_of(std::min(zone.silent, most_strikes) - 2);
        if (outcome == served) {
            w.proved_well(now);
        } else if (outcome == full) {
            if (slots > warm_slots(w)) return; // wider than the worker: it may have room for others
            // It turns away at once and looks idle, full or draining: it would keep winning.
            w.full_until = now + from_seconds(seconds(first_rest) * (0.25 + uniform() / 2));
        } else {
            w.strikes = std::min(w.strikes + 1, most_strikes);
            w.rest(now, rest_of(w.strikes - 1), wary_rests);
        }
    }

    Duration rest_of(int doubled) {
        return from_seconds(seconds(first_rest) * std::exp2(doubled) * (0.75 + uniform() / 2));
    }

    // The zone is out, or the last try there failed and this job has had one that did.
    bool shuns_zone(const Job& job, const Worker& w) const {
        const load_estimates::Zone& zone = zones[w.entry.zone];
        return now < zone.out_until || (zone.silent > 0 && !job.attempts.empty());
    }

    // ---- 2. Jobs whose time has come -------------------------------------------------------------------

    void review(JobId id) {
        Job& job = jobs[id];
        if (job.streaming) return;
        if (now >= job.deadline) return end(id);
        capacity_changed = capacity_changed || job.waiting; // all that wait are looked at, the best first
        if (job.waiting) return;
        Attempt& last = job.attempts.back();
        if (!last.out || last.cancelled) return;
        if (last.started) return review_run(id, last);
        // What has not started by then cannot be in time any more: it goes, so that those behind it can be.
        const Time hopeless = settings.tells_start && settings.may_cancel ? useful_until(job) : job.deadline;
        if (now >= hopeless) return end(id);
        if (now - last.sent < start_notice(job, last)) return;
        times.runs.outlasts(job.in.job_class, workers[last.worker].place(), seconds(now - last.sent), now);
        if (!std::exchange(last.stuck, true)) workers[last.worker].stuck_slots += job.in.slots;
        if (!tells()) return look_again(id, now + (now - last.sent) / 4);
        // It waits in a queue there: where it may, it moves to a worker with room. Where load is never told,
        // no room is known, and what is called off may keep its place all the same: moves would be load.
        if (settings.tells_start && settings.reports_load()) move(id, last);
        if (settings.tells_start) look_again(id, hopeless);
    }

    // It runs on long past its expected end. Where its worker is known to crawl, it moves.
    void review_run(JobId id, Attempt& last) {
        if (jobs[id].in.hint <= 0ns || last.started_at < 0ns) return;
        Worker& w = workers[last.worker];
        const Time due = last.started_at + from_seconds(overrun * times.expected(jobs[id], last.away, w));
        if (now < due) return look_again(id, due);
        times.progressed(jobs[id], last, w, 1, now); // all but done, at the best
        if (w.pace.crawls(now)) move(id, last);
    }

    void move(JobId id, Attempt& last) {
        const Job& job = jobs[id];
        if (!settings.may_cancel || !may_send(job, true)) return;
        const WorkerId to = pick_with_room(job, 0, job.in.slots);
        if (to == none || !retries.take())
            return look_again(id, now + std::max(patience(job), (now - last.sent) / 2));
        last.cancelled = true;
        actions->emplace_back(Cancel{id, static_cast<Index>(job.attempts.size() - 1)});
        if (settings.second_copies) send(id, to);
    }

    bool tells() const { return settings.tells_start || settings.progress_period > 0ns; }

    // How long after its send an attempt of which nothing has been heard is known to wait.
    Duration start_notice(const Job& job, const Attempt& attempt) const {
        if (settings.tells_start) // a connection may take its time to come up
            return patience(job) + (attempt.opens ? settings.connect_timeout : 0ns);
        if (tells()) return settings.progress_period + 4 * settings.tick;
        return from_seconds(long_run * times.runs.run(job.in.job_class, workers[attempt.worker].entry.kind));
    }

    Duration patience(const Job& job) const { return std::max(settings.tick, class_of(job).aim / 8); }

    // ---- 3. Placing ------------------------------------------------------------------------------------

    void place(JobId id) {
        Job& job = jobs[id];
        if (now >= give_up_at(job) || !may_send(job) || nobody_left(job)) return end(id);
        if (group_anchor(job) != none && job.look_at > now) return; // only its group's state matters to it
        const double waited = seconds(now - job.arrived) / std::max(0.001, seconds(class_of(job).aim));
        const bool anyway = class_of(job).late_worth > 0 && waited > 1;
        const double allowance = anyway ? 1e9 : queue_allowance * std::min(1.0, waited);
        // Many slots are seldom free at once, and other jobs take each as it comes free. A job that needs
        // many goes with ever fewer, down to one, and queues at a worker that then keeps them for it.
        const double more = std::max(0.0, job.in.slots - 1);
        const double spare = std::max(0.0, 1 - crowding / most_crowding);
        const double need = job.in.slots - more * std::min(spare, waited / wide_patience);
        const WorkerId to = pick_with_room(job, allowance, need);
        if (more <= 0 && now == job.arrived) crowding += mean_gain * ((to == none ? 1 : 0) - crowding);
        const Duration pause = std::max(patience(job), (now - job.arrived) / 4);
        if (to == none) return look_again(id, std::min(now + pause, give_up_at(job)));
        const double wait = times.runs.wait(job.in.job_class, workers[to].group(), now);
        if (class_of(job).kind != none && now + from_seconds(wait) > useful_until(job)) return end(id);
        job.waiting = false;
        send(id, to);
    }

    // If it is late from its best, another that has room is worse: it must fetch what the job needs.
    bool in_time(const Job& job, const Worker& w) const {
        const JobClass& c = class_of(job);
        if (job.in.hint <= 0ns || c.late_worth > 0) return true;
        const double run = times.expected(job, key_increment(job, w) > 0, w) * w.pace.stretch(now);
        return seconds(now - job.asked_at) + run <= seconds(c.aim) + c.aim_stretch * seconds(job.in.hint);
    }

    WorkerId pick_with_room(const Job& job, double allowance, double need) {
        const bool anywhere = group_anchor(job) == none && !job.in.key; // its holders are its own
        double& no_room = no_room_for(job);
        if (anywhere && need >= no_room && (allowance < 1 || no_room <= 0)) return none;
        const WorkerId to = pick(job);
        const double room = 1 + allowance + tiny;
        if (to != none && has_room(workers[to], need, room) && in_time(job, workers[to])) return to;
        if (anywhere) no_room = to == none ? 0 : std::min(no_room, need);
        return none;
    }

    // One search that found no room answers, for this moment, for all jobs that need as many slots.
    double& no_room_for(const Job& job) {
        const Index kind = class_of(job).kind;
        return no_room[kind == none ? 0 : kind + 1];
    }

    // From then on a job cannot be in time or, where a late answer earns something, before its client leaves.
    Time useful_until(const Job& job) const {
        const JobClass& c = class_of(job);
        const double run = times.runs.run(job.in.job_class);
        if (c.late_worth > 0) return job.deadline - from_seconds(run);
        if (job.in.hint > 0ns) { // a hint tells its own aim, and the kind that is fastest what it needs
            const double hint = seconds(job.in.hint), fastest = times.hinted.fastest(settings.kinds, hint);
            const double spare = std::max(0.0, seconds(c.aim) + c.aim_stretch * hint - fastest);
            return std::min(job.deadline, job.asked_at + from_seconds(spare));
        }
        const double spare = seconds(c.aim) + std::max(0.0, c.aim_stretch - 1) * run;
        return std::min(job.deadline, job.asked_at + from_seconds(hopeless_share * spare));
    }

    // When a job that waits is given up, whatever comes: it is of no use, or must not be sent any more.
    Time give_up_at(const Job& job) const { return std::min(useful_until(job), repeats_end(job)); }

    // It was sent, and each worker listed that may run it has had it.
    bool nobody_left(const Job& job) const {
        const WorkerId anchor = group_anchor(job);
        return !job.attempts.empty() &&
               std::ranges::none_of(ready, [&](WorkerId id) { return suits(job, id, anchor); });
    }

    double warm_slots(const Worker& w) const {
        const double slots = kind_slots.of(w.entry.kind);
        return slots > 0 ? slots : 1 / default_step;
    }

    double slots_of(const Worker& w) const { return warm_slots(w) * warmth(w, now); }

    // Being of a far tier makes a worker come later, not smaller: room is counted in the slots sent.
    bool has_room(const Worker& w, double need, double room) const {
        return load_of(w, need, w.sent_slots / slots_of(w)) + need / slots_of(w) <= room;
    }

    // L + X. L fades towards the mean of the loads seen; the sum is never less than what this dispatcher has
    // out there, as a report may have left before its last sends arrived; and free slots mean nothing while a
    // wider job waits at the head of the queue. A worker that has nothing of ours and has not reported for
    // long is taken to have room for one job, or it would never be heard of.
    double load_of(const Worker& w, double more, double x) const {
        const double load = believed_load(w, x);
        const bool blind =
            w.outstanding_slots <= 0 && (w.reported_at < 0ns || seconds(now - w.reported_at) > blind_s);
        return blind ? std::min(load, std::max(0.0, 1 - more / slots_of(w))) : load;
    }

    double believed_load(const Worker& w, double x) const {
        const double usual = usual_load(w), faded = usual + (w.load - usual) * told(w);
        return w.at_least(faded + x, slots_of(w));
    }

    double told(const Worker& w) const { return w.told(now, is_cold(w), fade_s); }

    double usual_load(const Worker& w) const { return loads.of(w.group()); }

    // I: the step of the job's slots, and more for each reason why the worker is of the next tier.
    double increment(const Worker& w, const Job& job) const {
        double steps = job.in.slots;
        if (!w.home && !is_cold(w)) steps += next_tier;
        // A kind without which others cannot run is their tier first.
        if (class_of(job).kind == none &&
            std::ranges::count(settings.classes, w.entry.kind, &JobClass::kind) > 0)
            steps += next_tier;
        if (settings.cross_zone_price > 0 && w.entry.zone != settings.zone) steps += far_zone;
        if (settings.handshake_price > 0 && now >= w.connected_until) steps += no_connection;
        if (w.pace.crawls(now)) steps += last_resort * warm_slots(w);
        return steps / warm_slots(w) + key_increment(job, w); // a cold one: see `cold_budget_allows`
    }

    // What waits at workers like this one, by what answers took: a full worker's report does not tell. One
    // that has just shown room has no queue.
    double queue(const Worker& w, const Job& job) const {
        const double shows_room = w.load < full_load ? told(w) : 0;
        return (1 - shows_room) * times.runs.wait(job.in.job_class, w.group(), now) /
               times.runs.run(job.in.job_class, w.entry.kind);
    }

    // What a job needs beside slots is kept by workers that lately had its key: its holders, the first of an
    // order that all dispatchers share. The rest fetch it, at all's expense: the paper's last resort.
    double key_increment(const Job& job, const Worker& w) const {
        if (!job.in.key) return 0;
        const double beyond = holders.beyond(w.entry.key); // of the order that `pick` made for this job
        return beyond <= 0 ? 0 : last_resort * beyond / (beyond + 1);
    }

    WorkerId pick(const Job& job) {
        const WorkerId anchor = group_anchor(job);
        const auto key_of = [&](WorkerId id) { return workers[id].entry.key; };
        if (job.in.key) holders.order(*job.in.key, holder_spare, ready, key_of);
        // Those in health, those that rest, and those in a zone that seems lost.
        std::array<load_estimates::Lowest, 3> best;
        cold_shares = {};
        std::size_t able = 0, resting = 0;
        for (const WorkerId id : ready) {
            Worker& w = workers[id];
            if (!eligible(job, id, anchor)) continue;
            const bool shunned = shuns_zone(job, w), rest = rests(w, job);
            if (!shunned) ++able;
            if (!shunned && rest) ++resting;
            const double reported_load = load_of(w, job.in.slots, w.degradation) + queue(w, job); // L + X
            const double score = policy::plud_score(reported_load, increment(w, job));
            best[shunned ? 2 : rest ? 1 : 0].offer(id, score, [&] { return uniform(); });
        }
        if (able == 0) return best[2].id;
        return is_common(resting, able) && best[1].score < best[0].score ? best[1].id : best[0].id;
    }

    std::size_t excluded(Time at) const {
        std::size_t drain = 0, rest = 0, full = 0;
        for (const Worker& w : workers) {
            drain += w.entry.condition == Condition::draining ? 1 : 0;
            rest += w.ready && w.rests(at) ? 1 : 0;
            full += w.ready && w.is_full(at) ? 1 : 0;
        }
        // As in `pick`, trouble that is common keeps nobody out.
        return drain + full + (is_common(rest, ready.size()) ? 0 : rest);
    }

    static bool is_common(std::size_t resting, std::size_t able) {
        return static_cast<double>(resting) > most_resting * static_cast<double>(able);
    }

    bool rests(const Worker& w, const Job& job) const {
        return now < w.rest_until || (now < w.trusted_from && class_of(job).effect == Effect::once);
    }

    bool suits(const Job& job, WorkerId id, WorkerId anchor) const {
        const Worker& w = workers[id];
        const JobClass& c = class_of(job);
        if (c.kind != none && c.kind != w.entry.kind) return false;
        if (anchor != none && !load_estimates::same_group(c.repeat_scope, w.entry, workers[anchor].entry))
            return false;
        return std::ranges::count(job.attempts, id, &Attempt::worker) == 0;
    }

    bool eligible(const Job& job, WorkerId id, WorkerId anchor) {
        Worker& w = workers[id];
        return now >= w.full_until && suits(job, id, anchor) && cold_budget_allows(w, job);
    }

    void send(JobId id, WorkerId to) {
        Job& job = jobs[id];
        Worker& w = workers[to];
        const double step = increment(w, job);
        w.record_send(job.in.slots, step);
        if (is_cold(w)) w.cold_sends.add(times.work(job), now);
        const Time begin_by = repeats_end(job);
        const bool opens = now >= std::exchange(w.connected_until, 0ns); // if there is one, this job has it
        job.attempts.push_back({to, now, step, opens, key_increment(job, w) > 0});
        actions->emplace_back(Send{id, to, 0ns, begin_by});
        look_again(id, now + start_notice(job, job.attempts.back()));
    }

    void end(JobId id) {
        Job& job = jobs[id];
        job.live = job.waiting = false;
        const Refuse refusal{id, settings.clients_honor_retry_after ? settings.max_retry_after : 0ns};
        const bool timed_out = now >= job.deadline && job.is_out();
        actions->push_back(may_refuse(job) && !timed_out ? Action{refusal} : Action{Fail{id}});
        call_off(id);
    }

    // What is still out when a job is over is work for nothing.
    void call_off(JobId id) {
        std::vector<Attempt>& attempts = jobs[id].attempts;
        for (Index i = 0; settings.may_cancel && i < attempts.size(); ++i) {
            if (attempts[i].out && !std::exchange(attempts[i].cancelled, true))
                actions->emplace_back(Cancel{id, i});
        }
    }

    // ---- Rule 2: what may be sent again, where, and what may be refused ---------------------------------

    // `replacing`: the attempt that is out will be called off first.
    bool may_send(const Job& job, bool replacing = false) const {
        const JobClass& c = class_of(job);
        if (job.attempts.size() >= settings.max_attempts) return false;
        if (job.is_out() && !replacing) return false;
        const Attempt* first = job.first_that_may_have_run();
        if (first == nullptr || c.effect == Effect::repeatable) return true;
        return c.effect == Effect::keyed && now < repeats_end(job);
    }

    // Until when a job may be sent again, if it is keyed and may have run.
    Time repeats_end(const Job& job) const {
        const Attempt* first = job.first_that_may_have_run();
        if (first == nullptr || class_of(job).effect != Effect::keyed) return Time::max();
        return first->sent + class_of(job).repeat_window - 2 * settings.tick;
    }

    // The worker whose group a repeat must stay in, or none.
    WorkerId group_anchor(const Job& job) const {
        const JobClass& c = class_of(job);
        if (c.effect != Effect::keyed || c.repeat_scope == RepeatScope::all) return none;
        const Attempt* first = job.first_that_may_have_run();
        return first == nullptr ? none : first->worker;
    }

    bool may_refuse(const Job& job) const {
        const JobClass& c = class_of(job);
        const bool all_drop_repeats = c.effect == Effect::keyed && c.repeat_scope == RepeatScope::all;
        return c.effect == Effect::repeatable || all_drop_repeats || job.first_that_may_have_run() == nullptr;
    }

    // ---- Rule 4: this dispatcher's share of what a cold worker bears ------------------------------------

    bool is_cold(const Worker& w) const { return w.is_cold(now, settings.cold_time); }

    double warmth(const Worker& w, Time at) const {
        return is_cold(w) ? w.warmth(at, settings.cold_time, settings.cold_capacity) : 1;
    }

    // Counted over a sliding window. Where a fair share is less than one job, a job falls to some of the cold
    // workers by their shares in all the work that comes here, so that the dispatchers together use the
    // whole.
    bool cold_budget_allows(Worker& w, const Job& job) {
        if (!is_cold(w)) return true;
        const Duration window = settings.overload_time;
        const double sent = w.cold_sends.sum(window, now), all = offered.to(w.entry.kind) * seconds(window);
        load_estimates::ColdShare due{warmth(w, now - window), usual_load(w), cold_more};
        if (const double slots = kind_slots.of(w.entry.kind); slots > 0 || !some_warm) {
            due.of_slots(std::max(1.0, slots) * seconds(window) / settings.dispatchers,
                         cold_margin * settings.overload_multiple);
        } else {
            due.of_work(all, ready.size());
        }
        if (sent + times.work(job) <= due.most) return true;
        return cold_shares.select_next(due.fair, times.work(job), all, chance(job)) && sent <= 0;
    }

    const JobClass& class_of(const Job& job) const { return settings.classes[job.in.job_class]; }

    double chance(const Job& job) const { // the same, however often it is asked for this job
        return load_estimates::to_unit_interval(
            load_estimates::mix64(settings.seed + job.serial * 0x9e3779b97f4a7c15ULL));
    }

    double uniform() { return load_estimates::to_unit_interval(random()); }

    Attempt* find(JobId id, Index attempt) {
        return id < jobs.size() && attempt < jobs[id].attempts.size() ? &jobs[id].attempts[attempt] : nullptr;
    }

    bool within_quota(const JobArrived& in) {
        if (in.tenant >= tenants.size()) return true;
        const double quota = settings.tenants[in.tenant].quota_per_s / settings.dispatchers;
        return quota <= 0 || tenants[in.tenant].take_at(quota, now);
    }

    void wait(JobId id) {
        jobs[id].waiting = true;
        jobs[id].look_at = 0ns;
        waiting.push_back(id);
        capacity_changed = true;
    }

    // One look is pending at a time, besides the one at the deadline: looks must not multiply.
    void look_again(JobId id, Time at) {
        Job& job = jobs[id];
        if (job.look_at > now && job.look_at <= at) return;
        job.look_at = at;
        reviews.add({at, job.serial, id});
    }

    // ---- 4. The list -----------------------------------------------------------------------------------

    void keep_list() {
        if (!settings.list_on_request) return;
        if (list.should_request(now, settings.list_valid, settings.drain_grace, [&] { return uniform(); }))
            actions->emplace_back(WatchList{true});
        wake_by = std::min(wake_by, list.next_request_at().value_or(wake_by));
    }

    // ---- 5. Probes -------------------------------------------------------------------------------------

    // Bounded by the workers' time, over all dispatchers, and by the price beside the jobs'.
    double probes_per_s() const {
        if (!settings.probes || !settings.reports_with_probes || ready.empty()) return 0;
        const double bearable = probes_per_worker * static_cast<double>(ready.size()) / settings.dispatchers;
        if (settings.probe_price <= 0) return bearable;
        return std::min(bearable, most_probe_price / settings.probe_price * std::max(1.0, arrivals.per_s()));
    }

    // Asked is the worker whose report is the oldest, the sooner the more was sent to it since.
    void probe() {
        const double rate = probes_per_s();
        if (rate <= 0) return;
        if (probes.due(now, rate, [&] { return uniform(); })) {
            const WorkerId id = *std::ranges::max_element(ready, {}, [&](WorkerId candidate) {
                const Worker& w = workers[candidate];
                return w.asked ? -1 : seconds(now - w.asked_at) * (1 + w.sent_slots / warm_slots(w));
            });
            if (workers[id].ask(now)) actions->emplace_back(Probe{id});
        }
        wake_by = std::min(wake_by, probes.next());
    }

    void handle(Time at, std::span<const Event> events, std::vector<Action>& out) {
        now = at;
        actions = &out;
        wake_by = Time::max();
        for (const Event& event : events)
            std::visit([&](const auto& e) { on(e); }, event);
        no_room.assign(std::max<std::size_t>(settings.kinds, kind_slots.kinds()) + 1, unlimited);
        const auto is_void = [&](const load_estimates::TimerQueue::Entry& due) {
            return !jobs[due.id].live || jobs[due.id].serial != due.serial;
        };
        while (const auto due = reviews.pop_due(now, is_void))
            review(due->id);
        if (std::exchange(capacity_changed, false)) {
            std::ranges::stable_sort(waiting, std::greater<>(), [&](JobId id) { return jobs[id].value; });
            for (const JobId id : waiting)
                if (jobs[id].waiting) place(id);
        }
        std::erase_if(waiting, [&](JobId id) { return !jobs[id].waiting; });
        keep_list();
        probe();
        wake_by = std::min(wake_by, reviews.next_time().value_or(wake_by));
        if (wake_by < Time::max() && (armed <= now || wake_by < armed)) {
            armed = std::max(wake_by, now + 1ns);
            actions->emplace_back(Wake{armed});
        }
    }

    Settings settings;
    std::mt19937_64 random;
    load_estimates::FirstTries first_tries;
    std::vector<load_estimates::TokenBucket> tenants;
    std::vector<Worker> workers;
    std::vector<load_estimates::Zone> zones;
    std::vector<WorkerId> ready; // in the order of their keys
    load_estimates::KindSlots kind_slots;
    std::vector<Job> jobs;
    std::vector<JobId> waiting;
    std::vector<double> no_room; // by kind of worker needed, 0 for any: slots for which there is no room now
    load_estimates::TimerQueue reviews;
    load_estimates::Holders holders; // of the job that is being placed: how many workers come before another
    load_estimates::SystematicSampler cold_shares; // of the job that is being placed
    load_estimates::Rate arrivals;
    load_estimates::Pulse probes;
    std::uint64_t last_serial = 0;
    load_estimates::GroupMeans loads{load_estimates::usual_at_first, mean_gain}; // by kind and zone
    load_estimates::Offered offered;                                             // slot-seconds a second
    load_estimates::Times times;
    double crowding = 0; // share of the jobs of one slot that found no room on arrival
    load_estimates::TokenBucket retries{.tokens = retry_burst};
    bool capacity_changed = false, some_warm = false;
    load_estimates::Subscription list;
    Time now{0}, armed{-1}, wake_by{0};
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
