// What only many dispatchers show: instances of the real module side by side in virtual time, with workers
// that are slots, queues and late reports, and nothing else. Seeds are fixed.
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
constexpr double slots = 4;
constexpr Index once = 0, keyed = 1; // classes; the second runs on kind 0 alone

Settings settings_for(Index dispatchers, Index self, double handshake_price) {
    Settings out = site_settings(self, dispatchers);
    out.seed = 100 + self;
    out.list_on_request = out.second_copies = false; // the list comes by itself
    out.classes = {{.effect = Effect::once, .aim = 300ms, .aim_stretch = 1.75, .give_up = 5s, .worth = 10},
                   {.effect = Effect::keyed,
                    .repeat_scope = RepeatScope::cell,
                    .repeat_window = 40s,
                    .aim = 2s,
                    .aim_stretch = 1.75,
                    .give_up = 25s,
                    .worth = 30,
                    .kind = 0}};
    out.cross_zone_price = 0.02;
    out.handshake_price = handshake_price;
    return out;
}

class World {
  public:
    struct Worker {
        WorkerEntry entry;
        bool lost = false;
        double errs = 0; // share of its jobs that end in an error, at once
        struct Task {
            Index dispatcher;
            JobId job;
            Index attempt;
            Time sent;
            Duration work;
        };
        std::deque<Task> queue{};
        std::vector<std::pair<Time, Task>> running{};
        std::vector<std::pair<Time, double>> taken{}; // when, how much work
    };
    struct Tally {
        int arrived = 0, served = 0, refused = 0, failed = 0, late = 0;
    };

    World(Index dispatchers, const std::vector<WorkerEntry>& entries, double handshake_price = 0.02) {
        for (Index self = 0; self < dispatchers; ++self)
            nodes_.push_back({Dispatcher(settings_for(dispatchers, self, handshake_price)), {}, {}, {}});
        for (const WorkerEntry& entry : entries)
            workers.push_back({.entry = entry});
        tell(EndpointListUpdate::Kind::complete, entries);
    }

    void tell(EndpointListUpdate::Kind kind, const std::vector<WorkerEntry>& entries) {
        for (Node& node : nodes_)
            node.events.emplace_back(EndpointListUpdate{kind, entries});
    }

    // A new life of the same scheduler: it knows the list, and nothing of what it has sent.
    void restart(Index self, const std::vector<WorkerEntry>& list) {
        Node& node = nodes_[self];
        node.dispatcher = Dispatcher(settings_for(static_cast<Index>(nodes_.size()), self, 0.02));
        node.events = {EndpointListUpdate{EndpointListUpdate::Kind::remembered, list}};
    }

    // Jobs a second of each class over the whole fleet, with running times of 0.2 and 1 s on average.
    void run_until(Time end, double once_per_s, double keyed_per_s) {
        for (; now < end; now += tick) {
            arrive(once, once_per_s);
            arrive(keyed, keyed_per_s);
            for (WorkerId id = 0; id < workers.size(); ++id)
                work(id);
            for (Index self = 0; self < nodes_.size(); ++self)
                decide(self);
        }
    }

    Time now{0};
    std::vector<Worker> workers;
    std::array<Tally, 2> tally{};
    std::map<Index, std::set<WorkerId>> touched{}; // by dispatcher
    std::vector<std::pair<Index, WorkerId>> sends{};
    int unreachable = 0, reused = 0;

  private:
    struct Node {
        Dispatcher dispatcher;
        std::vector<Event> events;
        std::vector<JobArrived> jobs; // by id
        std::vector<Time> arrived;
    };

    double random() { return load_estimates::to_unit_interval(random_()); }

    void arrive(Index of_class, double per_s) {
        for (double due = per_s * load_estimates::seconds(tick); random() < due; due -= 1) {
            Node& node = nodes_[static_cast<std::size_t>(random() * static_cast<double>(nodes_.size()))];
            const JobArrived job{.job = static_cast<JobId>(node.jobs.size()),
                                 .job_class = of_class,
                                 .time_left = of_class == once ? Duration(5s) : Duration(25s)};
            node.jobs.push_back(job);
            node.arrived.push_back(now);
            node.events.emplace_back(job);
            ++tally[of_class].arrived;
        }
    }

