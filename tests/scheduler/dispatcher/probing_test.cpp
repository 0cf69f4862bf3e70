// Tests of load estimation by probes: when the dispatcher sends probes and how it uses the responses, starts,
// progress and latencies of jobs.
#include "scheduler/load_estimates/books.h"
#include "scheduler/load_estimates/learn.h"

#include <willowrill/dispatcher.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

// Settings of a deployment whose workers report load only in response to probes, report starts, and cache
// data by key; the running times that clients give as hints are accurate.
Settings probing_settings(Index self = 0, Index dispatchers = 5) {
    Settings result;
    result.seed = 11 + self;
    result.self = self;
    result.dispatchers = dispatchers;
    result.classes = {{.effect = Effect::keyed,
                       .repeat_scope = RepeatScope::zone,
                       .repeat_window = 10s,
                       .aim = 500ms,
                       .aim_stretch = 2,
                       .give_up = 6s}};
    result.worth_by_work = true;
    result.tick = 2ms;
    result.tells_start = true;
    result.reports_with_probes = result.probes = true;
    result.probe_price = 0.01;
    result.may_cancel = result.second_copies = result.clients_honor_retry_after = true;
    result.max_attempts = 4;
    result.max_retry_after = 2s;
    result.connection_idle = 5s;
    return result;
}

// A dispatcher, its clock, and simulated workers of six slots that answer each probe after 5 ms with their
// number of free slots.
class SimulatedFleet {
  public:
    SimulatedFleet(const Settings& settings, WorkerId workers)
        : dispatcher_(settings), free_slots_(workers, 6.0) {
        EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
        for (WorkerId id = 0; id < workers; ++id)
            list.entries.push_back({.worker = id, .key = load_estimates::mix64(id + 1), .zone = id % 5});
        step({list});
    }
    // Passes the events to the dispatcher, with the probe responses and job starts that are due, and records
    // its actions. The time does not advance.
    void step(std::vector<Event> events = {}) {
        for (auto probe = pending_probes_.begin();
             answers_probes && probe != pending_probes_.end() && probe->first <= now;) {
            const WorkerId id = probe->second;
            const bool is_silent = silent_workers.contains(id);
            const Report report{.utilisation = 1 - free_slots_[id] / 6,
                                .free_slots = free_slots_[id],
                                .served_per_s = ++report_count_};
            events.emplace_back(Probed{id, is_silent ? Outcome::timed_out : Outcome::served, 5ms,
                                       is_silent ? std::nullopt : std::optional(report)});
            probe = pending_probes_.erase(probe);
        }
        for (const Send& send : reports_starts ? std::exchange(unstarted_sends_, {}) : std::vector<Send>())
            events.insert(events.begin(), AttemptStarted{send.job, 0, send.worker});
        std::vector<Action> actions;
        dispatcher_.handle(now, events, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) {
                sends.push_back(*send);
                unstarted_sends_.push_back(*send);
            }
            if (std::holds_alternative<Cancel>(action)) ++cancel_count;
            if (std::holds_alternative<Refuse>(action)) refused_at = now;
            if (const auto* probe = std::get_if<Probe>(&action)) {
                ++probes_by_worker[probe->worker];
                pending_probes_.emplace(now + 5ms, probe->worker);
            }
        }
    }
    // Steps the dispatcher every 2 ms until the time has advanced by `duration`.
    void run(Duration duration) {
        for (const Time end = now + duration; now < end;) {
            now += 2ms;
            step();
        }
    }
    // Submits a job and returns the worker it is sent to, or `none` if it is not sent at once.
    WorkerId submit(JobId id, std::optional<std::uint64_t> key = {}, Duration hint = 500ms) {
        const std::size_t sends_before = sends.size();
        step({JobArrived{.job = id, .key = key, .time_left = 6s, .hint = hint}});
        return sends.size() > sends_before ? sends.back().worker : none;
    }
    // Ends the job with an answer after `latency`, by which the time advances.
    void complete(const Send& send, Duration latency = 500ms) {
        step();
        now += latency;
        step({AttemptEnded{.job = send.job, .worker = send.worker, .latency = latency, .job_over = true}});
    }
    std::size_t probe_count() const {
        std::size_t result = 0;
        for (const auto& [id, count] : probes_by_worker)
            result += count;
        return result;
    }
    void set_free_slots(double slots) { std::ranges::fill(free_slots_, slots); }

    Time now{1s}, refused_at{0};
    std::vector<Send> sends;
    std::map<WorkerId, std::size_t> probes_by_worker;
    std::size_t cancel_count = 0;
    bool reports_starts = true; // as soon as a job has been sent
    bool answers_probes = true;
    std::set<WorkerId> silent_workers;

  private:
    Dispatcher dispatcher_;
    std::vector<double> free_slots_;
    std::vector<Send> unstarted_sends_;
    double report_count_ = 0; // makes every report differ, as repeated reports are ignored
    std::multimap<Time, WorkerId> pending_probes_;
};

} // namespace

