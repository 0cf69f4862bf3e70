// Tests of the dispatcher's estimates of worker load, worker size and client patience. Each test feeds the
// dispatcher what a small fleet reports under adverse conditions and checks its decisions.
#include "scheduler/load_estimates/learn.h"

#include <willowrill/dispatcher.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

struct SimulatedFleet {
    explicit SimulatedFleet(WorkerId count, Index kinds = 1, double aim_stretch = 0,
                            double cross_zone_price = 0, const JobClass& second_class = {}) {
        Settings settings;
        settings.seed = 3;
        settings.kinds = kinds;
        settings.classes = {
            {.effect = Effect::once, .aim = 10s, .aim_stretch = aim_stretch, .give_up = 60s, .kind = 0},
            second_class};
        settings.tick = 5ms;
        settings.max_attempts = 4;
        settings.zones = 2;
        settings.cross_zone_price = cross_zone_price;
        settings.clients_honor_retry_after = true;
        settings.max_retry_after = 2s;
        settings.list_valid = 10s;
        start(settings, count, cross_zone_price > 0 ? 1 : 0);
    }
    SimulatedFleet(const Settings& settings, WorkerId count) { start(settings, count, 0); }
    void start(const Settings& settings, WorkerId count, Index zone) {
        dispatcher.emplace(settings);
        EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
        for (WorkerId id = 0; id < count; ++id)
            list.entries.push_back({.worker = id, .key = id, .zone = zone, .cell = id / 2});
        handle(0s, {list});
    }
    // Passes the events to the dispatcher and returns the number of attempts that it sends; `last_worker` is
    // set to the worker of the last one.
    std::size_t handle(Time now, std::vector<Event> events) {
        actions.clear();
        dispatcher->handle(now, events, actions);
        std::size_t sent_count = 0;
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) ++sent_count, last_worker = send->worker;
        }
        return sent_count;
    }
    // Runs the dispatcher on nothing but the timers that it requests. Returns the time of its first `Answer`
    // action, or -1 if there is none before `until`.
    template <class Answer> Time run_until_answered(Time now, Time until) {
        std::optional<Time> next_wake;
        while (now < until) {
            for (const Action& action : actions) {
                if (std::holds_alternative<Answer>(action)) return now;
                if (const auto* wake_action = std::get_if<Wake>(&action))
                    next_wake = next_wake ? std::min(*next_wake, wake_action->at) : wake_action->at;
            }
            if (!next_wake) break;
            now = *next_wake;
            next_wake.reset();
            handle(now, {TimerExpired{}});
        }
        return Time(-1);
    }
    static AttemptEnded attempt_lost(JobId id, WorkerId worker, Outcome outcome = Outcome::reset,
                                     Index attempt = 0) {
        return {.job = id, .attempt = attempt, .worker = worker, .outcome = outcome};
    }
    static JobArrived job(JobId id, double slots = 1) {
        return {.job = id, .time_left = 60s, .slots = slots};
    }
    AttemptEnded attempt_served(JobId id, double utilisation, double free_slots) const {
        return {.job = id,
                .worker = last_worker,
                .latency = 100ms,
                .job_over = true,
                .report = Report{.utilisation = utilisation, .free_slots = free_slots}};
    }
    std::optional<Dispatcher> dispatcher;
    std::vector<Action> actions;
    WorkerId last_worker = none;
};

} // namespace

// Guards against a deadlock when the first reports come from busy workers: if workers without a report are
// assumed to be as full, nothing is sent to them, so no report comes and a class stays unserved for good.
TEST_CASE("busy first reports do not make workers without a report count as full for good") {
    SimulatedFleet fleet(4);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0.98, 1)}) == 0);
    std::size_t sent_count = 0;
    for (JobId id = 1; id <= 4; ++id)
        sent_count += fleet.handle(20ms + id * 5ms, {SimulatedFleet::job(id)});
    CHECK(sent_count >= 3);
}

TEST_CASE("a worker that has served a job of four slots is not assumed to have a single slot") {
    SimulatedFleet fleet(1);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0.2, 1)}) == 0);
    REQUIRE(fleet.handle(30ms, {SimulatedFleet::job(1, 2)}) == 1);
    CHECK(fleet.handle(40ms, {SimulatedFleet::job(2, 1)}) == 1); // 2 + 1 slots fit in 4
}

TEST_CASE("one client with a day-long timeout does not make all other clients look late") {
    SimulatedFleet fleet(1);
    JobArrived patient_job = SimulatedFleet::job(0);
    patient_job.time_left = 24h;
    REQUIRE(fleet.handle(10ms, {patient_job}) == 1);
    CHECK(fleet.handle(20ms, {SimulatedFleet::job(1)}) == 1);
}

