// Beliefs of the module that had gone wrong on rough days, each held against what a fleet can show it.
#include "scheduler/load_estimates/learn.h"

#include <willowrill/dispatcher.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

struct Fleet {
    explicit Fleet(WorkerId count, Index kinds = 1, double stretch = 0, double crossing = 0,
                   const JobClass& more = {}) {
        Settings settings;
        settings.seed = 3;
        settings.kinds = kinds;
        settings.classes = {
            {.effect = Effect::once, .aim = 10s, .aim_stretch = stretch, .give_up = 60s, .kind = 0}, more};
        settings.tick = 5ms;
        settings.max_attempts = 4;
        settings.zones = 2;
        settings.cross_zone_price = crossing;
        settings.clients_honor_retry_after = true;
        settings.max_retry_after = 2s;
        settings.list_valid = 10s;
        begin(settings, count, crossing > 0 ? 1 : 0);
    }
    Fleet(const Settings& settings, WorkerId count) { begin(settings, count, 0); }
    void begin(const Settings& settings, WorkerId count, Index zone) {
        dispatcher.emplace(settings);
        EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
        for (WorkerId id = 0; id < count; ++id)
            list.entries.push_back({.worker = id, .key = id, .zone = zone, .cell = id / 2});
        at(0s, {list});
    }
    // How many attempts go out; `to` is the last one's worker.
    std::size_t at(Time now, std::vector<Event> events) {
        actions.clear();
        dispatcher->handle(now, events, actions);
        std::size_t sent = 0;
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) ++sent, to = send->worker;
        }
        return sent;
    }
    // Lets the module wake by its own wishes alone until it has answered, and says when that was.
    template <class Answer> Time answered(Time now, Time until) {
        std::optional<Time> wake;
        while (now < until) {
            for (const Action& action : actions) {
                if (std::holds_alternative<Answer>(action)) return now;
                if (const auto* one = std::get_if<Wake>(&action))
                    wake = wake ? std::min(*wake, one->at) : one->at;
            }
            if (!wake) break;
            now = *wake;
            wake.reset();
            at(now, {TimerExpired{}});
        }
        return Time(-1);
    }
    static AttemptEnded lost(JobId id, WorkerId worker, Outcome outcome = Outcome::reset, Index attempt = 0) {
        return {.job = id, .attempt = attempt, .worker = worker, .outcome = outcome};
    }
    static JobArrived job(JobId id, double slots = 1) {
        return {.job = id, .time_left = 60s, .slots = slots};
    }
    AttemptEnded served(JobId id, double utilisation, double free_slots) const {
        return {.job = id,
                .worker = to,
                .latency = 100ms,
                .job_over = true,
                .report = Report{.utilisation = utilisation, .free_slots = free_slots}};
    }
    std::optional<Dispatcher> dispatcher;
    std::vector<Action> actions;
    WorkerId to = none;
};

} // namespace

// The first reports came from a busy fleet: every worker not heard of was believed as full, nothing was sent,
// so no report came, and a class went unserved for the whole day.
TEST_CASE("busy first reports do not make the unknown workers full for good") {
    Fleet fleet(4);
    REQUIRE(fleet.at(10ms, {Fleet::job(0)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0.98, 1)}) == 0);
    std::size_t sent = 0;
    for (JobId id = 1; id <= 4; ++id)
        sent += fleet.at(20ms + id * 5ms, {Fleet::job(id)});
    CHECK(sent >= 3);
}

TEST_CASE("a worker that has served a job of four slots is not believed to have one") {
    Fleet fleet(1);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0.2, 1)}) == 0);
    REQUIRE(fleet.at(30ms, {Fleet::job(1, 2)}) == 1);
    CHECK(fleet.at(40ms, {Fleet::job(2, 1)}) == 1); // 2 and 1 fit in 4
}

TEST_CASE("one client that would wait for a day does not make all others look late") {
    Fleet fleet(1);
    JobArrived odd = Fleet::job(0);
    odd.time_left = 24h;
    REQUIRE(fleet.at(10ms, {odd}) == 1);
    CHECK(fleet.at(20ms, {Fleet::job(1)}) == 1);
}

