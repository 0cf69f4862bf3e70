// Tests of effects that only appear with many dispatchers. Real dispatchers run side by side in virtual time
// against simulated workers, which consist of slots, a queue and delayed reports. Seeds are fixed.
#include "scheduler/load_estimates/learn.h"
#include "support/rule_checker.h"

#include <willowrill/dispatcher.h>

#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration tick = 5ms;
constexpr double worker_slots = 4;
constexpr Index once_class = 0, keyed_class = 1; // jobs of `keyed_class` run on kind 0 only

Settings settings_for(Index dispatchers, Index self, double handshake_price) {
    Settings result = site_settings(self, dispatchers);
    result.seed = 100 + self;
    result.list_on_request = result.second_copies = false; // the worker list is pushed
    result.classes = {{.effect = Effect::once, .aim = 300ms, .aim_stretch = 1.75, .give_up = 5s, .worth = 10},
                      {.effect = Effect::keyed,
                       .repeat_scope = RepeatScope::cell,
                       .repeat_window = 40s,
                       .aim = 2s,
                       .aim_stretch = 1.75,
                       .give_up = 25s,
                       .worth = 30,
                       .kind = 0}};
    result.cross_zone_price = 0.02;
    result.handshake_price = handshake_price;
    return result;
}

// Simulates dispatchers with arrivals at random and workers that run the jobs. The time advances in steps of
// `tick`.
class Simulation {
  public:
    struct Worker {
        WorkerEntry entry;
        bool is_unreachable = false;
        double error_share = 0; // share of its jobs that end at once with an error
        struct Task {
            Index dispatcher;
            JobId job;
            Index attempt;
            Time sent;
            Duration work;
        };
        std::deque<Task> queue{};
        std::vector<std::pair<Time, Task>> running{};
        std::vector<std::pair<Time, double>> accepted_work{}; // time and work of each job that was sent here
    };
    struct ClassCounts {
        int arrived = 0, served = 0, refused = 0, failed = 0, late = 0;
    };

    Simulation(Index dispatchers, const std::vector<WorkerEntry>& entries, double handshake_price = 0.02) {
        for (Index self = 0; self < dispatchers; ++self)
            schedulers_.push_back({Dispatcher(settings_for(dispatchers, self, handshake_price)), {}, {}, {}});
        for (const WorkerEntry& entry : entries)
            workers.push_back({.entry = entry});
        send_update(EndpointListUpdate::Kind::complete, entries);
    }

    void send_update(EndpointListUpdate::Kind kind, const std::vector<WorkerEntry>& entries) {
        for (Scheduler& scheduler : schedulers_)
            scheduler.events.emplace_back(EndpointListUpdate{kind, entries});
    }

    // Replaces the dispatcher with a new one, which knows the worker list but nothing of the jobs it sent
    // before.
    void restart(Index self, const std::vector<WorkerEntry>& list) {
        Scheduler& scheduler = schedulers_[self];
        scheduler.dispatcher = Dispatcher(settings_for(static_cast<Index>(schedulers_.size()), self, 0.02));
        scheduler.events = {EndpointListUpdate{EndpointListUpdate::Kind::remembered, list}};
    }

    // Runs until `end` with the given arrival rates of the two classes over the whole fleet. Jobs of
    // `once_class` run for 0.2 s on average, those of `keyed_class` for 1 s.
    void run_until(Time end, double once_per_s, double keyed_per_s) {
        for (; now < end; now += tick) {
            arrive(once_class, once_per_s);
            arrive(keyed_class, keyed_per_s);
            for (WorkerId id = 0; id < workers.size(); ++id)
                run_worker(id);
            for (Index self = 0; self < schedulers_.size(); ++self)
                run_dispatcher(self);
        }
    }

    Time now{0};
    std::vector<Worker> workers;
    std::array<ClassCounts, 2> class_counts{};
    std::map<Index, std::set<WorkerId>> used_workers{}; // by dispatcher
    std::vector<std::pair<Index, WorkerId>> sends{};
    int unreachable_count = 0, reused_connections = 0;

  private:
    struct Scheduler {
        Dispatcher dispatcher;
        std::vector<Event> events;
        std::vector<JobArrived> jobs; // by job id
        std::vector<Time> arrival_times;
    };

    double random_unit() { return load_estimates::to_unit_interval(random_()); }