TEST_CASE("no probe is sent where probes are not allowed or carry no load report") {
    for (const bool probes_allowed : {false, true}) {
        Settings settings = probing_settings();
        settings.probes = probes_allowed;
        settings.reports_with_probes = !probes_allowed;
        SimulatedFleet fleet(settings, 15);
        for (JobId id = 0; id < 50; ++id) {
            fleet.submit(id);
            fleet.run(100ms);
        }
        CHECK(fleet.probe_count() == 0);
        CHECK_FALSE(fleet.sends.empty());
    }
}

TEST_CASE("all dispatchers together send a worker at most ten probes a second, and each at most 1.5 probes "
          "per job") {
    for (const Index dispatchers : {1U, 5U, 48U, 300U}) {
        CAPTURE(dispatchers);
        SimulatedFleet fleet(probing_settings(0, dispatchers), 20);
        for (JobId id = 0; id < 400; ++id) { // twenty jobs a second
            fleet.submit(id);
            fleet.run(50ms);
        }
        const double limit_by_workers = 20.0 * 10 * 20 / dispatchers, limit_by_jobs = 1.5 * 400;
        CHECK(static_cast<double>(fleet.probe_count()) <=
              1.1 * std::min(limit_by_workers, limit_by_jobs) + 2);
        CHECK(static_cast<double>(fleet.probe_count()) >= 0.5 * std::min(limit_by_workers, limit_by_jobs));
        if (dispatchers <= 5) CHECK(fleet.probes_by_worker.size() == 20); // every worker is probed
    }
}

// If only answers to jobs clear the degradation X, a worker counts as full for good at a site where answers
// carry no report.
TEST_CASE("X is cleared by a fresh report from a probe and by the end of a job sent since the last report") {
    Settings settings = probing_settings(0, 1);
    SUBCASE("by a probe") {
        SimulatedFleet fleet(settings, 1);
        fleet.run(1s);
        JobId id = 0;
        while (fleet.submit(id++) != none) {
        }
        CHECK(id >= 6);
        const std::size_t sends_when_full = fleet.sends.size();
        fleet.run(1s); // the worker reports six free slots again
        CHECK(fleet.sends.size() > sends_when_full);
    }
    SUBCASE("by the end of a job, where probes are too expensive") {
        settings.probe_price = 1e9;
        SimulatedFleet fleet(settings, 1);
        fleet.run(1s);
        JobId id = 0;
        while (fleet.submit(id++) != none) {
        }
        const std::size_t sends_when_full = fleet.sends.size();
        fleet.complete(fleet.sends.front(), 100ms);
        CHECK(fleet.sends.size() == sends_when_full + 1);
    }
}

TEST_CASE(
    "all dispatchers send the jobs of one key to the same few workers and spread the keys over all workers") {
    std::map<std::uint64_t, std::set<WorkerId>> workers_by_key;
    std::set<WorkerId> all_workers;
    for (Index self = 0; self < 5; ++self) {
        SimulatedFleet fleet(probing_settings(self), 15);
        fleet.run(1s);
        for (JobId id = 0; id < 120; ++id) {
            const std::uint64_t key = id % 60;
            if (fleet.submit(id, key) == none) continue;
            workers_by_key[key].insert(fleet.sends.back().worker);
            all_workers.insert(fleet.sends.back().worker);
            fleet.complete(fleet.sends.back());
            fleet.run(50ms);
        }
    }
    CHECK(all_workers.size() == 15);
    for (const auto& [key, workers] : workers_by_key)
        CHECK(workers.size() <= 2);
}

