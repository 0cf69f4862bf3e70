// Property tests of the platform's rules for the dispatcher and its host under arbitrary behaviour of
// clients, workers, discovery and the clock. 1, 3 and 100 schedulers share the same workers, and a rule
// checker that is independent of the dispatcher module checks all of them.
#include "scheduler/core/host.h"
#include "support/check_property.h"
#include "support/rule_checker.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <ostream>

namespace willowrill::testing {

// A random step of a simulation. `kind` selects one of the steps that `showValue` names; `a`, `b` and `c` are
// its parameters, each from 0 to 99.
struct Step {
    unsigned kind = 0, a = 0, b = 0, c = 0;
};

// Prints a step of a failing case.
// NOLINTNEXTLINE(readability-identifier-naming): rapidcheck looks this function up by name
void showValue(const Step& step, std::ostream& stream) {
    constexpr std::array<const char*, 10> names{"arrive", "outcome", "pass",  "list",   "leave",
                                                "break",  "start",   "limit", "finish", "note"};
    stream << names.at(step.kind) << "(" << step.a << "," << step.b << "," << step.c << ")";
}

namespace {

using namespace std::chrono_literals;
using core::Host;

constexpr WorkerId initial_worker_count = 12, max_worker_count = 24;
constexpr double worker_slots = 4, job_duration_s = 0.1;

// Settings with six job classes. Each bit of `variant` switches a feature of the site.
Settings settings_for(Index self, Index dispatchers, unsigned variant) {
    Settings result = site_settings(self, dispatchers);
    result.seed = 1000 * variant + self;
    for (const auto& [effect, scope] :
         {std::pair{Effect::repeatable, RepeatScope::all}, std::pair{Effect::keyed, RepeatScope::cell},
          std::pair{Effect::keyed, RepeatScope::zone}, std::pair{Effect::keyed, RepeatScope::all},
          std::pair{Effect::once, RepeatScope::all}, std::pair{Effect::once, RepeatScope::all}}) {
        result.classes.push_back({.effect = effect,
                                  .repeat_scope = scope,
                                  .repeat_window = 700ms,
                                  .aim = 300ms,
                                  .aim_stretch = 1.75,
                                  .give_up = 3s});
    }
    result.classes[1].kind = 0;
    result.classes[5].late_worth = 0.5;
    result.may_cancel = (variant & 1U) != 0;
    result.second_copies = (variant & 2U) != 0;
    result.tells_start = (variant & 4U) != 0;
    result.cross_zone_price = result.handshake_price = (variant & 8U) != 0 ? 0.02 : 0;
    result.reports_with_answers = (variant & 16U) == 0; // with both bits, load is never reported
    result.probes = result.reports_with_probes = (variant & 32U) == 0 && !result.reports_with_answers;
    result.probe_price = (variant & 1U) != 0 ? 0.01 : 0;
    result.progress_period = result.tells_start ? 100ms : 0ms;
    return result;
}

// Simulates schedulers, their clients, workers and discovery in virtual time. Reports all events and actions
// to the rule checker.
class Simulation {
  public:
    Simulation(Index dispatchers, unsigned variant)
        : rule_checker(settings_for(0, dispatchers, variant), dispatchers, worker_slots) {
        for (WorkerId id = 0; id < initial_worker_count; ++id)
            workers_.push_back(make_entry(id));
        for (Index self = 0; self < dispatchers; ++self)
            schedulers_.emplace_back(*this, settings_for(self, dispatchers, variant));
        for (Scheduler& scheduler : schedulers_)
            send_update(scheduler, {EndpointListUpdate::Kind::complete, workers_});
        advance(50ms);
    }

