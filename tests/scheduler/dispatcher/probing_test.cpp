// Load learnt by probing: what the module asks and makes of the answers, and how connections to workers carry
// it.
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

// A deployment whose workers are asked, tell of starts, and keep what keys need; hints are good.
Settings asked_settings(Index self = 0, Index dispatchers = 5) {
    Settings out;
    out.seed = 11 + self;
    out.self = self;
    out.dispatchers = dispatchers;
    out.classes = {{.effect = Effect::keyed,
                    .repeat_scope = RepeatScope::zone,
                    .repeat_window = 10s,
                    .aim = 500ms,
                    .aim_stretch = 2,
                    .give_up = 6s}};
    out.worth_by_work = true;
    out.tick = 2ms;
    out.tells_start = true;
    out.reports_with_probes = out.probes = true;
    out.probe_price = 0.01;
    out.may_cancel = out.second_copies = out.clients_honor_retry_after = true;
    out.max_attempts = 4;
    out.max_retry_after = 2s;
    out.connection_idle = 5s;
    return out;
}

// One module, its clock, and workers that answer each probe 5 ms later with what they have free.
class Fleet {
  public:
    Fleet(const Settings& settings, WorkerId workers) : dispatcher_(settings), free_(workers, 6.0) {
        EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
        for (WorkerId id = 0; id < workers; ++id)
            list.entries.push_back({.worker = id, .key = load_estimates::mix64(id + 1), .zone = id % 5});
        step({list});
    }
    void step(std::vector<Event> events = {}) {
        for (auto at = pending_.begin(); answers && at != pending_.end() && at->first <= now;) {
            const WorkerId id = at->second;
            const bool fails = silent.contains(id);
            const Report report{
                .utilisation = 1 - free_[id] / 6, .free_slots = free_[id], .served_per_s = ++reports_};
            events.emplace_back(Probed{id, fails ? Outcome::timed_out : Outcome::served, 5ms,
                                       fails ? std::nullopt : std::optional(report)});
            at = pending_.erase(at);
        }
        for (const Send& send : tells ? std::exchange(unstarted_, {}) : std::vector<Send>())
            events.insert(events.begin(), AttemptStarted{send.job, 0, send.worker});
        std::vector<Action> actions;
        dispatcher_.handle(now, events, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) {
                sends.push_back(*send);
                unstarted_.push_back(*send);
            }
            if (std::holds_alternative<Cancel>(action)) ++cancels;
            if (std::holds_alternative<Refuse>(action)) refused_at = now;
            if (const auto* probe = std::get_if<Probe>(&action)) {
                ++probes[probe->worker];
                pending_.emplace(now + 5ms, probe->worker);
            }
        }
    }
    void run(Duration span) {
        for (const Time end = now + span; now < end;) {
            now += 2ms;
            step();
        }
    }
    // Gives a job in and says where it went, if it went at once.
    WorkerId give(JobId id, std::optional<std::uint64_t> key = {}, Duration hint = 500ms) {
        const std::size_t before = sends.size();
        step({JobArrived{.job = id, .key = key, .time_left = 6s, .hint = hint}});
        return sends.size() > before ? sends.back().worker : none;
    }
    void served(const Send& send, Duration latency = 500ms) {
        step();
        now += latency;
        step({AttemptEnded{.job = send.job, .worker = send.worker, .latency = latency, .job_over = true}});
    }
    std::size_t all_probes() const {
        std::size_t out = 0;
        for (const auto& [id, count] : probes)
            out += count;
        return out;
    }
    void set_free(double slots) { std::ranges::fill(free_, slots); }

    Time now{1s}, refused_at{0};
    std::vector<Send> sends;
    std::map<WorkerId, std::size_t> probes;
    std::size_t cancels = 0;
    bool tells = true;   // of starts, at once
    bool answers = true; // to probes
    std::set<WorkerId> silent;

  private:
    Dispatcher dispatcher_;
    std::vector<double> free_;
    std::vector<Send> unstarted_;
    double reports_ = 0; // no two alike, as a report that repeats itself is none
    std::multimap<Time, WorkerId> pending_;
};

} // namespace

