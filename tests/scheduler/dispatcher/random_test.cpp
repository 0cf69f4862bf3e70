// Drives one dispatcher with seeded random events and checks its actions against the rules. `Ledger` keeps
// track of the jobs and reports violations.
#include "support/dispatcher_bench.h"
#include "support/rule_checker.h"

#include <algorithm>
#include <map>
#include <random>

namespace willowrill::testing {
namespace {

// Generates events, passes them to the dispatcher and feeds the actions back.
class Driver {
  public:
    // The ledger checks one dispatcher and assumes at most seven slots per worker.
    Driver(const Settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed), ledger_(settings, 1, 7) {}

    void run(Dispatcher& dispatcher) {
        std::vector<Event> events{make_list_update(true)};
        for (now_ = 100s; now_ < 130s; now_ += settings_.tick) {
            if (now_ < 120s) add_arrivals(events);
            add_outcomes(events);
            if (with_probability(0.01)) events.emplace_back(make_list_update(with_probability(0.3)));
            if (settings_.list_on_request && with_probability(0.003)) {
                ledger_.on_list_update(0, now_, {EndpointListUpdate::Kind::broken, {}});
                events.emplace_back(EndpointListUpdate{EndpointListUpdate::Kind::broken, {}});
            }
            if (wake_at_ && *wake_at_ <= now_) {
                events.emplace_back(TimerExpired{});
                wake_at_.reset();
            }
            if (events.empty()) continue;
            std::vector<Action> actions;
            dispatcher.handle(now_, events, actions);
            events.clear();
            for (const Action& action : actions)
                apply(action);
            ledger_.check(0, now_);
            ASSERT_TRUE(ledger_.violations.empty()) << ledger_.violations.front();
            std::erase_if(jobs_, [&](const auto& item) {
                return !ledger_.is_open(0, item.first) &&
                       std::ranges::count(item.second.attempts, none) == std::ssize(item.second.attempts);
            });
        }
        EXPECT_GT(ledger_.send_count, 50);
    }

  private:
    struct Job {
        Index job_class = 0;
        double slots = 1;
        std::vector<WorkerId> attempts{}; // worker of each attempt; `none` once it has ended
    };

    bool with_probability(double probability) {
        return static_cast<double>(random_() >> 11U) * 0x1.0p-53 < probability;
    }
    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

    EndpointListUpdate make_list_update(bool complete) {
        EndpointListUpdate update{
            complete ? EndpointListUpdate::Kind::complete : EndpointListUpdate::Kind::changes, {}};
        for (WorkerId id = 0; id < 12; ++id) {
            if (!complete && !with_probability(0.2)) continue;
            WorkerEntry entry =
                worker(id, static_cast<Condition>(with_probability(0.7) ? 0 : 1 + random_below(2)));
            if (complete && entry.condition == Condition::gone) entry.condition = Condition::draining;
            if (with_probability(0.2))
                up_since_[id] = now_ > 0s ? now_ - Duration(random_below(10'000'000'000)) : 0s;
            entry.up_since = up_since_[id];
            entry.zone = id % 3;
            update.entries.push_back(entry);
        }
        ledger_.on_list_update(0, now_, update);
        return update;
    }

    void add_arrivals(std::vector<Event>& events) {
        while (with_probability(0.6)) {
            JobId id = 0;
            while (jobs_.contains(id))
                ++id;
            JobArrived arrival = job(id, static_cast<Index>(random_below(settings_.classes.size())),
                                     1.0 + static_cast<double>(random_below(3)));
            arrival.time_left = Duration(static_cast<std::int64_t>(1 + random_below(4'000'000'000)));
            jobs_[id] = {.job_class = arrival.job_class, .slots = arrival.slots};
            ledger_.on_job_arrived(0, id, arrival.job_class, now_ + arrival.time_left);
            events.emplace_back(arrival);
        }
    }

    void add_outcomes(std::vector<Event>& events) {
        for (auto& [id, job] : jobs_) {
            if (ledger_.is_open(0, id) && with_probability(0.001)) {
                ledger_.on_job_left(0, id);
                events.emplace_back(JobAbandoned{id});
            }
            for (Index i = 0; i < job.attempts.size(); ++i) {
                if (job.attempts[i] == none) continue;
                if (with_probability(0.03)) events.emplace_back(AttemptStarted{id, i, job.attempts[i]});
                if (!with_probability(0.02)) continue;
                const auto outcome = static_cast<Outcome>(random_below(8));
                AttemptEnded event = attempt_ended(id, i, std::exchange(job.attempts[i], none), outcome);
                ledger_.on_attempt_ended(0, id, i, outcome);
                event.job_over = !ledger_.is_open(0, id) || outcome == Outcome::served;
                if (with_probability(0.8))
                    event.report = report(static_cast<double>(random_below(100)) / 100,
                                          static_cast<double>(random_below(6)));
                if (event.job_over) ledger_.on_job_left(0, id);
                events.emplace_back(event);
            }
        }
    }

    void apply(const Action& action) {
        if (const auto* wake = std::get_if<Wake>(&action)) {
            ASSERT_GT(wake->at, now_);
            wake_at_ = wake_at_ ? std::min(*wake_at_, wake->at) : wake->at;
        } else if (const auto* send = std::get_if<Send>(&action)) {
            ASSERT_TRUE(jobs_.contains(send->job));
            Job& job = jobs_[send->job];
            ledger_.on_sent(0, send->job, send->worker, now_, job.slots * 0.1); // every job runs for 0.1 s
            job.attempts.push_back(send->worker);
        } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
            ledger_.on_refused(0, refuse->job, now_, refuse->retry_after);
        } else if (const auto* fail = std::get_if<Fail>(&action)) {
            ledger_.on_failed(0, fail->job, now_);
        } else if (std::holds_alternative<WatchList>(action)) {
            ledger_.on_list_requested(0);
        }
    }

    const Settings& settings_;
    std::mt19937_64 random_;
    Time now_{0};
    std::optional<Time> wake_at_;
    RuleChecker ledger_;
    std::map<JobId, Job> jobs_;
    std::map<WorkerId, Time> up_since_;
};

class RandomEvents : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomEvents, KeepTheRules) {
    const std::uint64_t seed = GetParam();
    Settings s = settings();
    s.seed = seed;
    s.zones = 3;
    s.dispatchers = seed % 3 == 0 ? 1 : 40;
    s.second_copies = seed % 2 == 0;
    s.tells_start = seed % 4 < 2;
    s.progress_period = seed % 5 == 0 ? 1s : 0s;
    s.list_on_request = seed % 2 == 1;
    s.classes[1].repeat_window = 300ms;
    s.classes.push_back(s.classes[1]);
    s.classes.back().repeat_scope = RepeatScope::zone;
    s.classes.push_back(s.classes[1]);
    s.classes.back().repeat_scope = RepeatScope::all;
    s.classes[0].late_worth = seed % 3 == 1 ? 0.5 : 0;
    Dispatcher dispatcher(s);
    Driver(s, seed * 977 + 1).run(dispatcher);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<std::uint64_t>(0, 24));

} // namespace
} // namespace willowrill::testing