    // Carries out one random step.
    // NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
    void apply(const Step& step) {
        Scheduler& scheduler = schedulers_[step.a % schedulers_.size()];
        switch (step.kind) {
        case 0:
            for (unsigned i = 0; i <= step.a / 25; ++i)
                submit(scheduler, step.b + i, step.c);
            return;
        case 1: // ends one or several attempts, or repeatedly all of them with `full`
            for (unsigned round = 0; step.b > 94 && round < 6; ++round) {
                while (!attempts_.empty())
                    end_attempt(attempts_.begin()->first, Outcome::full, step.c);
                advance(6ms);
            }
            for (unsigned i = 0; i <= step.c / 20 && !attempts_.empty(); ++i)
                end_attempt(pick(attempts_, step.a + i)->first, outcome_of(step.b), step.c);
            return;
        case 2:
            return advance(std::chrono::milliseconds(1 + step.a * step.a / 40)); // up to 250 ms
        case 3:
            return change_worker(step.a, step.b, step.c);
        case 4:
            if (TestClient* client = pick_open_client(step.a)) abandon(*client);
            return;
        case 5: // the watch breaks; no updates follow until the list is requested again
            if (std::exchange(scheduler.is_watching, false))
                send_update(scheduler, {EndpointListUpdate::Kind::broken, {}});
            return;
        case 6:
        case 9:
            if (attempts_.empty()) return;
            if (const auto& [key, attempt] = *pick(attempts_, step.a); step.kind == 6)
                attempt.scheduler->host.attempt_started(key.job, key.attempt);
            else // also decreasing progress, and progress beyond the whole job
                attempt.scheduler->host.attempt_progress(key.job, key.attempt, step.b / 50.0 - 0.3);
            return;
        case 7: // a reload sets a new limit, perhaps below the current use
            return scheduler.host.set_max_bytes(step.b % 3 == 0 ? 0 : 1U << 20U);
        default: // a shutdown that does not wait for the open messages
            for (TestClient& client : clients_) {
                if (client.scheduler == &scheduler && client.open)
                    scheduler.host.abort_for_shutdown(client.job);
            }
        }
    }

    // The description of the first broken rule, or an empty string.
    std::string first_violation() const {
        return rule_checker.violations.empty() ? "" : rule_checker.violations.front();
    }

    // Runs until all clients' deadlines have passed and ends all outstanding attempts; afterwards the hosts
    // must hold no state of any message.
    void finish() {
        advance(3500ms);
        while (!attempts_.empty())
            end_attempt(attempts_.begin()->first, Outcome::reset, 0);
        advance(200ms);
        for (Scheduler& scheduler : schedulers_) {
            rule_checker.check(scheduler.self, now);
            const core::Counters& count = scheduler.host.counters();
            if (scheduler.host.open_messages() != 0 || scheduler.host.attempts_in_flight() != 0)
                add_violation("a message or an attempt stays open");
            if (!scheduler.host.ids().empty()) add_violation("a message id is never released");
            if (count.overdue != 0) add_violation("the frontend's deadline guard had to answer");
            if (count.admitted !=
                count.served + count.refused + count.failed + count.aborted_by_shutdown + count.clients_left)
                add_violation("the numbers of accepted and of completed messages differ");
        }
    }

    template <class Counts> void add_counts_to(Counts& counts) const {
        counts.sent += rule_checker.send_count;
        for (const Scheduler& scheduler : schedulers_) {
            counts.served += static_cast<int>(scheduler.host.counters().served);
            counts.refused += static_cast<int>(scheduler.host.counters().refused);
            counts.failed += static_cast<int>(scheduler.host.counters().failed);
        }
    }

    Time now = 1000s;
    RuleChecker rule_checker;

  private:
    struct Scheduler;
    // A client with one message; it checks the final answer.
    struct TestClient final : core::Client {
        void on_served(std::string_view result) override {
            if (result != simulation->results_[id])
                simulation->add_violation(
                    "a message was served with a result that no worker returned for it");
            close();
            simulation->rule_checker.on_served(scheduler->self, job, simulation->now);
        }
        void on_refused(core::Duration stay_away) override {
            close();
            simulation->rule_checker.on_refused(scheduler->self, job, simulation->now, stay_away);
        }
        void on_failed() override {
            close();
            simulation->rule_checker.on_failed(scheduler->self, job, simulation->now);
        }
        void close() {
            if (!open) simulation->add_violation("a message was answered twice");
            open = false;
        }
        Simulation* simulation = nullptr;
        Scheduler* scheduler = nullptr;
        std::string id;
        core::JobId job = 0;
        Time deadline{0};
        bool open = true;
    };
    struct AttemptKey {
        Index self;
        core::JobId job;
        Index attempt;
        auto operator<=>(const AttemptKey&) const = default;
    };
    using ProbeKey = std::pair<Index, WorkerId>; // the probing scheduler and the probed worker
    struct OutstandingAttempt {
        Scheduler* scheduler = nullptr;
        std::string id;
        WorkerId worker = 0;
        Time give_up{0};
    };

