// Beliefs of the module that had gone wrong on rough days, each held against what a fleet can show it.
#include <willowrill/dispatcher.h>

#include <doctest/doctest.h>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

struct Fleet {
    explicit Fleet(WorkerId count, Index kinds = 1, double stretch = 0, double crossing = 0) {
        Settings settings;
        settings.seed = 3;
        settings.kinds = kinds;
        settings.classes = {
            {.effect = Effect::once, .aim = 10s, .aim_stretch = stretch, .give_up = 60s, .kind = 0}};
        settings.tick = 5ms;
        settings.max_attempts = 4;
        settings.zones = 2;
        settings.cross_zone_price = crossing;
        settings.takes_advice = true;
        settings.max_stay_away = 2s;
        settings.list_valid = 10s;
        dispatcher.emplace(settings);
        ListNews list{ListNews::Kind::complete, {}};
        for (WorkerId id = 0; id < count; ++id)
            list.entries.push_back({.worker = id, .key = id, .zone = crossing > 0 ? 1U : 0U});
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
    static JobArrived job(JobId id, double slots = 1) { return {.job = id, .left = 60s, .slots = slots}; }
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
    odd.left = 24h;
    REQUIRE(fleet.at(10ms, {odd}) == 1);
    CHECK(fleet.at(20ms, {Fleet::job(1)}) == 1);
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
        sent += fleet.at(now, {Woken{}});
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
    fleet.at(2s, {Woken{}});
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
    ListNews news{ListNews::Kind::changes, {{.worker = 2}, {.worker = 3}}};
    news.entries[0].condition = Condition::draining;
    news.entries[1].condition = Condition::gone;
    REQUIRE(fleet.at(10ms, {news, Fleet::job(0)}) == 1);
    CHECK(fleet.dispatcher->excluded(10ms) == 1);
    REQUIRE(fleet.at(20ms, {AttemptEnded{.job = 0, .worker = fleet.to, .outcome = Outcome::full}}) == 1);
    CHECK(fleet.dispatcher->excluded(20ms) == 2);
    CHECK(fleet.dispatcher->excluded(2s) == 1);
}

} // namespace willowrill::testing