TEST_CASE("a key whose jobs fill several workers is spread over as many workers") {
    SimulatedFleet fleet(probing_settings(), 15);
    fleet.run(1s);
    std::set<WorkerId> holders;
    for (JobId id = 0; id < 400; ++id) { // three in ten jobs have key 7
        if (fleet.submit(id, id % 10 < 3 ? 7 : 1000 + id) != none) fleet.complete(fleet.sends.back(), 20ms);
    }
    fleet.run(1s);
    for (JobId id = 400; id < 424; ++id) // all at the same time
        holders.insert(fleet.submit(id, 7));
    CHECK(holders.size() >= 5);
    CHECK(holders.size() <= 10);
}

// If the mean running time of all jobs stands for each job's, long jobs are given up too early and short ones
// are held until they are late.
TEST_CASE("the time until a held job is given up depends on its own hint") {
    Duration short_job_wait{}, long_job_wait{};
    for (const Duration hint : {100ms, 1000ms}) {
        Settings settings = probing_settings(0, 1);
        settings.probe_price = 0;
        SimulatedFleet fleet(settings, 2);
        fleet.run(2s);
        fleet.set_free_slots(0);
        fleet.run(2s);
        const Time started_at = fleet.now;
        REQUIRE(fleet.submit(0, {}, hint) == none);
        fleet.run(4s);
        REQUIRE(fleet.refused_at > started_at);
        (hint == 100ms ? short_job_wait : long_job_wait) = fleet.refused_at - started_at;
    }
    CHECK(short_job_wait <= 600ms); // the aim of 500 ms plus twice the running time, less the running time
    CHECK(long_job_wait >= 1400ms);
    CHECK(long_job_wait <= 1500ms);
}

// On real sockets a connection takes several round trips to come up. Guards against cancelling an attempt
// before that and sending it to another worker, where yet another connection must be opened.
TEST_CASE("an attempt that opens a connection is not cancelled while the connection may still come up") {
    Settings settings = probing_settings(0, 1);
    settings.connect_timeout = 200ms;
    SimulatedFleet fleet(settings, 10); // two in each zone
    fleet.reports_starts = false;
    fleet.run(2s);
    REQUIRE(fleet.submit(0) != none);
    fleet.run(200ms); // well beyond an eighth of the aim
    CHECK(fleet.cancel_count == 0);
    fleet.run(100ms);
    CHECK(fleet.cancel_count == 1);
}

// At a worker that is expected to take too long, an attempt that runs a tenth longer makes the answer late
// and thereby worthless.
TEST_CASE("a job is not sent to a worker whose answer is expected too late") {
    SimulatedFleet fleet(probing_settings(0, 1), 1);
    fleet.run(1s);
    for (JobId id = 0; id < 20; ++id) { // 3.2 times its hint, where 1 s and twice the hint are allowed
        if (fleet.submit(id, {}, 500ms) != none) fleet.complete(fleet.sends.back(), 1600ms);
        fleet.run(100ms);
    }
    CHECK(fleet.sends.size() < 10);
    const std::size_t sends_before = fleet.sends.size();
    CHECK(fleet.submit(100, {}, 100ms) != none); // a short job has more time to spare
    CHECK(fleet.sends.size() == sends_before + 1);
}

// A worker that has become very slow looks free, because it gets few jobs. Only the time that these take
// shows that it is slow.
TEST_CASE("a slow worker is detected by the latency of its answers, and tried again later") {
    SimulatedFleet fleet(probing_settings(0, 1),
                         2); // in two zones, so that no job is moved to the other worker
    fleet.run(1s);
    const auto sends_to_slow_worker = [&](JobId first) {
        int result = 0;
        for (JobId id = first; id < first + 24; ++id) {
            const WorkerId worker = fleet.submit(id, {}, 200ms);
            if (worker == 1) ++result;
            if (worker != none) fleet.complete(fleet.sends.back(), worker == 1 ? 900ms : 200ms);
        }
        return result;
    };
    CHECK(sends_to_slow_worker(0) <= 4); // of 24 jobs
    CHECK(sends_to_slow_worker(24) <= 2);
    fleet.run(40s);
    int later_sends = 0;
    for (JobId id = 100; id < 112; id += 2) { // two at once, so that both workers get jobs
        for (const JobId job_id : {id, id + 1}) {
            if (fleet.submit(job_id, {}, 200ms) == 1) ++later_sends;
        }
        fleet.complete(fleet.sends[fleet.sends.size() - 2], 200ms);
        fleet.complete(fleet.sends.back(), 200ms);
    }
    CHECK(later_sends >= 3);
}