    // One scheduler's host, with simulated connections to the workers and to discovery.
    struct Scheduler final : core::Upstream, core::WorkerListSource {
        Scheduler(Simulation& owner, const Settings& settings)
            : simulation(owner), self(settings.self), may_probe(settings.probes),
              reports_load(settings.reports_with_answers), host(settings, 200, 1U << 20U, *this, *this) {}
        void start(core::JobId job, Index attempt, WorkerId worker, Time give_up, Time,
                   const core::Message& message) override {
            // A job never causes more work than its worker has slots for, whatever its client claims.
            simulation.rule_checker.on_sent(self, job, worker, simulation.now,
                                            std::min(message.slots, worker_slots) * job_duration_s);
            simulation.attempts_[{self, job, attempt}] = {this, message.id, worker, give_up};
            if (worker % 5 == 4 && attempt == 0) // unreachable, which is reported within the call
                simulation.end_attempt({self, job, attempt}, Outcome::connect_failed, 0);
        }
        void cancel(core::JobId job, Index attempt) override {
            simulation.end_attempt({self, job, attempt}, Outcome::cancelled, 0);
        }
        void cancel_if_unsent(core::JobId, core::Index) override {} // requests are sent at once here
        void probe(WorkerId worker) override {
            if (!may_probe)
                return simulation.add_violation("a probe was sent although probes are not allowed");
            if (!simulation.pending_probes_.emplace(ProbeKey{self, worker}, simulation.now + 20ms).second)
                simulation.add_violation("a worker got a second probe while one was outstanding");
        }
        void watch(bool) override {
            simulation.rule_checker.on_list_requested(self);
            if (!std::exchange(is_watching, true))
                simulation.pending_updates_.emplace(simulation.now + 1ms,
                                                    std::pair(this, simulation.complete_list()));
        }

        Simulation& simulation;
        Index self;
        bool may_probe, reports_load;
        Host host;
        bool is_watching = true;
    };

    void add_violation(const std::string& description) { rule_checker.violations.push_back(description); }

    static WorkerEntry make_entry(WorkerId id) {
        return {.worker = id,
                .key = id * 0x9e3779b97f4a7c15ULL,
                .kind = id % 2,
                .zone = id / 2 % 2,
                .cell = id / 4};
    }
    static Outcome outcome_of(unsigned number) {
        constexpr std::array<Outcome, 8> outcomes{Outcome::served, Outcome::served,        Outcome::served,
                                                  Outcome::error,  Outcome::full,          Outcome::reset,
                                                  Outcome::full,   Outcome::connect_failed};
        return outcomes.at(number % outcomes.size());
    }
    // The element number `number` modulo the size; the map must not be empty.
    template <class Map> static typename Map::iterator pick(Map& map, unsigned number) {
        return std::next(map.begin(), static_cast<std::ptrdiff_t>(number % map.size()));
    }
    // One of the clients that wait for an answer, or null if there is none.
    TestClient* pick_open_client(unsigned number) {
        std::vector<TestClient*> open_clients;
        for (TestClient& client : clients_) {
            if (client.open) open_clients.push_back(&client);
        }
        return open_clients.empty() ? nullptr : open_clients[number % open_clients.size()];
    }

    static Duration hint_of(unsigned number) { // none, accurate, inaccurate, too small and absurd
        constexpr std::array<Duration, 5> hints{0ns, 100ms, 300ms, 1ns, 1000h};
        return hints.at(number % hints.size());
    }
    static Report report_of(unsigned number) {
        if (number % 13 == 12) return {.utilisation = 0.5, .free_slots = 2}; // a report that never changes
        return {.utilisation = number % 11 / 10.0, .free_slots = worker_slots * (1 - number % 11 / 10.0)};
    }
    // The response to a probe: a correct, late or nonsensical one, or none.
    void answer_probe(ProbeKey probe_key) {
        const unsigned number = ++answered_probe_count_;
        const std::optional<Report> report =
            number % 3 == 0 ? std::nullopt : std::optional(report_of(number));
        schedulers_[probe_key.first].host.probed(
            probe_key.second, number % 7 == 0 ? Outcome::timed_out : outcome_of(number), 20ms, report);
    }

    // Submits a message of a new client; `variation` determines its deadline, key, hint and slots.
    void submit(Scheduler& scheduler, unsigned job_class, unsigned variation) {
        TestClient& client = clients_.emplace_back();
        client.simulation = this;
        client.scheduler = &scheduler;
        client.id = "m" + std::to_string(clients_.size());
        client.deadline = now + std::chrono::milliseconds(50 + variation * 29);
        core::Message message{
            .id = client.id,
            .job_class = job_class % 6,
            .key = variation % 4 == 0 ? std::optional<std::uint64_t>(variation) : std::nullopt,
            .hint = hint_of(variation),
            .slots = variation % 50 == 49 ? 1e5 : 1.0 + variation % 3, // clients may claim any number
            .repeatable = rule_checker.effect_of(job_class % 6) == Effect::repeatable,
            .deadline = client.deadline};
        const Index known_class = message.job_class;
        if (scheduler.host.admit(std::move(message), client, client.job))
            return rule_checker.on_job_arrived(scheduler.self, client.job, known_class, client.deadline);
        if (scheduler.host.holds(client.id)) add_violation("a rejected message is held all the same");
        clients_.pop_back();
    }