    void arrive(Index job_class, double jobs_per_s) {
        for (double due = jobs_per_s * load_estimates::seconds(tick); random_unit() < due; due -= 1) {
            Scheduler& scheduler = schedulers_[static_cast<std::size_t>(
                random_unit() * static_cast<double>(schedulers_.size()))];
            const JobArrived job{.job = static_cast<JobId>(scheduler.jobs.size()),
                                 .job_class = job_class,
                                 .time_left = job_class == once_class ? Duration(5s) : Duration(25s)};
            scheduler.jobs.push_back(job);
            scheduler.arrival_times.push_back(now);
            scheduler.events.emplace_back(job);
            ++class_counts[job_class].arrived;
        }
    }

    void run_dispatcher(Index self) {
        Scheduler& scheduler = schedulers_[self];
        std::vector<Action> actions;
        scheduler.events.emplace_back(TimerExpired{});
        scheduler.dispatcher.handle(now, std::exchange(scheduler.events, {}), actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) start_attempt(self, *send);
            if (const auto* refuse = std::get_if<Refuse>(&action))
                ++class_counts[scheduler.jobs[refuse->job].job_class].refused;
            if (const auto* fail = std::get_if<Fail>(&action))
                ++class_counts[scheduler.jobs[fail->job].job_class].failed;
        }
    }

    void start_attempt(Index self, const Send& send) {
        Worker& worker = workers[send.worker];
        const Index job_class = schedulers_[self].jobs[send.job].job_class;
        const double mean = job_class == once_class ? 0.2 : 1;
        const auto work = Duration(static_cast<Duration::rep>(-std::log(1 - random_unit()) * mean * 1e9));
        used_workers[self].insert(send.worker);
        std::vector<Time>& idle_start_times = idle_connections_[{self, send.worker}];
        std::erase_if(idle_start_times, [&](Time idle_start) { return now - idle_start > 4s; });
        if (!idle_start_times.empty()) idle_start_times.pop_back(), ++reused_connections;
        sends.emplace_back(self, send.worker);
        const Index attempt = attempt_counts_[{self, send.job}]++;
        if (worker.is_unreachable) {
            ++unreachable_count;
            return end_attempt(self, send.job, attempt, send.worker, Outcome::connect_failed, now, {});
        }
        worker.accepted_work.emplace_back(now, load_estimates::seconds(work));
        if (random_unit() < worker.error_share)
            return end_attempt(self, send.job, attempt, send.worker, Outcome::error, now, idle_report());
        worker.queue.push_back({self, send.job, attempt, now, work});
    }

    static Report idle_report() { return {.utilisation = 0.0, .free_slots = worker_slots}; }

    // The worker's speed relative to that of a warm worker: from 0.4 after its start to 1 after 9 s.
    double speed(const Worker& worker) const {
        if (worker.entry.up_since <= 0s) return 1;
        const double age = load_estimates::seconds(now - worker.entry.up_since) / 9;
        return age >= 1 ? 1 : 0.4 + 0.6 * std::max(0.0, age);
    }

    // Ends the jobs that are finished and starts queued ones in the free slots.
    void run_worker(WorkerId id) {
        Worker& worker = workers[id];
        std::erase_if(worker.running, [&](const auto& item) {
            if (item.first > now) return false;
            const auto& task = item.second;
            const double busy = static_cast<double>(worker.running.size()) / worker_slots;
            end_attempt(task.dispatcher, task.job, task.attempt, id, Outcome::served, task.sent,
                        Report{.utilisation = std::min(1.0, busy),
                               .free_slots =
                                   std::max(0.0, worker_slots - static_cast<double>(worker.running.size()))});
            return true;
        });
        while (static_cast<double>(worker.running.size()) < worker_slots && !worker.queue.empty()) {
            const auto task = worker.queue.front();
            worker.queue.pop_front();
            worker.running.emplace_back(now + std::chrono::duration_cast<Duration>(task.work / speed(worker)),
                                        task);
        }
    }

    void end_attempt(Index self, JobId job, Index attempt, WorkerId worker, Outcome outcome, Time sent,
                     std::optional<Report> report) {
        Scheduler& scheduler = schedulers_[self];
        const bool served = outcome == Outcome::served;
        if (outcome != Outcome::connect_failed) idle_connections_[{self, worker}].push_back(now);
        if (served) {
            ClassCounts& count = class_counts[scheduler.jobs[job].job_class];
            ++count.served;
            if (now - scheduler.arrival_times[job] >
                (scheduler.jobs[job].job_class == once_class ? 900ms : 4s))
                ++count.late;
        }
        scheduler.events.emplace_back(AttemptEnded{.job = job,
                                                   .attempt = attempt,
                                                   .worker = worker,
                                                   .outcome = outcome,
                                                   .latency = now - sent,
                                                   .job_over = served,
                                                   .report = report});
    }

    std::vector<Scheduler> schedulers_;
    std::map<std::pair<Index, JobId>, Index> attempt_counts_;
    std::map<std::pair<Index, WorkerId>, std::vector<Time>> idle_connections_; // when each became idle
    std::mt19937_64 random_{5};
};

