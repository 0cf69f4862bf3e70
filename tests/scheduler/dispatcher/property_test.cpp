// The rules as properties of the module and its host, under whatever clients, workers, discovery and the
// clock do: 1, 3 and 100 schedulers beside the same workers, all held against the ledger, which knows no
// module.
#include "scheduler/core/host.h"
#include "support/check_property.h"
#include "support/rule_checker.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <ostream>

namespace willowrill::testing {

struct Step {
    unsigned what = 0, a = 0, b = 0, c = 0;
};

// NOLINTNEXTLINE(readability-identifier-naming): the library looks this name up
void showValue(const Step& step, std::ostream& out) {
    constexpr std::array<const char*, 10> words{"arrive", "outcome", "pass",  "list",   "leave",
                                                "break",  "start",   "limit", "finish", "note"};
    out << words.at(step.what) << "(" << step.a << "," << step.b << "," << step.c << ")";
}

namespace {

using namespace std::chrono_literals;
using core::Host;

constexpr WorkerId first_workers = 12, most_workers = 24;
constexpr double worker_slots = 4, job_s = 0.1;

Settings settings_for(Index self, Index dispatchers, unsigned variant) {
    Settings out = site_settings(self, dispatchers);
    out.seed = 1000 * variant + self;
    for (const auto& [effect, scope] :
         {std::pair{Effect::repeatable, RepeatScope::all}, std::pair{Effect::keyed, RepeatScope::cell},
          std::pair{Effect::keyed, RepeatScope::zone}, std::pair{Effect::keyed, RepeatScope::all},
          std::pair{Effect::once, RepeatScope::all}, std::pair{Effect::once, RepeatScope::all}}) {
        out.classes.push_back({.effect = effect,
                               .repeat_scope = scope,
                               .repeat_window = 700ms,
                               .aim = 300ms,
                               .aim_stretch = 1.75,
                               .give_up = 3s});
    }
    out.classes[1].kind = 0;
    out.classes[5].late_worth = 0.5;
    out.may_cancel = (variant & 1U) != 0;
    out.second_copies = (variant & 2U) != 0;
    out.tells_start = (variant & 4U) != 0;
    out.cross_zone_price = out.handshake_price = (variant & 8U) != 0 ? 0.02 : 0;
    out.reports_with_answers = (variant & 16U) == 0; // with both bits, load is never told
    out.probes = out.reports_with_probes = (variant & 32U) == 0 && !out.reports_with_answers;
    out.probe_price = (variant & 1U) != 0 ? 0.01 : 0;
    out.progress_period = out.tells_start ? 100ms : 0ms;
    return out;
}

class World {
  public:
    World(Index dispatchers, unsigned variant)
        : ledger(settings_for(0, dispatchers, variant), dispatchers, worker_slots) {
        for (WorkerId id = 0; id < first_workers; ++id)
            workers_.push_back(entry_of(id));
        for (Index self = 0; self < dispatchers; ++self)
            nodes_.emplace_back(*this, settings_for(self, dispatchers, variant));
        for (Node& node : nodes_)
            tell(node, {EndpointListUpdate::Kind::complete, workers_});
        pass(50ms);
    }

    // NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
    void play(const Step& step) {
        Node& node = nodes_[step.a % nodes_.size()];
        switch (step.what) {
        case 0:
            for (unsigned more = 0; more <= step.a / 25; ++more)
                arrive(node, step.b + more, step.c);
            return;
        case 1: // of one, of several alike, or of all, over and over: nobody has room
            for (unsigned round = 0; step.b > 94 && round < 6; ++round) {
                while (!out_.empty())
                    end(out_.begin()->first, Outcome::full, step.c);
                pass(6ms);
            }
            for (unsigned more = 0; more <= step.c / 20 && !out_.empty(); ++more)
                end(pick(out_, step.a + more)->first, outcome_of(step.b), step.c);
            return;
        case 2:
            return pass(std::chrono::milliseconds(1 + step.a * step.a / 40)); // to 250 ms
        case 3:
            return change(step.a, step.b, step.c);
        case 4:
            if (Requester* one = any_open(step.a)) leave(*one);
            return;
        case 5: // nothing more is told until the list is asked for again
            if (std::exchange(node.watching, false)) tell(node, {EndpointListUpdate::Kind::broken, {}});
            return;
        case 6:
        case 9:
            if (out_.empty()) return;
            if (const auto& [key, out] = *pick(out_, step.a); step.what == 6)
                out.node->host.attempt_started(key.job, key.attempt);
            else // also backwards, and past its end
                out.node->host.attempt_progress(key.job, key.attempt, step.b / 50.0 - 0.3);
            return;
        case 7: // at a reload, perhaps below what is in use
            return node.host.set_max_bytes(step.b % 3 == 0 ? 0 : 1U << 20U);
        default: // what an orderly end does not wait for
            for (Requester& one : requesters_) {
                if (one.node == &node && one.open) node.host.abort_for_shutdown(one.job);
            }
        }
    }