    // Ends the attempt if it is outstanding; `variation` determines its load report.
    void end_attempt(AttemptKey key, Outcome outcome, unsigned variation) {
        const auto found = attempts_.find(key);
        if (found == attempts_.end()) return;
        const OutstandingAttempt attempt = found->second;
        attempts_.erase(found);
        rule_checker.on_attempt_ended(key.self, key.job, key.attempt, outcome);
        const bool reports_load = variation % 4 != 0 && attempt.scheduler->reports_load;
        const std::string result = "of " + attempt.id + " by " + std::to_string(key.attempt);
        if (outcome == Outcome::served) results_[attempt.id] = result;
        attempt.scheduler->host.attempt_ended(
            key.job, key.attempt, outcome, now,
            reports_load ? std::optional(report_of(variation)) : std::nullopt, result);
    }

    // Changes one worker, or sends the complete list; the update reaches each scheduler with a different
    // delay.
    void change_worker(unsigned worker_number, unsigned change_kind, unsigned delay_factor) {
        EndpointListUpdate update{EndpointListUpdate::Kind::changes, {}};
        WorkerEntry& entry = workers_[worker_number % workers_.size()];
        switch (change_kind % 6) {
        case 0:
            entry.condition = Condition::draining;
            break;
        case 1:
            entry.condition = Condition::gone;
            break;
        case 2:
            entry.condition = Condition::ready;
            break;
        case 3: // a restart, after which the worker is cold
            entry.condition = Condition::ready;
            entry.up_since = now;
            break;
        case 4:
            if (workers_.size() == max_worker_count) return;
            workers_.push_back(make_entry(static_cast<WorkerId>(workers_.size())));
            workers_.back().up_since = now;
            workers_.back().kind = worker_number % 3; // also a kind beyond those in the settings
            update.entries.push_back(workers_.back());
            break;
        default:
            update = complete_list();
        }
        if (update.entries.empty()) update.entries.push_back(entry);
        for (Scheduler& scheduler : schedulers_)
            pending_updates_.emplace(now + std::chrono::milliseconds(scheduler.self * delay_factor % 97),
                                     std::pair(&scheduler, update));
    }
    EndpointListUpdate complete_list() const {
        EndpointListUpdate update{EndpointListUpdate::Kind::complete, {}};
        std::ranges::copy_if(workers_, std::back_inserter(update.entries),
                             [](const WorkerEntry& entry) { return entry.condition != Condition::gone; });
        return update;
    }
    void send_update(Scheduler& scheduler, const EndpointListUpdate& update) {
        rule_checker.on_list_update(scheduler.self, now, update);
        scheduler.host.handle_worker_list(update);
    }

    // The client leaves before it has its answer.
    void abandon(TestClient& client) {
        client.open = false;
        rule_checker.on_job_left(client.scheduler->self, client.job);
        client.scheduler->host.client_left(client.job);
    }