    void decide(Index self) {
        Node& node = nodes_[self];
        std::vector<Action> actions;
        node.events.emplace_back(TimerExpired{});
        node.dispatcher.handle(now, std::exchange(node.events, {}), actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) start(self, *send);
            if (const auto* refuse = std::get_if<Refuse>(&action))
                ++tally[node.jobs[refuse->job].job_class].refused;
            if (const auto* fail = std::get_if<Fail>(&action)) ++tally[node.jobs[fail->job].job_class].failed;
        }
    }

    void start(Index self, const Send& send) {
        Worker& w = workers[send.worker];
        const Index of_class = nodes_[self].jobs[send.job].job_class;
        const double mean = of_class == once ? 0.2 : 1;
        const auto work = Duration(static_cast<Duration::rep>(-std::log(1 - random()) * mean * 1e9));
        touched[self].insert(send.worker);
        std::vector<Time>& kept = kept_[{self, send.worker}];
        std::erase_if(kept, [&](Time since) { return now - since > 4s; });
        if (!kept.empty()) kept.pop_back(), ++reused;
        sends.emplace_back(self, send.worker);
        const Index attempt = attempts_[{self, send.job}]++;
        if (w.lost) {
            ++unreachable;
            return end(self, send.job, attempt, send.worker, Outcome::connect_failed, now, {});
        }
        w.taken.emplace_back(now, load_estimates::seconds(work));
        if (random() < w.errs)
            return end(self, send.job, attempt, send.worker, Outcome::error, now, idle_report());
        w.queue.push_back({self, send.job, attempt, now, work});
    }

    static Report idle_report() { return {.utilisation = 0.0, .free_slots = slots}; }

    double speed(const Worker& w) const {
        if (w.entry.up_since <= 0s) return 1;
        const double age = load_estimates::seconds(now - w.entry.up_since) / 9;
        return age >= 1 ? 1 : 0.4 + 0.6 * std::max(0.0, age);
    }

    void work(WorkerId id) {
        Worker& w = workers[id];
        std::erase_if(w.running, [&](const auto& item) {
            if (item.first > now) return false;
            const auto& task = item.second;
            const double busy = static_cast<double>(w.running.size()) / slots;
            end(task.dispatcher, task.job, task.attempt, id, Outcome::served, task.sent,
                Report{.utilisation = std::min(1.0, busy),
                       .free_slots = std::max(0.0, slots - static_cast<double>(w.running.size()))});
            return true;
        });
        while (static_cast<double>(w.running.size()) < slots && !w.queue.empty()) {
            const auto task = w.queue.front();
            w.queue.pop_front();
            w.running.emplace_back(now + std::chrono::duration_cast<Duration>(task.work / speed(w)), task);
        }
    }

    void end(Index self, JobId job, Index attempt, WorkerId worker, Outcome outcome, Time sent,
             std::optional<Report> report) {
        Node& node = nodes_[self];
        const bool served = outcome == Outcome::served;
        if (outcome != Outcome::connect_failed) kept_[{self, worker}].push_back(now);
        if (served) {
            Tally& count = tally[node.jobs[job].job_class];
            ++count.served;
            if (now - node.arrived[job] > (node.jobs[job].job_class == once ? 900ms : 4s)) ++count.late;
        }
        node.events.emplace_back(AttemptEnded{.job = job,
                                              .attempt = attempt,
                                              .worker = worker,
                                              .outcome = outcome,
                                              .latency = now - sent,
                                              .job_over = served,
                                              .report = report});
    }

    std::vector<Node> nodes_;
    std::map<std::pair<Index, JobId>, Index> attempts_;
    std::map<std::pair<Index, WorkerId>, std::vector<Time>> kept_; // idle connections, since when
    std::mt19937_64 random_{5};
};

// Kinds and zones take turns, cells hold four.
std::vector<WorkerEntry> fleet_of(WorkerId count, WorkerId first = 0, Time up_since = 0s) {
    std::vector<WorkerEntry> out;
    for (WorkerId id = first; id < first + count; ++id) {
        out.push_back({.worker = id,
                       .key = load_estimates::mix64(id + 1),
                       .up_since = up_since,
                       .kind = id % 2,
                       .zone = id / 2 % 2,
                       .cell = id / 4});
    }
    return out;
}

double work_in(const World& world, WorkerId first, Time from, Time to) {
    double sum = 0;
    for (WorkerId id = first; id < world.workers.size(); ++id) {
        for (const auto& [at, work] : world.workers[id].taken)
            sum += at >= from && at < to ? work : 0;
    }
    return sum;
}

} // namespace