// A first try with a shorter timeout than other clients' can be mistaken for a retry that is late already.
// With many such clients, half of all refusals hit first tries while workers were idle.
TEST_CASE(
    "where retries are marked, a first try with a short timeout is sent and a marked retry counts as late") {
    Settings settings;
    settings.classes = {{.aim = 1s, .give_up = 60s}};
    settings.tick = 5ms;
    for (const bool marks_retry : {true, false}) {
        CAPTURE(marks_retry);
        settings.marks_retry = marks_retry;
        SimulatedFleet fleet(settings, 2);
        REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0)}) == 1); // the longest wait seen in this class
        JobArrived impatient = SimulatedFleet::job(1), retry = SimulatedFleet::job(2);
        impatient.time_left = retry.time_left = 2s;
        retry.is_retry = true;
        CHECK(fleet.handle(20ms, {impatient}) == (marks_retry ? 1 : 0));
        CHECK(fleet.handle(30ms, {retry}) == 0);
    }
}

// Four slots are hardly ever free at the same moment. A job that waits for that is held until it is too late,
// even under ordinary load.
TEST_CASE("a job of many slots does not wait indefinitely for all of them to be free at once") {
    SimulatedFleet fleet(1);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0, 5)}) == 0);
    REQUIRE(fleet.handle(30ms, {SimulatedFleet::job(1), SimulatedFleet::job(2)}) == 2);
    REQUIRE(fleet.handle(40ms, {SimulatedFleet::job(3, 4)}) == 0); // only three slots are free
    std::size_t sent_count = 0;
    for (Time now = 100ms; now < 3s; now += 100ms)
        sent_count += fleet.handle(now, {TimerExpired{}});
    CHECK(sent_count == 1);
}

// Where workers do not report starts, a job that was held before it was sent can be mistaken for one that
// waits at its worker. The worker then counts as full, and a busy fleet gets one job per worker.
TEST_CASE("where workers do not report starts, a job that was held does not make its worker full") {
    SimulatedFleet fleet(1);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0, 5)}) == 0);
    REQUIRE(fleet.handle(30ms, {SimulatedFleet::job(1, 4)}) == 1);
    REQUIRE(fleet.handle(40ms, {SimulatedFleet::job(2, 2)}) == 0); // held
    REQUIRE(fleet.handle(50ms, {fleet.attempt_served(1, 0, 5)}) == 1);
    fleet.handle(2s, {TimerExpired{}});
    CHECK(fleet.handle(2010ms, {SimulatedFleet::job(3)}) == 1);
}

// The first reports after a start may come from busy workers with one free slot. Small jobs are refused if
// that is taken for the workers' size.
TEST_CASE("until a kind has reported often, its size is assumed to fit the widest job seen") {
    SimulatedFleet fleet(2);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {SimulatedFleet::job(1)}) == 1);
    REQUIRE(fleet.handle(30ms, {fleet.attempt_served(1, 0.3, 1)}) == 0);
    CHECK(fleet.handle(40ms, {SimulatedFleet::job(2), SimulatedFleet::job(3)}) == 2);
}

// The degradation X of a worker in another zone includes the factor of its tier. If X is taken for slots in
// use, remote workers get only one job for each report.
TEST_CASE("a worker in another zone has as much room as a local one") {
    SimulatedFleet fleet(1, 1, 0, 0.02);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0, 4)}) == 0);
    CHECK(fleet.handle(30ms, {SimulatedFleet::job(1), SimulatedFleet::job(2), SimulatedFleet::job(3)}) == 3);
    CHECK(fleet.handle(40ms, {SimulatedFleet::job(4, 4)}) == 0);
}

// A worker whose reports have stopped repeats its last one, for example that it is idle. Such repeats must
// not clear its degradation X.
TEST_CASE("a report that is repeated for a long time does not count as fresh") {
    SimulatedFleet fleet(2);
    std::size_t sends_to_other = 0;
    WorkerId stale_worker = none;
    for (JobId id = 0; id < 20; ++id) {
        REQUIRE(fleet.handle(id * 1s + 10ms, {SimulatedFleet::job(id)}) == 1);
        if (stale_worker == none) stale_worker = fleet.last_worker;
        if (id >= 10 && fleet.last_worker != stale_worker) ++sends_to_other;
        fleet.handle(id * 1s + 110ms,
                     {fleet.last_worker == stale_worker ? fleet.attempt_served(id, 0, 5)
                                                        : fleet.attempt_served(id, 0.2, 4 + id * 0.001)});
    }
    CHECK(sends_to_other > 0);
}