// Worker entries with alternating kinds and zones and with cells of four.
std::vector<WorkerEntry> fleet_of(WorkerId count, WorkerId first = 0, Time up_since = 0s) {
    std::vector<WorkerEntry> result;
    for (WorkerId id = first; id < first + count; ++id) {
        result.push_back({.worker = id,
                          .key = load_estimates::mix64(id + 1),
                          .up_since = up_since,
                          .kind = id % 2,
                          .zone = id / 2 % 2,
                          .cell = id / 4});
    }
    return result;
}

// The work, in slot-seconds, that the workers from the id `first` on were sent in the given period.
double work_in(const Simulation& simulation, WorkerId first, Time since, Time until) {
    double total_work = 0;
    for (WorkerId id = first; id < simulation.workers.size(); ++id) {
        for (const auto& [sent_at, work] : simulation.workers[id].accepted_work)
            total_work += sent_at >= since && sent_at < until ? work : 0;
    }
    return total_work;
}

} // namespace

TEST_CASE(
    "consecutive shares: a point falls to one in proportion to its length, or to several above the whole") {
    constexpr int point_count = 10000;
    std::array<int, 5> fall_counts{};
    int max_takers = 0, min_takers = 5;
    for (int i = 0; i < point_count; ++i) {
        load_estimates::SystematicSampler shares;
        int taker_count = 0;
        // Each taker is due 0.1 of an arriving work of 1.
        for (std::size_t share_index = 0; share_index < fall_counts.size(); ++share_index) {
            if (!shares.select_next(0.1, 1e9, 1, (i + 0.5) / point_count)) continue;
            ++fall_counts[share_index];
            ++taker_count;
        }
        max_takers = std::max(max_takers, taker_count);
    }
    CHECK(max_takers == 1);
    for (const int fall_count : fall_counts)
        CHECK(fall_count == doctest::Approx(point_count / 10.0).epsilon(0.01));
    for (int i = 0; i < point_count; ++i) {
        load_estimates::SystematicSampler shares;
        int taker_count = 0;
        for (int share_index = 0; share_index < 5; ++share_index)
            taker_count += shares.select_next(0.5, 1e9, 1, (i + 0.5) / point_count) ? 1 : 0;
        min_takers = std::min(min_takers, taker_count);
        max_takers = std::max(max_takers, taker_count);
    }
    CHECK(min_takers == 2); // the shares add up to 2.5 times the whole
    CHECK(max_takers == 3);
    load_estimates::SystematicSampler shares; // closed half of the time, so its share doubles while open
    CHECK(shares.select_next(0.1, 0.2, 1, 0.19));
}

// With 100 schedulers, each one's share allows a job at a cold worker only in one of 70 windows. When few of
// these were used, 18 cold workers got one job in 2.5 s while jobs queued at the warm ones.
TEST_CASE("cold workers get their share of the work, and no more than they can handle") {
    for (const Index scheduler_count : {1U, 2U, 3U, 48U, 100U}) {
        CAPTURE(scheduler_count);
        Simulation simulation(scheduler_count, fleet_of(12));
        simulation.run_until(5s, 60, 14);
        const auto cold_entries = fleet_of(12, 12, 5s);
        for (const WorkerEntry& entry : cold_entries)
            simulation.workers.push_back({.entry = entry});
        simulation.send_update(EndpointListUpdate::Kind::changes, cold_entries);
        simulation.run_until(14s, 60, 14);
        // The cold workers' capacity is 12 * 4 * 0.7 slot-seconds per second on average; all 24 workers
        // together are asked for 26.
        CHECK(work_in(simulation, 12, 5s, 14s) > 0.08 * 33 * 9);
        for (Time from = 5s; from < 14s; from += 250ms) {
            const double capacity =
                12 * worker_slots *
                (0.4 + 0.6 * load_estimates::seconds(from - 5s) / 9); // of all cold workers
            CHECK(work_in(simulation, 12, from, from + 1s) < 2.5 * capacity);
        }
    }
}