TEST_CASE("where probes are not allowed, or tell nothing, none is ever sent") {
    for (const bool allowed : {false, true}) {
        Settings settings = asked_settings();
        settings.probes = allowed;
        settings.reports_with_probes = !allowed;
        Fleet fleet(settings, 15);
        for (JobId id = 0; id < 50; ++id) {
            fleet.give(id);
            fleet.run(100ms);
        }
        CHECK(fleet.all_probes() == 0);
        CHECK_FALSE(fleet.sends.empty());
    }
}

TEST_CASE(
    "all dispatchers together ask a worker ten times a second at most, and each a job a time and a half") {
    for (const Index dispatchers : {1U, 5U, 48U, 300U}) {
        CAPTURE(dispatchers);
        Fleet fleet(asked_settings(0, dispatchers), 20);
        for (JobId id = 0; id < 400; ++id) { // twenty a second
            fleet.give(id);
            fleet.run(50ms);
        }
        const double of_each = 20.0 * 10 * 20 / dispatchers, of_jobs = 1.5 * 400;
        CHECK(static_cast<double>(fleet.all_probes()) <= 1.1 * std::min(of_each, of_jobs) + 2);
        CHECK(static_cast<double>(fleet.all_probes()) >= 0.5 * std::min(of_each, of_jobs));
        if (dispatchers <= 5) CHECK(fleet.probes.size() == 20); // none is left alone
    }
}

// X was cleared by answers alone, which carry no report here: a worker once sent to counted as full for good.
TEST_CASE("a fresh report from a probe clears X, and so does the end of a job that was sent since") {
    Settings settings = asked_settings(0, 1);
    SUBCASE("a probe") {
        Fleet fleet(settings, 1);
        fleet.run(1s);
        JobId id = 0;
        while (fleet.give(id++) != none) {
        }
        CHECK(id >= 6);
        const std::size_t full = fleet.sends.size();
        fleet.run(1s); // the worker reports six free again
        CHECK(fleet.sends.size() > full);
    }
    SUBCASE("an end, where probes are too few to tell") {
        settings.probe_price = 1e9;
        Fleet fleet(settings, 1);
        fleet.run(1s);
        JobId id = 0;
        while (fleet.give(id++) != none) {
        }
        const std::size_t full = fleet.sends.size();
        fleet.served(fleet.sends.front(), 100ms);
        CHECK(fleet.sends.size() == full + 1);
    }
}

TEST_CASE("jobs about one key go to the same few workers, at all dispatchers alike, and others elsewhere") {
    std::map<std::uint64_t, std::set<WorkerId>> by_key;
    std::set<WorkerId> all;
    for (Index self = 0; self < 5; ++self) {
        Fleet fleet(asked_settings(self), 15);
        fleet.run(1s);
        for (JobId id = 0; id < 120; ++id) {
            const std::uint64_t key = id % 60;
            if (fleet.give(id, key) == none) continue;
            by_key[key].insert(fleet.sends.back().worker);
            all.insert(fleet.sends.back().worker);
            fleet.served(fleet.sends.back());
            fleet.run(50ms);
        }
    }
    CHECK(all.size() == 15);
    for (const auto& [key, workers] : by_key)
        CHECK(workers.size() <= 2);
}

TEST_CASE("a key that fills several workers has as many holders") {
    Fleet fleet(asked_settings(), 15);
    fleet.run(1s);
    std::set<WorkerId> holders;
    for (JobId id = 0; id < 400; ++id) { // three in ten of all jobs
        if (fleet.give(id, id % 10 < 3 ? 7 : 1000 + id) != none) fleet.served(fleet.sends.back(), 20ms);
    }
    fleet.run(1s);
    for (JobId id = 400; id < 424; ++id) // at one moment
        holders.insert(fleet.give(id, 7));
    CHECK(holders.size() >= 5);
    CHECK(holders.size() <= 10);
}