    // Advances the time by `duration` from one due event to the next.
    // NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
    void advance(Duration duration) {
        const Time end_time = now + duration;
        for (;;) {
            Time next_event = pending_updates_.empty() ? end_time : pending_updates_.begin()->first;
            for (const auto& [key, attempt] : attempts_)
                next_event = std::min(next_event, attempt.give_up);
            for (const TestClient& client : clients_) {
                if (client.open) next_event = std::min(next_event, client.deadline + 1ms);
            }
            for (const Scheduler& scheduler : schedulers_)
                next_event = std::min(next_event, scheduler.host.next_batch_time().value_or(end_time));
            for (const auto& [probe_key, answered_at] : pending_probes_)
                next_event = std::min(next_event, answered_at);
            now = std::clamp(next_event, now, end_time);
            while (!pending_updates_.empty() && pending_updates_.begin()->first <= now) {
                const auto [scheduler, update] = pending_updates_.extract(pending_updates_.begin()).mapped();
                if (scheduler->is_watching) send_update(*scheduler, update);
            }
            while (true) {
                const auto due = std::ranges::find_if(pending_probes_,
                                                      [&](const auto& item) { return item.second <= now; });
                if (due == pending_probes_.end()) break;
                const ProbeKey probe_key = due->first;
                pending_probes_.erase(due);
                answer_probe(probe_key);
            }
            while (true) {
                const auto expired = std::ranges::find_if(
                    attempts_, [&](const auto& item) { return item.second.give_up <= now; });
                if (expired == attempts_.end()) break;
                end_attempt(expired->first, Outcome::timed_out, 0);
            }
            for (TestClient& client : clients_) {
                if (client.open && client.deadline < now)
                    client.scheduler->host.fail_overdue(client.job); // as the frontend's deadline guard does
            }
            bool any_batch = false;
            for (Scheduler& scheduler : schedulers_) {
                const auto due = scheduler.host.next_batch_time();
                if (!due || *due > now) continue;
                any_batch = true;
                scheduler.host.run_batch(now);
                const auto next_batch_due = scheduler.host.next_batch_time();
                if (!next_batch_due || *next_batch_due > now) rule_checker.check(scheduler.self, now);
            }
            if (!any_batch && now >= end_time) return;
        }
    }