// Guards against a restarted scheduler using its whole share at once, regardless of what it sent in the same
// second before the restart.
TEST_CASE("a cold worker is not overloaded by twenty or thirty schedulers, even if they restart") {
    for (const Index scheduler_count : {20U, 30U}) {
        CAPTURE(scheduler_count);
        std::vector<WorkerEntry> list = fleet_of(6);
        Simulation simulation(scheduler_count, list);
        simulation.run_until(5s, 60, 4);
        list.push_back({.worker = 6, .key = load_estimates::mix64(7), .up_since = 5s, .kind = 0, .cell = 1});
        simulation.workers.push_back({.entry = list.back()});
        simulation.send_update(EndpointListUpdate::Kind::changes, {list.back()});
        for (Time at = 5s; at < 11s; at += 300ms) {
            for (Index self = 0; self < scheduler_count; ++self)
                simulation.restart(self, list);
            simulation.run_until(at + 300ms, 90, 4);
        }
        for (Time from = 5s; from < 10s; from += 50ms) {
            const double capacity = worker_slots * (0.4 + 0.6 * load_estimates::seconds(from - 5s) / 9);
            const double max_jobs = 2.5 * capacity / 0.25; // in jobs of average work
            const auto job_count =
                std::ranges::count_if(simulation.workers[6].accepted_work, [&](const auto& sent_work) {
                    return sent_work.first >= from && sent_work.first < from + 1s;
                });
            CAPTURE(from.count());
            CHECK(static_cast<double>(job_count) <= max_jobs + 2 * std::sqrt(max_jobs) + 2);
        }
    }
}

// Unreachable workers look idle, and each connection to one takes 0.25 s to fail. When jobs tried four
// workers of a lost zone one after the other, 249 jobs were refused in five seconds.
TEST_CASE("a job does not try the workers of a lost zone one after the other") {
    for (const Index scheduler_count : {1U, 2U, 3U, 48U, 100U}) {
        CAPTURE(scheduler_count);
        Simulation simulation(scheduler_count, fleet_of(24));
        simulation.run_until(5s, 60, 10);
        for (Simulation::Worker& worker : simulation.workers)
            worker.is_unreachable = worker.entry.zone == 1;
        const auto before = simulation.class_counts;
        const int arrived_before = before[once_class].arrived + before[keyed_class].arrived;
        simulation.run_until(10s, 60, 10);
        const int arrived_jobs = simulation.class_counts[once_class].arrived +
                                 simulation.class_counts[keyed_class].arrived - arrived_before;
        CHECK(simulation.class_counts[once_class].refused - before[once_class].refused < 0.05 * arrived_jobs);
        // A share of 0.33 with 100 schedulers; 0.57 if the lost zone does not rest as a whole.
        CHECK(simulation.unreachable_count < 0.45 * arrived_jobs);
    }
}

// If the home worker is assigned by rank, each of many schedulers has a single home of any kind, and a
// different one after each change of the list. It then tries ever more workers, loses a job at each that
// returns errors, and keeps no connection alive.
TEST_CASE(
    "where schedulers outnumber workers, each uses a few workers that a change of the list does not affect") {
    Simulation simulation(100, fleet_of(40));
    simulation.run_until(20s, 100, 20);
    const auto mean_used_workers = [&] {
        double sum = 0;
        for (const auto& [self, workers] : simulation.used_workers)
            sum += static_cast<double>(workers.size());
        return sum / static_cast<double>(simulation.used_workers.size());
    };
    const double initial_mean = mean_used_workers(); // after 24 jobs per scheduler
    CHECK(initial_mean < 11);
    // Workers join and leave; the homes on the other workers must stay.
    std::vector<WorkerEntry> changes = fleet_of(4, 40);
    for (const WorkerEntry& entry : changes)
        simulation.workers.push_back({.entry = entry});
    for (WorkerEntry removed : fleet_of(4)) {
        removed.condition = Condition::gone;
        changes.push_back(removed);
    }
    simulation.send_update(EndpointListUpdate::Kind::changes, changes);
    simulation.run_until(40s, 100, 20);
    CHECK(mean_used_workers() < initial_mean + 4);
}