// The mean of all jobs was taken for each job's time: heavy ones were given up too early, light ones held
// until they were late.
TEST_CASE("a job that is held is given up by its own hint") {
    Duration light{}, heavy{};
    for (const Duration hint : {100ms, 1000ms}) {
        Settings settings = asked_settings(0, 1);
        settings.probe_price = 0;
        Fleet fleet(settings, 2);
        fleet.run(2s);
        fleet.set_free(0);
        fleet.run(2s);
        const Time begun = fleet.now;
        REQUIRE(fleet.give(0, {}, hint) == none);
        fleet.run(4s);
        REQUIRE(fleet.refused_at > begun);
        (hint == 100ms ? light : heavy) = fleet.refused_at - begun;
    }
    CHECK(light <= 600ms); // 500 ms and twice its run, less the run
    CHECK(heavy >= 1400ms);
    CHECK(heavy <= 1500ms);
}

// On real sockets a connection takes several round trips to come up. Attempts were called off before that and
// sent to another worker, where another connection had to be opened.
TEST_CASE("an attempt that opens a connection is given the time that one may take to come up") {
    Settings settings = asked_settings(0, 1);
    settings.connect_timeout = 200ms;
    Fleet fleet(settings, 10); // two in each zone
    fleet.tells = false;
    fleet.run(2s);
    REQUIRE(fleet.give(0) != none);
    fleet.run(200ms); // an eighth of the aim has long passed
    CHECK(fleet.cancels == 0);
    fleet.run(100ms);
    CHECK(fleet.cancels == 1);
}

// A tenth of a run more at a worker that was expected to take too long made the answer late, and worth
// nothing.
TEST_CASE("a job is not sent where it is expected back too late") {
    Fleet fleet(asked_settings(0, 1), 1);
    fleet.run(1s);
    for (JobId id = 0; id < 20; ++id) { // 3.2 times its hint, where 1 s and twice the hint are allowed
        if (fleet.give(id, {}, 500ms) != none) fleet.served(fleet.sends.back(), 1600ms);
        fleet.run(100ms);
    }
    CHECK(fleet.sends.size() < 10);
    const std::size_t before = fleet.sends.size();
    CHECK(fleet.give(100, {}, 100ms) != none); // a light one has more to spare
    CHECK(fleet.sends.size() == before + 1);
}

// A worker that crawls looks free: its few jobs are all it is given. Only what they take tells.
TEST_CASE("a worker that crawls is found by its answers, and tried again after a while") {
    Fleet fleet(asked_settings(0, 1), 2); // in two zones, so that nothing moves
    fleet.run(1s);
    const auto to_crawler = [&](JobId first) {
        int out = 0;
        for (JobId id = first; id < first + 24; ++id) {
            const WorkerId to = fleet.give(id, {}, 200ms);
            if (to == 1) ++out;
            if (to != none) fleet.served(fleet.sends.back(), to == 1 ? 900ms : 200ms);
        }
        return out;
    };
    CHECK(to_crawler(0) <= 4); // of two dozen
    CHECK(to_crawler(24) <= 2);
    fleet.run(40s);
    int again = 0;
    for (JobId id = 100; id < 112; id += 2) { // two at once: the other one's turn comes
        for (const JobId one : {id, id + 1}) {
            if (fleet.give(one, {}, 200ms) == 1) ++again;
        }
        fleet.served(fleet.sends[fleet.sends.size() - 2], 200ms);
        fleet.served(fleet.sends.back(), 200ms);
    }
    CHECK(again >= 3);
}