    // The sentence of the first broken rule, or nothing.
    std::string broken() const { return ledger.violations.empty() ? "" : ledger.violations.front(); }

    // To the end of every client's time, with all that is out ended: nothing may be kept.
    void finish() {
        pass(3500ms);
        while (!out_.empty())
            end(out_.begin()->first, Outcome::reset, 0);
        pass(200ms);
        for (Node& node : nodes_) {
            ledger.check(node.self, now);
            const core::Counters& count = node.host.counters();
            if (node.host.open_messages() != 0 || node.host.attempts_in_flight() != 0)
                say("something is open for good");
            if (!node.host.ids().empty()) say("an id is kept for good");
            if (count.overdue != 0) say("the guard had to answer");
            if (count.admitted !=
                count.served + count.refused + count.failed + count.aborted_by_shutdown + count.clients_left)
                say("messages and their ends differ in number");
        }
    }

    template <class Sums> void add_to(Sums& seen) const {
        seen.sent += ledger.send_count;
        for (const Node& node : nodes_) {
            seen.served += static_cast<int>(node.host.counters().served);
            seen.refused += static_cast<int>(node.host.counters().refused);
            seen.failed += static_cast<int>(node.host.counters().failed);
        }
    }

    Time now = 1000s;
    RuleChecker ledger;

  private:
    struct Node;
    struct Requester final : core::Client {
        void on_served(std::string_view result) override {
            if (result != world->given_[id]) world->say("served with what no worker gave for it");
            over();
            world->ledger.on_served(node->self, job, world->now);
        }
        void on_refused(core::Duration stay_away) override {
            over();
            world->ledger.on_refused(node->self, job, world->now, stay_away);
        }
        void on_failed() override {
            over();
            world->ledger.on_failed(node->self, job, world->now);
        }
        void over() {
            if (!open) world->say("a second answer");
            open = false;
        }
        World* world = nullptr;
        Node* node = nullptr;
        std::string id;
        core::JobId job = 0;
        Time deadline{0};
        bool open = true;
    };
    struct Key {
        Index self;
        core::JobId job;
        Index attempt;
        auto operator<=>(const Key&) const = default;
    };
    using Asked = std::pair<Index, WorkerId>; // by whom, and whom
    struct Out {
        Node* node = nullptr;
        std::string id;
        WorkerId worker = 0;
        Time give_up{0};
    };

    struct Node final : core::Upstream, core::WorkerListSource {
        Node(World& in, const Settings& settings)
            : world(in), self(settings.self), probes(settings.probes), reports(settings.reports_with_answers),
              host(settings, 200, 1U << 20U, *this, *this) {}
        void start(core::JobId job, Index attempt, WorkerId worker, Time give_up, Time,
                   const core::Message& message) override {
            // A job is no more work than its worker has slots for, whatever its client claims.
            world.ledger.on_sent(self, job, worker, world.now, std::min(message.slots, worker_slots) * job_s);
            world.out_[{self, job, attempt}] = {this, message.id, worker, give_up};
            if (worker % 5 == 4 && attempt == 0) // out of reach, and known within the call
                world.end({self, job, attempt}, Outcome::connect_failed, 0);
        }
        void cancel(core::JobId job, Index attempt) override {
            world.end({self, job, attempt}, Outcome::cancelled, 0);
        }
        void cancel_if_unsent(core::JobId, core::Index) override {} // here a request goes out at once
        void probe(WorkerId worker) override {
            if (!probes) return world.say("a probe where none is allowed");
            if (!world.probed_.emplace(Asked{self, worker}, world.now + 20ms).second)
                world.say("a worker was asked twice at once");
        }
        void watch(bool) override {
            world.ledger.on_list_requested(self);
            if (!std::exchange(watching, true))
                world.news_.emplace(world.now + 1ms, std::pair(this, world.whole_list()));
        }