TEST_CASE("draining, resting and full workers are counted as excluded, those gone from the list are not") {
    SimulatedFleet fleet(4);
    CHECK(fleet.dispatcher->excluded(0s) == 0);
    EndpointListUpdate update{EndpointListUpdate::Kind::changes, {{.worker = 2}, {.worker = 3}}};
    update.entries[0].condition = Condition::draining;
    update.entries[1].condition = Condition::gone;
    REQUIRE(fleet.handle(10ms, {update, SimulatedFleet::job(0)}) == 1);
    CHECK(fleet.dispatcher->excluded(10ms) == 1);
    REQUIRE(fleet.handle(
                20ms, {AttemptEnded{.job = 0, .worker = fleet.last_worker, .outcome = Outcome::full}}) == 1);
    CHECK(fleet.dispatcher->excluded(20ms) == 2);
    CHECK(fleet.dispatcher->excluded(2s) == 1);
}

// ---- A job that is given up is answered at once ----

constexpr JobClass by_cell{.effect = Effect::keyed,
                           .repeat_scope = RepeatScope::cell,
                           .repeat_window = 20s,
                           .aim = 10s,
                           .give_up = 60s};

// Two cells of two workers each, and a keyed job with an attempt outstanding at one of the workers.
struct KeyedFleet : SimulatedFleet {
    KeyedFleet() : SimulatedFleet(4, 1, 0, 0, by_cell) {
        JobArrived keyed = job(0);
        keyed.job_class = 1;
        REQUIRE(handle(10ms, {keyed}) == 1);
        first_worker = last_worker;
    }
    std::pair<WorkerId, WorkerId> cell() const { return {first_worker, first_worker ^ 1U}; }
    std::ptrdiff_t fail_count() const {
        return std::ranges::count_if(actions,
                                     [](const Action& a) { return std::holds_alternative<Fail>(a); });
    }
    WorkerId first_worker = none;
};

// The job must not wait for its next scheduled check when no worker is left that would drop its repeat.
TEST_CASE("a keyed job is answered at once when no worker of its repeat group is left") {
    KeyedFleet fleet;
    const auto [first_worker, other_worker] = fleet.cell();
    REQUIRE(fleet.handle(20ms, {SimulatedFleet::attempt_lost(0, first_worker)}) ==
            1); // the cell's other worker
    REQUIRE(fleet.last_worker == other_worker);
    REQUIRE(fleet.handle(30ms, {SimulatedFleet::attempt_lost(0, other_worker, Outcome::full, 1)}) == 0);
    CHECK(fleet.fail_count() == 1);
}

TEST_CASE("a waiting keyed job is answered when the last worker of its repeat group drains") {
    KeyedFleet fleet;
    const auto [first_worker, other_worker] = fleet.cell();
    REQUIRE(fleet.handle(15ms, {SimulatedFleet::job(1), SimulatedFleet::job(2), SimulatedFleet::job(3)}) ==
            3);
    EndpointListUpdate update{EndpointListUpdate::Kind::changes,
                              {{.worker = other_worker, .key = other_worker, .cell = other_worker / 2}}};
    update.entries[0].condition = Condition::draining;
    REQUIRE(fleet.handle(20ms, {update}) == 0);
    fleet.handle(30ms, {SimulatedFleet::attempt_lost(0, first_worker)});
    CHECK(fleet.fail_count() == 1);
}

// Guards against checking a waiting job again only after a quarter of the time that it has waited so far,
// whatever happens to it in between.
TEST_CASE("a waiting job is refused at the moment from which its answer would be worthless") {
    SimulatedFleet fleet(1);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 10)}) == 1); // the only worker stays full
    REQUIRE(fleet.handle(20ms, {SimulatedFleet::job(1, 10)}) == 0);
    const Time refused_at = fleet.run_until_answered<Refuse>(20ms, 30s);
    CHECK(refused_at >= 8020ms); // four fifths of the aim of 10 s, which has no stretch here
    CHECK(refused_at <= 8030ms);
}