// Clients in haste give their first tries less time than others do, and were taken for ones that come again,
// late for good: on a day with many of them half of all refusals went to first tries beside idle workers.
TEST_CASE(
    "a first try with little time is sent where later ones are marked, and a marked one is known as late") {
    Settings settings;
    settings.classes = {{.aim = 1s, .give_up = 60s}};
    settings.tick = 5ms;
    for (const bool marks : {true, false}) {
        CAPTURE(marks);
        settings.marks_retry = marks;
        Fleet fleet(settings, 2);
        REQUIRE(fleet.at(10ms, {Fleet::job(0)}) == 1); // shows how long clients of this class wait
        JobArrived hasty = Fleet::job(1), again = Fleet::job(2);
        hasty.time_left = again.time_left = 2s;
        again.is_retry = true;
        CHECK(fleet.at(20ms, {hasty}) == (marks ? 1 : 0));
        CHECK(fleet.at(30ms, {again}) == 0);
    }
}

// Four slots were hardly ever free at once, and such jobs were held until it was too late, in plain days too.
TEST_CASE("a job of many slots does not wait for good for all of them to be free at once") {
    Fleet fleet(1);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0, 5)}) == 0);
    REQUIRE(fleet.at(30ms, {Fleet::job(1), Fleet::job(2)}) == 2);
    REQUIRE(fleet.at(40ms, {Fleet::job(3, 4)}) == 0); // three are free
    std::size_t sent = 0;
    for (Time now = 100ms; now < 3s; now += 100ms)
        sent += fleet.at(now, {TimerExpired{}});
    CHECK(sent == 1);
}

// A job that had been held, once sent, was taken for one that waits at its worker, as nothing is told of a
// start at this site: the worker counted as full, and busy fleets were given one job a worker.
TEST_CASE("where workers do not tell of starts, a job that was held does not make its worker full") {
    Fleet fleet(1);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0, 5)}) == 0);
    REQUIRE(fleet.at(30ms, {Fleet::job(1, 4)}) == 1);
    REQUIRE(fleet.at(40ms, {Fleet::job(2, 2)}) == 0); // held
    REQUIRE(fleet.at(50ms, {fleet.served(1, 0, 5)}) == 1);
    fleet.at(2s, {TimerExpired{}});
    CHECK(fleet.at(2010ms, {Fleet::job(3)}) == 1);
}

// After each start the first reports, from busy workers, showed one free slot, and small jobs were refused.
TEST_CASE("until a kind has reported often, it is taken to run the widest job that has come") {
    Fleet fleet(2);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {Fleet::job(1)}) == 1);
    REQUIRE(fleet.at(30ms, {fleet.served(1, 0.3, 1)}) == 0);
    CHECK(fleet.at(40ms, {Fleet::job(2), Fleet::job(3)}) == 2);
}

// X, with the tier's factor in it, was taken for slots in use: far workers were given one job for each
// report.
TEST_CASE("a worker in another zone has as much room as a near one") {
    Fleet fleet(1, 1, 0, 0.02);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0, 4)}) == 0);
    CHECK(fleet.at(30ms, {Fleet::job(1), Fleet::job(2), Fleet::job(3)}) == 3);
    CHECK(fleet.at(40ms, {Fleet::job(4, 4)}) == 0);
}

// A worker whose reports had stopped went on telling that it was idle, and each repeat cleared its X.
TEST_CASE("a report that is repeated for long is no fresh one") {
    Fleet fleet(2);
    std::size_t to_other = 0;
    WorkerId stale = none;
    for (JobId id = 0; id < 20; ++id) {
        REQUIRE(fleet.at(id * 1s + 10ms, {Fleet::job(id)}) == 1);
        if (stale == none) stale = fleet.to;
        if (id >= 10 && fleet.to != stale) ++to_other;
        fleet.at(id * 1s + 110ms,
                 {fleet.to == stale ? fleet.served(id, 0, 5) : fleet.served(id, 0.2, 4 + id * 0.001)});
    }
    CHECK(to_other > 0);
}