        World& world;
        Index self;
        bool probes, reports;
        Host host;
        bool watching = true;
    };

    void say(const std::string& what) { ledger.violations.push_back(what); }

    static WorkerEntry entry_of(WorkerId id) {
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
    template <class Map> static typename Map::iterator pick(Map& map, unsigned number) {
        return std::next(map.begin(), static_cast<std::ptrdiff_t>(number % map.size()));
    }
    Requester* any_open(unsigned number) {
        std::vector<Requester*> open;
        for (Requester& one : requesters_) {
            if (one.open) open.push_back(&one);
        }
        return open.empty() ? nullptr : open[number % open.size()];
    }

    static Duration hint_of(unsigned number) { // none, good, poor, too small and absurd
        constexpr std::array<Duration, 5> hints{0ns, 100ms, 300ms, 1ns, 1000h};
        return hints.at(number % hints.size());
    }
    static Report report_of(unsigned number) {
        if (number % 13 == 12) return {.utilisation = 0.5, .free_slots = 2}; // the same for good
        return {.utilisation = number % 11 / 10.0, .free_slots = worker_slots * (1 - number % 11 / 10.0)};
    }
    // One answers in its time, late, with nonsense, or not at all.
    void answer(Asked asked) {
        const unsigned number = ++probes_answered_;
        const std::optional<Report> report =
            number % 3 == 0 ? std::nullopt : std::optional(report_of(number));
        nodes_[asked.first].host.probed(
            asked.second, number % 7 == 0 ? Outcome::timed_out : outcome_of(number), 20ms, report);
    }

    void arrive(Node& node, unsigned job_class, unsigned more) {
        Requester& one = requesters_.emplace_back();
        one.world = this;
        one.node = &node;
        one.id = "m" + std::to_string(requesters_.size());
        one.deadline = now + std::chrono::milliseconds(50 + more * 29);
        core::Message message{.id = one.id,
                              .job_class = job_class % 6,
                              .key = more % 4 == 0 ? std::optional<std::uint64_t>(more) : std::nullopt,
                              .hint = hint_of(more),
                              .slots = more % 50 == 49 ? 1e5 : 1.0 + more % 3, // a client may claim anything
                              .repeatable = ledger.effect_of(job_class % 6) == Effect::repeatable,
                              .deadline = one.deadline};
        const Index known = message.job_class;
        if (node.host.admit(std::move(message), one, one.job))
            return ledger.on_job_arrived(node.self, one.job, known, one.deadline);
        if (node.host.holds(one.id)) say("turned away and held all the same");
        requesters_.pop_back();
    }

    void end(Key key, Outcome outcome, unsigned more) {
        const auto found = out_.find(key);
        if (found == out_.end()) return;
        const Out out = found->second;
        out_.erase(found);
        ledger.on_attempt_ended(key.self, key.job, key.attempt, outcome);
        const bool reports = more % 4 != 0 && out.node->reports;
        const std::string result = "of " + out.id + " by " + std::to_string(key.attempt);
        if (outcome == Outcome::served) given_[out.id] = result;
        out.node->host.attempt_ended(key.job, key.attempt, outcome, now,
                                     reports ? std::optional(report_of(more)) : std::nullopt, result);
    }

    // Discovery's word comes to each scheduler in its own time.
    void change(unsigned which, unsigned how, unsigned late) {
        EndpointListUpdate news{EndpointListUpdate::Kind::changes, {}};
        WorkerEntry& entry = workers_[which % workers_.size()];
        switch (how % 6) {
        case 0:
            entry.condition = Condition::draining;
            break;
        case 1:
            entry.condition = Condition::gone;
            break;
        case 2:
            entry.condition = Condition::ready;
            break;
        case 3: // a cold restart
            entry.condition = Condition::ready;
            entry.up_since = now;
            break;
        case 4:
            if (workers_.size() == most_workers) return;
            workers_.push_back(entry_of(static_cast<WorkerId>(workers_.size())));
            workers_.back().up_since = now;
            workers_.back().kind = which % 3; // one that the settings do not name, too
            news.entries.push_back(workers_.back());
            break;
        default:
            news = whole_list();
        }
        if (news.entries.empty()) news.entries.push_back(entry);
        for (Node& node : nodes_)
            news_.emplace(now + std::chrono::milliseconds(node.self * late % 97), std::pair(&node, news));
    }
    EndpointListUpdate whole_list() const {
        EndpointListUpdate news{EndpointListUpdate::Kind::complete, {}};
        std::ranges::copy_if(workers_, std::back_inserter(news.entries),
                             [](const WorkerEntry& one) { return one.condition != Condition::gone; });
        return news;
    }
    void tell(Node& node, const EndpointListUpdate& news) {
        ledger.on_list_update(node.self, now, news);
        node.host.handle_worker_list(news);
    }

    void leave(Requester& one) {
        one.open = false;
        ledger.on_job_left(one.node->self, one.job);
        one.node->host.client_left(one.job);
    }

    // From one moment at which something is due to the next.
    // NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
    void pass(Duration span) {
        const Time until = now + span;
        for (;;) {
            Time next = news_.empty() ? until : news_.begin()->first;
            for (const auto& [key, out] : out_)
                next = std::min(next, out.give_up);
            for (const Requester& one : requesters_) {
                if (one.open) next = std::min(next, one.deadline + 1ms);
            }
            for (const Node& node : nodes_)
                next = std::min(next, node.host.next_batch_time().value_or(until));
            for (const auto& [asked, at] : probed_)
                next = std::min(next, at);
            now = std::clamp(next, now, until);
            while (!news_.empty() && news_.begin()->first <= now) {
                const auto [node, news] = news_.extract(news_.begin()).mapped();
                if (node->watching) tell(*node, news);
            }
            while (true) {
                const auto due =
                    std::ranges::find_if(probed_, [&](const auto& item) { return item.second <= now; });
                if (due == probed_.end()) break;
                const Asked asked = due->first;
                probed_.erase(due);
                answer(asked);
            }
            while (true) {
                const auto late =
                    std::ranges::find_if(out_, [&](const auto& item) { return item.second.give_up <= now; });
                if (late == out_.end()) break;
                end(late->first, Outcome::timed_out, 0);
            }
            for (Requester& one : requesters_) {
                if (one.open && one.deadline < now)
                    one.node->host.fail_overdue(one.job); // the frontend's guard
            }
            bool any = false;
            for (Node& node : nodes_) {
                const auto due = node.host.next_batch_time();
                if (!due || *due > now) continue;
                any = true;
                node.host.run_batch(now);
                const auto again = node.host.next_batch_time();
                if (!again || *again > now) ledger.check(node.self, now);
            }
            if (!any && now >= until) return;
        }
    }

    std::deque<Node> nodes_;
    std::vector<WorkerEntry> workers_;
    std::deque<Requester> requesters_;
    std::map<Key, Out> out_;
    std::map<Asked, Time> probed_; // when each comes back
    unsigned probes_answered_ = 0;
    std::map<std::string, std::string> given_; // by message: the result that its worker gave last
    std::multimap<Time, std::pair<Node*, EndpointListUpdate>> news_;
};

rc::Gen<std::vector<Step>> events() {
    return rc::gen::container<std::vector<Step>>(rc::gen::map(
        rc::gen::tuple(rc::gen::weightedElement<unsigned>(
                           {{8, 0}, {8, 1}, {6, 2}, {3, 3}, {1, 4}, {1, 5}, {1, 6}, {1, 7}, {1, 8}, {1, 9}}),
                       rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U)),
        [](const std::tuple<unsigned, unsigned, unsigned, unsigned>& t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
        }));
}

// What a run must have seen of each for its success to mean something.
struct Seen {
    int sent = 0, served = 0, refused = 0, failed = 0;
};

void rules_hold(Index dispatchers, int cases, int size) {
    Seen seen;
    check_property(
        "rules with " + std::to_string(dispatchers) + " schedulers", cases,
        [&, dispatchers] {
            World world(dispatchers, *rc::gen::inRange(0U, 64U));
            for (const Step& step : *events()) {
                world.play(step);
                if (!world.broken().empty()) RC_FAIL(world.broken());
            }
            world.finish();
            if (!world.broken().empty()) RC_FAIL(world.broken());
            world.add_to(seen);
        },
        size);
    MESSAGE(dispatchers << " schedulers: sent " << seen.sent << ", served " << seen.served << ", refused "
                        << seen.refused << ", failed " << seen.failed);
    for (const int count : {seen.sent, seen.served, seen.refused, seen.failed})
        CHECK(count > 300);
}

// The ordinary path, by the paper: the least L + I + X of the eligible, X grown by each send and cleared by
// each fresh report, a worker that turned a job away skipped.
struct Plain {
    double load = 0, degradation = 0, out = 0;
    bool full = false;
};

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void ordinary_path() {
    constexpr double slots = 8, step = 1 / slots;
    constexpr Time now = 100s;
    Settings settings;
    settings.classes = {{.effect = Effect::repeatable, .aim = 100ms, .give_up = 60s}};
    settings.tick = 5ms;
    settings.reports_with_answers = true;
    settings.max_attempts = 4;
    Dispatcher dispatcher(settings);
    const auto count = *rc::gen::inRange<WorkerId>(2, 9);
    std::vector<Plain> workers(count);
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
    for (WorkerId id = 0; id < count; ++id)
        list.entries.push_back({.worker = id, .key = id});
    handle({list});
    struct Out {
        JobId job;
        Index attempt;
        WorkerId worker;
    };
    std::vector<Out> out;
    std::map<JobId, std::vector<WorkerId>> tried;
    JobId next = 0;
    const auto chosen = [&](const Send& send) { // held against the model, and put into it
        const auto& had = tried[send.job];
        const auto score = [&](WorkerId id) {
            const Plain& w = workers[id];
            return std::max(w.load + w.degradation, w.out / slots) + step;
        };
        for (WorkerId id = 0; id < count; ++id) {
            if (workers[id].full || std::ranges::count(had, id) > 0) continue;
            RC_ASSERT(score(send.worker) <= score(id) + 1e-6);
        }
        RC_ASSERT(!workers[send.worker].full);
        RC_ASSERT(std::ranges::count(had, send.worker) == 0);
        out.push_back({send.job, static_cast<Index>(had.size()), send.worker});
        tried[send.job].push_back(send.worker);
        workers[send.worker].degradation += step;
        workers[send.worker].out += 1;
    };
    const auto end = [&](std::size_t at, Outcome outcome, std::optional<double> load) {
        const Out one = out[at];
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
        AttemptEnded ended{.job = one.job, .attempt = one.attempt, .worker = one.worker, .outcome = outcome};
        ended.latency = 100ms;
        ended.job_over = outcome == Outcome::served;
        Plain& w = workers[one.worker];
        w.out -= 1;
        if (load) {
            ended.report = Report{.utilisation = *load, .free_slots = slots * (1 - *load)};
            w.load = std::max(0.0, *load - (outcome == Outcome::served ? step : 0));
            w.degradation = 0;
        }
        w.full = w.full || outcome == Outcome::full;
        for (const Send& send : handle({ended}))
            chosen(send);
    };
    // One job at each, all idle, so that each has reported and all slots are known.
    for (WorkerId id = 0; id < count; ++id) {
        const auto sends = handle({JobArrived{.job = next++, .time_left = 60s}});
        RC_ASSERT(sends.size() == 1U);
        out.push_back({sends[0].job, 0, sends[0].worker});
        tried[sends[0].job] = {sends[0].worker};
        workers[sends[0].worker].out = 1;
    }
    while (!out.empty())
        end(0, Outcome::served, 0);
    std::size_t sent = 0;
    for (const auto& [what, load] : *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
             rc::gen::pair(rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 8U)))) {
        if (what < 60 || out.empty()) {
            tried[next] = {};
            for (const Send& send : handle({JobArrived{.job = next, .time_left = 60s}})) {
                if (send.job == next) ++sent;
                chosen(send);
            }
            ++next;
        } else {
            const bool full = what > 94;
            end(std::size_t{what} * 7 % out.size(), full ? Outcome::full : Outcome::served,
                what % 5 == 0 ? std::nullopt : std::optional(load / 8.0 + 0.001 * load));
        }
    }
    RC_CLASSIFY(sent > 5);
}

} // namespace

TEST_CASE("properties: the rules hold for one scheduler") { rules_hold(1, 3000, 300); }
TEST_CASE("properties: the rules hold for three schedulers") { rules_hold(3, 2000, 300); }
TEST_CASE("properties: the rules hold for a hundred schedulers") { rules_hold(100, 300, 300); }
TEST_CASE("properties: the ordinary path picks the least L + I + X") {
    check_property("ordinary path", 2000, ordinary_path, 200);
}

} // namespace willowrill::testing