TEST_CASE("a worker that crawls is found by its progress, and what is out there moves in time") {
    Fleet fleet(asked_settings(0, 1), 10); // two in each zone
    fleet.run(1s);
    const WorkerId slow = fleet.give(0);
    REQUIRE(slow != none);
    fleet.step(); // it starts
    std::vector<Event> notes;
    for (const double done : {0.01, -0.5, 1e9, 0.01, 0.01, std::nan(""), 0.02}) // some of them cannot be
        notes.emplace_back(AttemptProgress{0, 0, slow, done});
    fleet.now += 200ms;
    fleet.step(notes);
    CHECK(fleet.cancels == 0); // its run is not overdue yet
    fleet.run(700ms);
    CHECK(fleet.cancels == 1);
    REQUIRE(fleet.sends.size() == 2);
    CHECK(fleet.sends[1].worker != slow);
    CHECK(fleet.sends[1].worker % 5 == slow % 5); // its zone drops repeats
    for (JobId id = 1; id < 12; ++id)
        CHECK(fleet.give(id) != slow);
}

TEST_CASE("progress that cannot be says nothing") {
    for (const double done : {0.0, -1.0, 1.5, 1e300, std::nan("")}) {
        Fleet fleet(asked_settings(0, 1), 10);
        fleet.run(1s);
        const WorkerId to = fleet.give(0);
        fleet.step();
        fleet.now += 300ms;
        fleet.step(std::vector<Event>(5, AttemptProgress{0, 0, to, done}));
        fleet.run(700ms); // at twice its time it would move, were the worker known to crawl
        CHECK(fleet.cancels == 0);
    }
}

TEST_CASE("without a budget for probes none is sent, and jobs are served by what their ends tell") {
    Settings settings = asked_settings();
    settings.probe_price = 1e300;
    Fleet fleet(settings, 15);
    for (JobId id = 0; id < 50; ++id) {
        if (fleet.give(id) != none) fleet.served(fleet.sends.back());
    }
    CHECK(fleet.all_probes() <= 1); // the first beat
    CHECK(fleet.sends.size() == 50);
}

// Held jobs go at the moment of a report. Their ends were taken off L, where they were not, and X kept them
// until the next one: a worker with nothing of ours counted as full.
TEST_CASE(
    "what was sent at the moment of a report is taken off X at its end, and what was sent before off L") {
    load_estimates::Worker worker;
    worker.record_send(1, 0.25);
    const load_estimates::Attempt before{.worker = 0, .sent = 1s, .load_increment = 0.25};
    worker.record_report(0.5, 2s);
    worker.record_send(1, 0.25);
    const load_estimates::Attempt with{.worker = 0, .sent = 2s, .load_increment = 0.25};
    worker.record_end(1);
    worker.record_end_without_report(with, 1, 0.25);
    CHECK(worker.sent_slots == 0);
    CHECK(worker.degradation == 0);
    CHECK(worker.load == doctest::Approx(0.5));
    worker.record_end(1);
    worker.record_end_without_report(before, 1, 0.25);
    CHECK(worker.load == doctest::Approx(0.25));
    CHECK(worker.outstanding_slots == 0);
}

// It was asked again while the first question was out, and one connection bore both.
TEST_CASE("a worker whose process starts anew is not asked twice at once") {
    Fleet fleet(asked_settings(0, 1), 1);
    fleet.answers = false;
    fleet.run(1s);
    REQUIRE(fleet.all_probes() == 1);
    fleet.step(
        {EndpointListUpdate{EndpointListUpdate::Kind::changes, {{.worker = 0, .key = 7, .up_since = 2s}}}});
    fleet.run(1s);
    CHECK(fleet.all_probes() == 1);
}

TEST_CASE("a worker that does not answer its probes is avoided before a job has paid for it") {
    Fleet fleet(asked_settings(0, 1), 4);
    fleet.silent = {2};
    fleet.run(6s);
    for (JobId id = 0; id < 12; ++id)
        CHECK(fleet.give(id) != 2);
}

} // namespace willowrill::testing