TEST_CASE("shares laid end to end: a point falls to one of them by its length, and to several beyond all") {
    constexpr int points = 10000;
    std::array<int, 5> fell{};
    int most = 0, least = 5;
    for (int i = 0; i < points; ++i) {
        load_estimates::SystematicSampler shares;
        int here = 0;
        for (std::size_t taker = 0; taker < fell.size(); ++taker) { // due 0.1 of work each, of 1 that comes
            if (!shares.select_next(0.1, 1e9, 1, (i + 0.5) / points)) continue;
            ++fell[taker];
            ++here;
        }
        most = std::max(most, here);
    }
    CHECK(most == 1);
    for (const int one : fell)
        CHECK(one == doctest::Approx(points / 10.0).epsilon(0.01));
    for (int i = 0; i < points; ++i) {
        load_estimates::SystematicSampler shares;
        int here = 0;
        for (int taker = 0; taker < 5; ++taker)
            here += shares.select_next(0.5, 1e9, 1, (i + 0.5) / points) ? 1 : 0;
        least = std::min(least, here);
        most = std::max(most, here);
    }
    CHECK(least == 2); // 2.5 times the whole
    CHECK(most == 3);
    load_estimates::SystematicSampler shares; // closed for half of the time: twice as open else
    CHECK(shares.select_next(0.1, 0.2, 1, 0.19));
}

// With 100 schedulers each had a turn worth a job at a cold worker in 70 windows, and used few of them: 18
// cold workers got one job in 2.5 s while the warm ones queued.
TEST_CASE("cold workers get their share of the work, and no more than they bear") {
    for (const Index n : {1U, 2U, 3U, 48U, 100U}) {
        CAPTURE(n);
        World world(n, fleet_of(12));
        world.run_until(5s, 60, 14);
        const auto cold = fleet_of(12, 12, 5s);
        for (const WorkerEntry& entry : cold)
            world.workers.push_back({.entry = entry});
        world.tell(EndpointListUpdate::Kind::changes, cold);
        world.run_until(14s, 60, 14);
        // They can do 12 * 4 * 0.7 slot-seconds a second on average; 26 are asked for, of 24 workers.
        CHECK(work_in(world, 12, 5s, 14s) > 0.08 * 33 * 9);
        for (Time from = 5s; from < 14s; from += 250ms) {
            const double capacity =
                12 * slots * (0.4 + 0.6 * load_estimates::seconds(from - 5s) / 9); // of all of them
            CHECK(work_in(world, 12, from, from + 1s) < 2.5 * capacity);
        }
    }
}

// Each new life had the whole of its share at once, whatever the one before had sent in the same second.
TEST_CASE("a cold worker is not pushed over by twenty or thirty schedulers, though they are restarted") {
    for (const Index n : {20U, 30U}) {
        CAPTURE(n);
        std::vector<WorkerEntry> list = fleet_of(6);
        World world(n, list);
        world.run_until(5s, 60, 4);
        list.push_back({.worker = 6, .key = load_estimates::mix64(7), .up_since = 5s, .kind = 0, .cell = 1});
        world.workers.push_back({.entry = list.back()});
        world.tell(EndpointListUpdate::Kind::changes, {list.back()});
        for (Time at = 5s; at < 11s; at += 300ms) {
            for (Index self = 0; self < n; ++self)
                world.restart(self, list);
            world.run_until(at + 300ms, 90, 4);
        }
        for (Time from = 5s; from < 10s; from += 50ms) {
            const double capacity = slots * (0.4 + 0.6 * load_estimates::seconds(from - 5s) / 9);
            const double budget = 2.5 * capacity / 0.25; // jobs of mean work
            const auto got = std::ranges::count_if(world.workers[6].taken, [&](const auto& one) {
                return one.first >= from && one.first < from + 1s;
            });
            CAPTURE(from.count());
            CHECK(static_cast<double>(got) <= budget + 2 * std::sqrt(budget) + 2);
        }
    }
}

// In the 0.25 s that each connection took to fail, a job went through four workers of a lost zone, and 249
// jobs were refused in five seconds: lost workers look idle.
TEST_CASE("a job does not try one worker of a lost zone after the other") {
    for (const Index n : {1U, 2U, 3U, 48U, 100U}) {
        CAPTURE(n);
        World world(n, fleet_of(24));
        world.run_until(5s, 60, 10);
        for (World::Worker& w : world.workers)
            w.lost = w.entry.zone == 1;
        const auto before = world.tally;
        const int arrived = before[once].arrived + before[keyed].arrived;
        world.run_until(10s, 60, 10);
        const int jobs = world.tally[once].arrived + world.tally[keyed].arrived - arrived;
        CHECK(world.tally[once].refused - before[once].refused < 0.05 * jobs);
        CHECK(world.unreachable < 0.45 * jobs); // a third of them with 100; 0.57 without the zone's rest
    }
}