TEST_CASE("workers that drain, rest or were full are told as excluded, those gone from the list are not") {
    Fleet fleet(4);
    CHECK(fleet.dispatcher->excluded(0s) == 0);
    EndpointListUpdate news{EndpointListUpdate::Kind::changes, {{.worker = 2}, {.worker = 3}}};
    news.entries[0].condition = Condition::draining;
    news.entries[1].condition = Condition::gone;
    REQUIRE(fleet.at(10ms, {news, Fleet::job(0)}) == 1);
    CHECK(fleet.dispatcher->excluded(10ms) == 1);
    REQUIRE(fleet.at(20ms, {AttemptEnded{.job = 0, .worker = fleet.to, .outcome = Outcome::full}}) == 1);
    CHECK(fleet.dispatcher->excluded(20ms) == 2);
    CHECK(fleet.dispatcher->excluded(2s) == 1);
}

// ---- Given up means answered, at that moment ----

constexpr JobClass by_cell{.effect = Effect::keyed,
                           .repeat_scope = RepeatScope::cell,
                           .repeat_window = 20s,
                           .aim = 10s,
                           .give_up = 60s};

// Two cells of two workers, and a keyed job out at one of them.
struct KeyedFleet : Fleet {
    KeyedFleet() : Fleet(4, 1, 0, 0, by_cell) {
        JobArrived keyed = job(0);
        keyed.job_class = 1;
        REQUIRE(at(10ms, {keyed}) == 1);
        first = to;
    }
    std::pair<WorkerId, WorkerId> cell() const { return {first, first ^ 1U}; }
    std::ptrdiff_t failed() const {
        return std::ranges::count_if(actions,
                                     [](const Action& a) { return std::holds_alternative<Fail>(a); });
    }
    WorkerId first = none;
};

// It waited for its turn to be looked at while nobody was left who drops its repeat.
TEST_CASE("a keyed job whose group is gone is answered at once") {
    KeyedFleet fleet;
    const auto [first, other] = fleet.cell();
    REQUIRE(fleet.at(20ms, {Fleet::lost(0, first)}) == 1); // the other of its cell
    REQUIRE(fleet.to == other);
    REQUIRE(fleet.at(30ms, {Fleet::lost(0, other, Outcome::full, 1)}) == 0);
    CHECK(fleet.failed() == 1);
}

TEST_CASE("a keyed job that waits is answered when the last of its group drains") {
    KeyedFleet fleet;
    const auto [first, other] = fleet.cell();
    REQUIRE(fleet.at(15ms, {Fleet::job(1), Fleet::job(2), Fleet::job(3)}) == 3);
    EndpointListUpdate news{EndpointListUpdate::Kind::changes,
                            {{.worker = other, .key = other, .cell = other / 2}}};
    news.entries[0].condition = Condition::draining;
    REQUIRE(fleet.at(20ms, {news}) == 0);
    fleet.at(30ms, {Fleet::lost(0, first)});
    CHECK(fleet.failed() == 1);
}

// It was looked at again after a quarter of the time that it had waited, whatever became of it meanwhile.
TEST_CASE("a job that waits is refused at the moment from which it is of no use") {
    Fleet fleet(1);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 10)}) == 1); // the one worker is full for good
    REQUIRE(fleet.at(20ms, {Fleet::job(1, 10)}) == 0);
    const Time then = fleet.answered<Refuse>(20ms, 30s);
    CHECK(then >= 8020ms); // four fifths of its aim, without stretch
    CHECK(then <= 8030ms);
}