    std::deque<Scheduler> schedulers_;
    std::vector<WorkerEntry> workers_;
    std::deque<TestClient> clients_;
    std::map<AttemptKey, OutstandingAttempt> attempts_;
    std::map<ProbeKey, Time> pending_probes_; // the time of each response
    unsigned answered_probe_count_ = 0;
    std::map<std::string, std::string> results_; // by message: the result that a worker returned last
    std::multimap<Time, std::pair<Scheduler*, EndpointListUpdate>> pending_updates_;
};

// Sequences of steps; arrivals, ends of attempts and the passing of time are the most frequent.
rc::Gen<std::vector<Step>> step_sequences() {
    return rc::gen::container<std::vector<Step>>(rc::gen::map(
        rc::gen::tuple(rc::gen::weightedElement<unsigned>(
                           {{8, 0}, {8, 1}, {6, 2}, {3, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}, {1, 8}, {1, 9}}),
                       rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U)),
        [](const std::tuple<unsigned, unsigned, unsigned, unsigned>& values) {
            return Step{std::get<0>(values), std::get<1>(values), std::get<2>(values), std::get<3>(values)};
        }));
}

// How often each kind of action occurred; a run that sees too few of them proves nothing.
struct ActionCounts {
    int sent = 0, served = 0, refused = 0, failed = 0;
};

// Checks that `dispatchers` schedulers break no rule in any of `case_count` random runs.
void check_rules(Index dispatchers, int case_count, int max_size) {
    ActionCounts counts;
    check_property(
        "rules with " + std::to_string(dispatchers) + " schedulers", case_count,
        [&, dispatchers] {
            Simulation simulation(dispatchers, *rc::gen::inRange(0U, 64U));
            for (const Step& step : *step_sequences()) {
                simulation.apply(step);
                if (!simulation.first_violation().empty()) RC_FAIL(simulation.first_violation());
            }
            simulation.finish();
            if (!simulation.first_violation().empty()) RC_FAIL(simulation.first_violation());
            simulation.add_counts_to(counts);
        },
        max_size);
    MESSAGE(dispatchers << " schedulers: sent " << counts.sent << ", served " << counts.served << ", refused "
                        << counts.refused << ", failed " << counts.failed);
    for (const int count : {counts.sent, counts.served, counts.refused, counts.failed})
        CHECK(count > 300);
}

// A worker in a reference model of the ordinary path as the paper defines it: of the eligible workers, the
// one with the least L + I + X is chosen; each send increases X, each fresh report clears it, and workers
// that have turned a job away are skipped.
struct ModelWorker {
    double load = 0, degradation = 0, outstanding = 0;
    bool full = false;
};

// Compares the dispatcher's choices with the reference model over random arrivals and ends of attempts.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void check_ordinary_path() {
    constexpr double worker_slot_count = 8, slot_share = 1 / worker_slot_count;
    constexpr Time now = 100s;
    Settings settings;
    settings.classes = {{.effect = Effect::repeatable, .aim = 100ms, .give_up = 60s}};
    settings.tick = 5ms;
    settings.reports_with_answers = true;
    settings.max_attempts = 4;
    Dispatcher dispatcher(settings);
    const auto worker_count = *rc::gen::inRange<WorkerId>(2, 9);
    std::vector<ModelWorker> workers(worker_count);
    std::vector<Action> actions;
    const auto handle = [&](std::vector<Event> events) {
        actions.clear();
        dispatcher.handle(now, events, actions);
        std::vector<Send> sends;
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
        }
        return sends;
    };
    EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
    for (WorkerId id = 0; id < worker_count; ++id)
        list.entries.push_back({.worker = id, .key = id});
    handle({list});
    struct OutstandingAttempt {
        JobId job;
        Index attempt;
        WorkerId worker;
    };
    std::vector<OutstandingAttempt> outstanding_attempts;
    std::map<JobId, std::vector<WorkerId>> workers_by_job;
    JobId next_job = 0;
    const auto check_choice = [&](const Send& send) { // checks the choice against the model and updates it
        const auto& previous_workers = workers_by_job[send.job];
        const auto score = [&](WorkerId id) {
            const ModelWorker& model = workers[id];
            return std::max(model.load + model.degradation, model.outstanding / worker_slot_count) +
                   slot_share;
        };
        for (WorkerId id = 0; id < worker_count; ++id) {
            if (workers[id].full || std::ranges::count(previous_workers, id) > 0) continue;
            RC_ASSERT(score(send.worker) <= score(id) + 1e-6);
        }
        RC_ASSERT(!workers[send.worker].full);
        RC_ASSERT(std::ranges::count(previous_workers, send.worker) == 0);
        outstanding_attempts.push_back({send.job, static_cast<Index>(previous_workers.size()), send.worker});
        workers_by_job[send.job].push_back(send.worker);
        workers[send.worker].degradation += slot_share;
        workers[send.worker].outstanding += 1;
    };
    const auto end_attempt = [&](std::size_t index, Outcome outcome, std::optional<double> load) {
        const OutstandingAttempt ended_attempt = outstanding_attempts[index];
        outstanding_attempts.erase(outstanding_attempts.begin() + static_cast<std::ptrdiff_t>(index));
        AttemptEnded ended{.job = ended_attempt.job,
                           .attempt = ended_attempt.attempt,
                           .worker = ended_attempt.worker,
                           .outcome = outcome};
        ended.latency = 100ms;
        ended.job_over = outcome == Outcome::served;
        ModelWorker& model = workers[ended_attempt.worker];
        model.outstanding -= 1;
        if (load) {
            ended.report = Report{.utilisation = *load, .free_slots = worker_slot_count * (1 - *load)};
            model.load = std::max(0.0, *load - (outcome == Outcome::served ? slot_share : 0));
            model.degradation = 0;
        }
        model.full = model.full || outcome == Outcome::full;
        for (const Send& send : handle({ended}))
            check_choice(send);
    };
    // Sends one job to each idle worker, so that each has reported and the number of slots is known.
    for (WorkerId id = 0; id < worker_count; ++id) {
        const auto sends = handle({JobArrived{.job = next_job++, .time_left = 60s}});
        RC_ASSERT(sends.size() == 1U);
        outstanding_attempts.push_back({sends[0].job, 0, sends[0].worker});
        workers_by_job[sends[0].job] = {sends[0].worker};
        workers[sends[0].worker].outstanding = 1;
    }
    while (!outstanding_attempts.empty())
        end_attempt(0, Outcome::served, 0);
    std::size_t immediate_sends = 0;
    for (const auto& [choice, load] : *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
             rc::gen::pair(rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 8U)))) {
        if (choice < 60 || outstanding_attempts.empty()) {
            workers_by_job[next_job] = {};
            for (const Send& send : handle({JobArrived{.job = next_job, .time_left = 60s}})) {
                if (send.job == next_job) ++immediate_sends;
                check_choice(send);
            }
            ++next_job;
        } else {
            const bool full = choice > 94;
            end_attempt(std::size_t{choice} * 7 % outstanding_attempts.size(),
                        full ? Outcome::full : Outcome::served,
                        choice % 5 == 0 ? std::nullopt : std::optional(load / 8.0 + 0.001 * load));
        }
    }
    RC_CLASSIFY(immediate_sends > 5);
}

} // namespace

TEST_CASE("properties: the rules hold for one scheduler") { check_rules(1, 3000, 300); }
TEST_CASE("properties: the rules hold for three schedulers") { check_rules(3, 2000, 300); }
TEST_CASE("properties: the rules hold for a hundred schedulers") { check_rules(100, 300, 300); }
TEST_CASE("properties: the ordinary path picks the least L + I + X") {
    check_property("ordinary path", 2000, check_ordinary_path, 200);
}

} // namespace willowrill::testing