// By rank, each of many schedulers had one worker for home, of any kind, another one after each change of the
// list; it tried ever more workers, lost a job at each that erred, and kept no connection.
TEST_CASE(
    "where schedulers outnumber workers, each stays with a few that a change of the list leaves alone") {
    World world(100, fleet_of(40));
    world.run_until(20s, 100, 20);
    const auto mean_touched = [&] {
        double sum = 0;
        for (const auto& [self, workers] : world.touched)
            sum += static_cast<double>(workers.size());
        return sum / static_cast<double>(world.touched.size());
    };
    const double at_first = mean_touched(); // by 24 jobs each
    CHECK(at_first < 11);
    // Workers come and go: the others' homes stay.
    std::vector<WorkerEntry> changes = fleet_of(4, 40);
    for (const WorkerEntry& entry : changes)
        world.workers.push_back({.entry = entry});
    for (WorkerEntry gone : fleet_of(4)) {
        gone.condition = Condition::gone;
        changes.push_back(gone);
    }
    world.tell(EndpointListUpdate::Kind::changes, changes);
    world.run_until(40s, 100, 20);
    CHECK(mean_touched() < at_first + 4);
}

// At workers that err at once, and so look idle, each of many schedulers lost a job every five seconds; jobs
// that are repeated in their cell after an error are spent on finding out instead.
TEST_CASE("a worker that errs costs each scheduler few jobs that cannot be repeated") {
    World world(48, fleet_of(24));
    world.run_until(3s, 100, 24);
    for (WorkerId id = 0; id < 6; ++id)
        world.workers[id].errs = 0.8;
    world.run_until(8s, 100, 24);
    const World::Tally before = world.tally[once];
    world.run_until(23s, 100, 24);
    const World::Tally& after = world.tally[once];
    CHECK(after.failed - before.failed < 0.08 * (after.arrived - before.arrived));
}

// A hundred schedulers opened a connection for nearly each job, as each came to a worker more seldom than
// idle connections last.
TEST_CASE("where connections cost, a scheduler goes where it has one") {
    for (const Index n : {3U, 100U}) {
        CAPTURE(n);
        World dear(n, fleet_of(40)), free(n, fleet_of(40), 0);
        dear.run_until(20s, 100, 20);
        free.run_until(20s, 100, 20);
        CHECK(dear.reused > (n > 40 ? 1.2 : 1.0) * free.reused);
        CHECK(dear.tally[once].late + dear.tally[keyed].late <
              1.1 * (free.tally[once].late + free.tally[keyed].late) + 20);
    }
}

// Discovery may tell nonsense. No job is lost to it, and none goes where the list says that nothing is.
TEST_CASE("odd lists lose no job") {
    for (const Index n : {1U, 2U, 100U}) {
        CAPTURE(n);
        World world(n, fleet_of(12));
        world.run_until(2s, 60, 10);
        std::vector<WorkerEntry> odd = fleet_of(4);
        odd.push_back(odd.front());       // named twice
        odd[1].kind = 0, odd[1].zone = 1; // another kind and zone, the same process
        odd[2].up_since = 3600s;          // started in the future
        odd[3].kind = 7, odd[3].zone = 9; // beyond what the settings name
        for (const WorkerEntry& entry : odd)
            world.workers[entry.worker].entry.kind = entry.kind;
        world.tell(EndpointListUpdate::Kind::changes, odd);
        world.tell(EndpointListUpdate::Kind::remembered, {}); // empty: nobody is left
        world.run_until(2500ms, 60, 10);
        const std::size_t sent = world.sends.size();
        world.run_until(4s, 60, 10);
        CHECK(world.sends.size() == sent); // what was listed before is not used
        world.tell(EndpointListUpdate::Kind::complete, odd);
        world.tell(EndpointListUpdate::Kind::changes, fleet_of(8, 4));
        world.run_until(12s, 60, 10);
        CHECK(world.sends.size() > sent + 300);
        world.run_until(42s, 0, 0); // every deadline passes
        for (const World::Tally& count : world.tally)
            CHECK(count.served + count.refused + count.failed == count.arrived);
    }
}

// A third of the jobs that run anywhere went to the kind that others depend on, and waited behind those.
TEST_CASE("jobs that run anywhere leave room on the kind that others need") {
    for (const Index n : {3U, 48U, 100U}) {
        CAPTURE(n);
        World world(n, fleet_of(24));
        world.run_until(5s, 80, 24);
        world.sends.clear();
        const int keyed_before = world.tally[keyed].arrived;
        world.run_until(25s, 80, 24);
        const auto to_needed =
            std::ranges::count_if(world.sends, [](const auto& s) { return s.second % 2 == 0; });
        const double once_there =
            static_cast<double>(to_needed) - (world.tally[keyed].arrived - keyed_before);
        CHECK(once_there < 0.2 * static_cast<double>(world.sends.size()));
    }
}

} // namespace willowrill::testing