TEST_CASE(
    "a slow worker is detected by reported progress, and its jobs are moved to another worker in time") {
    SimulatedFleet fleet(probing_settings(0, 1), 10); // two in each zone
    fleet.run(1s);
    const WorkerId slow_worker = fleet.submit(0);
    REQUIRE(slow_worker != none);
    fleet.step(); // the job starts
    std::vector<Event> progress_events;
    for (const double done_share :
         {0.01, -0.5, 1e9, 0.01, 0.01, std::nan(""), 0.02}) // some of these are impossible
        progress_events.emplace_back(AttemptProgress{0, 0, slow_worker, done_share});
    fleet.now += 200ms;
    fleet.step(progress_events);
    CHECK(fleet.cancel_count == 0); // its running time is not exceeded yet
    fleet.run(700ms);
    CHECK(fleet.cancel_count == 1);
    REQUIRE(fleet.sends.size() == 2);
    CHECK(fleet.sends[1].worker != slow_worker);
    CHECK(fleet.sends[1].worker % 5 == slow_worker % 5); // repeats are dropped only within the zone
    for (JobId id = 1; id < 12; ++id)
        CHECK(fleet.submit(id) != slow_worker);
}

TEST_CASE("impossible progress values are ignored") {
    for (const double done_share : {0.0, -1.0, 1.5, 1e300, std::nan("")}) {
        SimulatedFleet fleet(probing_settings(0, 1), 10);
        fleet.run(1s);
        const WorkerId worker = fleet.submit(0);
        fleet.step();
        fleet.now += 300ms;
        fleet.step(std::vector<Event>(5, AttemptProgress{0, 0, worker, done_share}));
        fleet.run(700ms); // a worker known to be slow would lose the job at twice its running time
        CHECK(fleet.cancel_count == 0);
    }
}

TEST_CASE("without a budget for probes at most one is sent, and the ends of jobs suffice to serve all jobs") {
    Settings settings = probing_settings();
    settings.probe_price = 1e300;
    SimulatedFleet fleet(settings, 15);
    for (JobId id = 0; id < 50; ++id) {
        if (fleet.submit(id) != none) fleet.complete(fleet.sends.back());
    }
    CHECK(fleet.probe_count() <= 1); // sent at the start
    CHECK(fleet.sends.size() == 50);
}

// Held jobs are sent at the moment of a report, so the reported load L does not include them, and the
// degradation X does. If their ends were subtracted from L, X would keep them until the next report, and a
// worker without any job of this dispatcher would count as full.
TEST_CASE(
    "the end of a job sent at the time of a report reduces X, and that of a job sent earlier reduces L") {
    load_estimates::Worker worker;
    worker.record_send(1, 0.25);
    const load_estimates::Attempt sent_before_report{.worker = 0, .sent = 1s, .load_increment = 0.25};
    worker.record_report(0.5, 2s);
    worker.record_send(1, 0.25);
    const load_estimates::Attempt sent_with_report{.worker = 0, .sent = 2s, .load_increment = 0.25};
    worker.record_end(1);
    worker.record_end_without_report(sent_with_report, 1, 0.25);
    CHECK(worker.sent_slots == 0);
    CHECK(worker.degradation == 0);
    CHECK(worker.load == doctest::Approx(0.5));
    worker.record_end(1);
    worker.record_end_without_report(sent_before_report, 1, 0.25);
    CHECK(worker.load == doctest::Approx(0.25));
    CHECK(worker.outstanding_slots == 0);
}

// Guards against sending a second probe over the same connection while the first one is outstanding.
TEST_CASE("a worker whose process restarts does not get a second probe while one is outstanding") {
    SimulatedFleet fleet(probing_settings(0, 1), 1);
    fleet.answers_probes = false;
    fleet.run(1s);
    REQUIRE(fleet.probe_count() == 1);
    fleet.step(
        {EndpointListUpdate{EndpointListUpdate::Kind::changes, {{.worker = 0, .key = 7, .up_since = 2s}}}});
    fleet.run(1s);
    CHECK(fleet.probe_count() == 1);
}

TEST_CASE("a worker that does not answer its probes is avoided before any job fails at it") {
    SimulatedFleet fleet(probing_settings(0, 1), 4);
    fleet.silent_workers = {2};
    fleet.run(6s);
    for (JobId id = 0; id < 12; ++id)
        CHECK(fleet.submit(id) != 2);
}

} // namespace willowrill::testing