// Guards against holding a job of such a class until its deadline and then failing it, which gives its client
// no retry delay.
TEST_CASE("where late answers have worth, a job is refused once it cannot finish before its client leaves") {
    SimulatedFleet fleet(1, 2, 0, 0,
                         {.effect = Effect::once, .aim = 2s, .give_up = 60s, .late_worth = 0.5, .kind = 1});
    JobArrived late_job = SimulatedFleet::job(0);
    late_job.job_class = 1; // needs a kind that no worker is of
    late_job.time_left = 10s;
    REQUIRE(fleet.handle(10ms, {late_job}) == 0);
    const Time refused_at = fleet.run_until_answered<Refuse>(10ms, 20s);
    CHECK(refused_at >= 7900ms); // 10 s less the running time of its class, which is estimated as 2 s
    CHECK(refused_at <= 8100ms);
    const auto* refuse = std::get_if<Refuse>(&fleet.actions.front());
    REQUIRE(refuse != nullptr);
    CHECK(refuse->retry_after == 2s);
}

// ---- Implausible claims of clients and workers ----

// A single request with an absurd number of slots must not determine the estimated size of all workers for
// good.
TEST_CASE("a job that claims a million slots and fails does not change the estimated size of any worker") {
    SimulatedFleet fleet(2);
    REQUIRE(fleet.handle(10ms, {SimulatedFleet::job(0, 4)}) == 1);
    REQUIRE(fleet.handle(20ms, {fleet.attempt_served(0, 0, 4)}) == 0);
    fleet.handle(30ms, {SimulatedFleet::job(1, 1e6)});
    for (const WorkerId worker : {0U, 1U}) {
        AttemptEnded failed = SimulatedFleet::attempt_lost(1, worker, Outcome::error, worker);
        failed.report = Report{.utilisation = 0.1, .free_slots = 4};
        fleet.handle(40ms, {failed});
    }
    std::vector<Event> jobs;
    for (JobId id = 2; id < 602; ++id)
        jobs.emplace_back(SimulatedFleet::job(id));
    CHECK(fleet.handle(20s, jobs) <= 2 * 64);
}

// If each such job marked up to four workers as full, a single client could take all of them out of use.
TEST_CASE("a worker that turns away a job wider than itself still has room for others") {
    SimulatedFleet fleet(1);
    for (JobId id = 0; id < 20; ++id) {
        REQUIRE(fleet.handle(10ms + id * 20ms, {SimulatedFleet::job(id)}) == 1);
        fleet.handle(20ms + id * 20ms, {fleet.attempt_served(id, 0.01 * id, 4)});
    }
    REQUIRE(fleet.handle(500ms, {SimulatedFleet::job(30, 40)}) == 0);
    std::size_t sent_count = 0;
    for (Time now = 600ms; now < 6s && sent_count == 0; now += 100ms)
        sent_count = fleet.handle(now, {TimerExpired{}});
    REQUIRE(sent_count == 1); // the number of free slots that it waits for falls over time
    fleet.handle(6100ms, {SimulatedFleet::attempt_lost(30, 0, Outcome::full)});
    CHECK(fleet.handle(6110ms, {SimulatedFleet::job(31)}) == 1);
}

// Kind 0 of a zone that the settings do not name must not share the table entry, and thereby the queue, of
// kind 1 in the first zone.
TEST_CASE("no two pairs of kind and zone share an index in the tables of estimates, whatever the zones") {
    std::set<std::size_t> indexes;
    for (std::size_t kind = 0; kind < 30; ++kind)
        for (std::size_t zone = 0; zone < 30; ++zone)
            CHECK(indexes.insert(load_estimates::group_index(kind, zone)).second);
    CHECK(*indexes.rbegin() < 60 * 60); // bounds the length of the tables
}

// Guards against keeping the entry of a finished job until its deadline, which may be a day away.
TEST_CASE("the agenda stays within twice the live entries plus a constant, and returns entries in order") {
    load_estimates::TimerQueue agenda;
    std::set<std::uint64_t> live_serials;
    const auto is_void = [&](const load_estimates::TimerQueue::Entry& entry) {
        return !live_serials.contains(entry.serial);
    };
    for (std::uint64_t serial = 1; serial <= 20000; ++serial) {
        agenda.add({24h + serial * 1ms, serial, 0});
        live_serials.insert(serial);
        if (serial > 100) live_serials.erase(serial - 100);
        CHECK_FALSE(agenda.pop_due(serial * 1ms, is_void));
        REQUIRE(agenda.size() <= 2 * 100 + 512);
    }
    Time previous{0};
    std::size_t due_count = 0;
    for (; const auto entry = agenda.pop_due(48h, is_void); ++due_count) {
        CHECK(live_serials.contains(entry->serial));
        CHECK(entry->at >= previous);
        previous = entry->at;
    }
    CHECK(due_count == live_serials.size());
    CHECK_FALSE(agenda.next_time());
}

} // namespace willowrill::testing