// Such a class was held to its deadline and then failed, without a word on when to come back.
TEST_CASE(
    "where a late answer has its worth, a job is refused once it cannot be done before its client leaves") {
    Fleet fleet(1, 2, 0, 0,
                {.effect = Effect::once, .aim = 2s, .give_up = 60s, .late_worth = 0.5, .kind = 1});
    JobArrived late = Fleet::job(0);
    late.job_class = 1; // of a kind that nobody is of
    late.time_left = 10s;
    REQUIRE(fleet.at(10ms, {late}) == 0);
    const Time then = fleet.answered<Refuse>(10ms, 20s);
    CHECK(then >= 7900ms); // its class runs for 2 s, as far as is known
    CHECK(then <= 8100ms);
    const auto* refuse = std::get_if<Refuse>(&fleet.actions.front());
    REQUIRE(refuse != nullptr);
    CHECK(refuse->retry_after == 2s);
}

// ---- What clients and workers may claim ----

// One request with an absurd number of slots decided, for good, what all workers were taken for.
TEST_CASE("a job that claims a million slots and fails changes nobody's size") {
    Fleet fleet(2);
    REQUIRE(fleet.at(10ms, {Fleet::job(0, 4)}) == 1);
    REQUIRE(fleet.at(20ms, {fleet.served(0, 0, 4)}) == 0);
    fleet.at(30ms, {Fleet::job(1, 1e6)});
    for (const WorkerId worker : {0U, 1U}) {
        AttemptEnded failed = Fleet::lost(1, worker, Outcome::error, worker);
        failed.report = Report{.utilisation = 0.1, .free_slots = 4};
        fleet.at(40ms, {failed});
    }
    std::vector<Event> jobs;
    for (JobId id = 2; id < 602; ++id)
        jobs.emplace_back(Fleet::job(id));
    CHECK(fleet.at(20s, jobs) <= 2 * 64);
}

// Each such job put up to four workers aside as full, and a client could do so with all of them.
TEST_CASE("a worker that turns away a job wider than itself has room for others") {
    Fleet fleet(1);
    for (JobId id = 0; id < 20; ++id) {
        REQUIRE(fleet.at(10ms + id * 20ms, {Fleet::job(id)}) == 1);
        fleet.at(20ms + id * 20ms, {fleet.served(id, 0.01 * id, 4)});
    }
    REQUIRE(fleet.at(500ms, {Fleet::job(30, 40)}) == 0);
    std::size_t sent = 0;
    for (Time now = 600ms; now < 6s && sent == 0; now += 100ms)
        sent = fleet.at(now, {TimerExpired{}});
    REQUIRE(sent == 1); // with ever fewer slots free
    fleet.at(6100ms, {Fleet::lost(30, 0, Outcome::full)});
    CHECK(fleet.at(6110ms, {Fleet::job(31)}) == 1);
}

// Kind 0 of a zone that no setting names had the place of kind 1 in the first zone, and its queue.
TEST_CASE("no two pairs of kind and zone share what is learnt, whatever zones come") {
    std::set<std::size_t> places;
    for (std::size_t kind = 0; kind < 30; ++kind)
        for (std::size_t zone = 0; zone < 30; ++zone)
            CHECK(places.insert(load_estimates::group_index(kind, zone)).second);
    CHECK(*places.rbegin() < 60 * 60); // tables are as long as that
}

// Each job that a client would have waited a day for kept its entry for a day.
TEST_CASE("what is to be looked at is no more than twice what lives, and comes in order") {
    load_estimates::TimerQueue agenda;
    std::set<std::uint64_t> alive;
    const auto is_void = [&](const load_estimates::TimerQueue::Entry& entry) {
        return !alive.contains(entry.serial);
    };
    for (std::uint64_t serial = 1; serial <= 20000; ++serial) {
        agenda.add({24h + serial * 1ms, serial, 0});
        alive.insert(serial);
        if (serial > 100) alive.erase(serial - 100);
        CHECK_FALSE(agenda.pop_due(serial * 1ms, is_void));
        REQUIRE(agenda.size() <= 2 * 100 + 512);
    }
    Time last{0};
    std::size_t seen = 0;
    for (; const auto entry = agenda.pop_due(48h, is_void); ++seen) {
        CHECK(alive.contains(entry->serial));
        CHECK(entry->at >= last);
        last = entry->at;
    }
    CHECK(seen == alive.size());
    CHECK_FALSE(agenda.next_time());
}

} // namespace willowrill::testing