// Workers that return errors at once look idle. Without a countermeasure, each of many schedulers loses a job
// at them every five seconds; jobs that may be repeated in their cell after an error are used to test such
// workers instead.
TEST_CASE("a worker that returns errors costs each scheduler few jobs that cannot be repeated") {
    Simulation simulation(48, fleet_of(24));
    simulation.run_until(3s, 100, 24);
    for (WorkerId id = 0; id < 6; ++id)
        simulation.workers[id].error_share = 0.8;
    simulation.run_until(8s, 100, 24);
    const Simulation::ClassCounts before = simulation.class_counts[once_class];
    simulation.run_until(23s, 100, 24);
    const Simulation::ClassCounts& after = simulation.class_counts[once_class];
    CHECK(after.failed - before.failed < 0.08 * (after.arrived - before.arrived));
}

// Guards against opening a connection for nearly every job: with a hundred schedulers, each returns to a
// given worker less often than idle connections are closed.
TEST_CASE("where connections are expensive, a scheduler prefers workers to which it has one") {
    for (const Index scheduler_count : {3U, 100U}) {
        CAPTURE(scheduler_count);
        Simulation expensive(scheduler_count, fleet_of(40)), cheap(scheduler_count, fleet_of(40), 0);
        expensive.run_until(20s, 100, 20);
        cheap.run_until(20s, 100, 20);
        CHECK(expensive.reused_connections > (scheduler_count > 40 ? 1.2 : 1.0) * cheap.reused_connections);
        CHECK(expensive.class_counts[once_class].late + expensive.class_counts[keyed_class].late <
              1.1 * (cheap.class_counts[once_class].late + cheap.class_counts[keyed_class].late) + 20);
    }
}

// Discovery may send nonsensical lists. They must not lose jobs, and no job may be sent to workers that the
// list does not contain.
TEST_CASE("malformed lists lose no job") {
    for (const Index scheduler_count : {1U, 2U, 100U}) {
        CAPTURE(scheduler_count);
        Simulation simulation(scheduler_count, fleet_of(12));
        simulation.run_until(2s, 60, 10);
        std::vector<WorkerEntry> malformed_list = fleet_of(4);
        malformed_list.push_back(malformed_list.front());       // a duplicate entry
        malformed_list[1].kind = 0, malformed_list[1].zone = 1; // another kind and zone, but the same process
        malformed_list[2].up_since = 3600s;                     // a start time in the future
        malformed_list[3].kind = 7, malformed_list[3].zone = 9; // a kind and a zone beyond the settings
        for (const WorkerEntry& entry : malformed_list)
            simulation.workers[entry.worker].entry.kind = entry.kind;
        simulation.send_update(EndpointListUpdate::Kind::changes, malformed_list);
        simulation.send_update(EndpointListUpdate::Kind::remembered, {}); // an empty list: no worker is left
        simulation.run_until(2500ms, 60, 10);
        const std::size_t sends_before = simulation.sends.size();
        simulation.run_until(4s, 60, 10);
        CHECK(simulation.sends.size() == sends_before); // workers of the earlier list are not used
        simulation.send_update(EndpointListUpdate::Kind::complete, malformed_list);
        simulation.send_update(EndpointListUpdate::Kind::changes, fleet_of(8, 4));
        simulation.run_until(12s, 60, 10);
        CHECK(simulation.sends.size() > sends_before + 300);
        simulation.run_until(42s, 0, 0); // until every deadline has passed
        for (const Simulation::ClassCounts& count : simulation.class_counts)
            CHECK(count.served + count.refused + count.failed == count.arrived);
    }
}

// Guards against sending a third of the jobs that run on any kind to the kind that other jobs depend on,
// where they queue behind these.
TEST_CASE("jobs that run on any kind leave room on the kind that others need") {
    for (const Index scheduler_count : {3U, 48U, 100U}) {
        CAPTURE(scheduler_count);
        Simulation simulation(scheduler_count, fleet_of(24));
        simulation.run_until(5s, 80, 24);
        simulation.sends.clear();
        const int keyed_before = simulation.class_counts[keyed_class].arrived;
        simulation.run_until(25s, 80, 24);
        const auto sends_to_needed_kind =
            std::ranges::count_if(simulation.sends, [](const auto& send) { return send.second % 2 == 0; });
        const double flexible_sends = static_cast<double>(sends_to_needed_kind) -
                                      (simulation.class_counts[keyed_class].arrived - keyed_before);
        CHECK(flexible_sends < 0.2 * static_cast<double>(simulation.sends.size()));
    }
}

} // namespace willowrill::testing
