// The life cycle of a message under random operations of clients, workers, discovery and the clock: each
// message gets one final answer, and the host keeps the rules on repeated attempts and refusals.
#include "scheduler/core/host.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;
using core::Host;
using willowrill::Effect;
using willowrill::Outcome;

willowrill::Settings settings() {
    willowrill::Settings result;
    result.seed = 5;
    for (const Effect effect : {Effect::repeatable, Effect::keyed, Effect::once}) {
        result.classes.push_back({.effect = effect,
                                  .repeat_scope = willowrill::RepeatScope::cell,
                                  .repeat_window = 10s,
                                  .aim = 500ms,
                                  .aim_stretch = 2,
                                  .give_up = 3s});
    }
    result.tick = 5ms;
    result.may_cancel = result.second_copies = result.clients_honor_retry_after = result.list_on_request =
        true;
    result.max_attempts = 4;
    result.max_retry_after = 2s;
    result.list_valid = 10s;
    return result;
}

// Plays the clients, the workers and discovery around a host in virtual time, and checks every call of the
// host.
class World final : public core::Upstream, public core::WorkerListSource {
  public:
    struct Requester final : core::Client {
        void on_served(std::string_view text) override { ++answers, served = true, result = text; }
        void on_refused(core::Duration) override { ++answers, refused = true; }
        void on_failed() override { ++answers; }
        core::JobId job = 0;
        Effect effect{};
        core::Time deadline{0};
        int answers = 0, attempts = 0;
        int may_have_run = 0; // attempts that may have run
        bool served = false, refused = false, has_left = false;
        std::string result;
    };
    struct InFlightAttempt {
        Requester* requester = nullptr;
        core::Time timeout_at{0};
    };

    explicit World(unsigned seed) : random_(seed), host(settings(), 30, 1U << 20U, *this, *this) {}

    void start(core::JobId job, core::Index attempt, core::WorkerId, core::Time timeout_at, core::Time,
               const core::Message& message) override {
        Requester& requester = *requesters_by_id_.at(message.id);
        CHECK(requester.job == job);
        CHECK(requester.answers == 0);
        CHECK_FALSE(requester.has_left);
        CHECK(++requester.attempts <= 4);
        CHECK((requester.effect != Effect::once || requester.may_have_run == 0));
        CHECK(timeout_at <= requester.deadline);
        if (random_below(10) == 0) return host.attempt_ended(job, attempt, Outcome::connect_failed, now);
        ++requester.may_have_run; // from the time it is in flight
        in_flight_[{job, attempt}] = {&requester, timeout_at};
    }
    void cancel(core::JobId job, core::Index attempt) override {
        end_attempt({job, attempt}, Outcome::cancelled);
    }
    void cancel_if_unsent(core::JobId, core::Index) override {} // requests are sent immediately
    void probe(core::WorkerId) override { FAIL("probes are not allowed here"); }
    void watch(bool) override { watched = true; }

    void step() {
        switch (random_below(8)) {
        case 0:
        case 1:
            return submit();
        case 2:
        case 3:
        case 4:
            if (!in_flight_.empty()) end_attempt(random_attempt(), static_cast<Outcome>(random_below(6)));
            return;
        case 5:
            if (Requester* requester = random_open_requester())
                random_below(3) == 0 ? client_leaves(*requester) : report_progress();
            return;
        case 6:
            if (random_below(5) == 0) update_worker_list();
            return;
        default:
            return advance(std::chrono::milliseconds(random_below(40)));
        }
    }

    Requester* submit(core::Index job_class) { // null if the host is full
        requesters.emplace_back();
        Requester& requester = requesters.back();
        requester.effect = settings().classes[job_class].effect;
        requester.deadline = now + 3s;
        const std::string id = "m" + std::to_string(requesters_by_id_.size());
        requesters_by_id_[id] = &requester;
        const bool is_full = (host.open_messages() >= 30);
        core::Message message{.id = id,
                              .job_class = job_class,
                              .repeatable = requester.effect == Effect::repeatable,
                              .deadline = requester.deadline};
        CHECK(host.admit(std::move(message), requester, requester.job) == !is_full);
        core::JobId unused = 0;
        CHECK_FALSE(host.admit({.id = id}, requester, unused)); // the id is in use, or the host is full
        if (!is_full) return &requester;
        requesters_by_id_.erase(id);
        requesters.pop_back();
        return nullptr;
    }

    void advance(core::Duration span) {
        const core::Time until = now + span;
        while (now < until) {
            now += 1ms;
            while (!in_flight_.empty() && find_expired() != in_flight_.end()) {
                end_attempt(find_expired()->first, Outcome::timed_out);
            }
            const auto next = host.next_batch_time();
            if (!next || *next > now) continue;
            CHECK(now - last_batch_ >= 5ms); // at most one batch per tick
            last_batch_ = now;
            host.run_batch(now);
        }
        for (Requester& requester : requesters) {
            CHECK(requester.answers <= 1);
            CHECK((requester.answers == 1 || requester.has_left || now <= requester.deadline)); // in time
        }
    }

    using Kind = willowrill::EndpointListUpdate::Kind;
    void update_worker_list(Kind kind = Kind::complete) {
        willowrill::EndpointListUpdate update{.kind = kind, .entries = {}};
        for (core::WorkerId worker = 0; worker < 6; ++worker) {
            const bool up = random_below(4) > 0;
            update.entries.push_back(
                {.worker = worker,
                 .key = worker,
                 .cell = worker / 3,
                 .condition = up ? willowrill::Condition::ready : willowrill::Condition::draining});
        }
        host.handle_worker_list(std::move(update));
    }

    void finish() {
        advance(4s);
        while (!in_flight_.empty()) {
            end_attempt(random_attempt(), Outcome::reset);
        }
        advance(50ms);
        CHECK(host.open_messages() == 0);
        CHECK(host.attempts_in_flight() == 0);
        const core::Counters& counters = host.counters();
        CHECK(counters.admitted == requesters.size());
        CHECK(counters.admitted == counters.served + counters.refused + counters.failed +
                                       counters.clients_left + counters.overdue);
        CHECK(counters.overdue == 0); // the module has ended every message in time
        for (const Requester& requester : requesters) {
            CHECK(requester.answers == (requester.has_left ? 0 : 1));
            CHECK((!requester.refused || requester.may_have_run == 0 ||
                   requester.effect == Effect::repeatable));
        }
        for (const auto& [id, requester] : requesters_by_id_) {
            CHECK_FALSE(host.holds(id)); // ids can be reused
        }
    }

    std::size_t served() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(requesters, [](auto& requester) { return requester.served; }));
    }

  private:
    using Key = std::pair<core::JobId, core::Index>;

    std::size_t random_below(std::size_t below) { return random_() % below; }

    void submit() { submit(static_cast<core::Index>(random_below(3))); }
    void end_attempt(Key key, Outcome outcome) {
        const auto found = in_flight_.find(key);
        if (found == in_flight_.end()) return;
        Requester& requester = *found->second.requester;
        in_flight_.erase(found);
        const bool open = requester.answers == 0 && !requester.has_left;
        const bool never_ran = outcome == Outcome::full || outcome == Outcome::connect_failed;
        if (never_ran) --requester.may_have_run;
        const std::string result = "r" + std::to_string(key.first);
        host.attempt_ended(key.first, key.second, outcome, now, {}, result);
        if (outcome == Outcome::served) CHECK(requester.served == (open || requester.served));
        if (requester.served && open) CHECK(requester.result == result);
    }
    void report_progress() {
        if (in_flight_.empty()) return;
        const Key key = random_attempt();
        random_below(2) == 0 ? host.attempt_started(key.first, key.second)
                             : host.attempt_progress(key.first, key.second, 0.5);
    }
    void client_leaves(Requester& requester) {
        requester.has_left = true;
        host.client_left(requester.job);
    }
    Key random_attempt() {
        return std::next(in_flight_.begin(), static_cast<std::ptrdiff_t>(random_below(in_flight_.size())))
            ->first;
    }
    std::map<Key, InFlightAttempt>::iterator find_expired() {
        return std::ranges::find_if(in_flight_,
                                    [&](const auto& item) { return item.second.timeout_at <= now; });
    }
    Requester* random_open_requester() {
        for (int i = 0; i < 5 && !requesters.empty(); ++i) {
            Requester& requester = requesters[random_below(requesters.size())];
            if (requester.answers == 0 && !requester.has_left) return &requester;
        }
        return nullptr;
    }

    std::mt19937 random_;
    std::map<Key, InFlightAttempt> in_flight_;
    std::map<std::string, Requester*> requesters_by_id_;
    core::Time last_batch_{0};

  public:
    core::Time now = 1000s;
    Host host;
    std::deque<Requester> requesters;
    bool watched = false;
};

} // namespace

TEST_CASE("every message ends once, in time and by the rules, under random operations") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        World world(seed);
        world.update_worker_list(World::Kind::remembered);
        world.advance(2s);
        for (int i = 0; i < 400; ++i) {
            world.step();
        }
        world.finish();
        CHECK(world.watched);
        CHECK(world.served() > 0);
    }
}

TEST_CASE("an overdue message is failed once, and later calls do not answer it again") {
    World world(1); // without a worker list, nothing can be sent
    World::Requester requester;
    REQUIRE(world.host.admit({.id = "a", .deadline = world.now + 1s}, requester, requester.job));
    world.host.fail_overdue(requester.job);
    world.host.fail_overdue(requester.job);
    world.host.client_left(requester.job);
    world.advance(2s);
    CHECK(requester.answers == 1);
    CHECK(world.host.counters().overdue == 1);
    CHECK(world.host.counters().clients_left == 0);
    CHECK_FALSE(world.host.holds("a"));
}

// Guards against failing a repeatable job at shutdown: its client must be told that it can retry elsewhere.
TEST_CASE("a job aborted by the shutdown is refused if it is repeatable, and fails otherwise") {
    for (const core::Index job_class : {0U, 2U}) {
        CAPTURE(job_class);
        World world(1);
        world.update_worker_list();
        World::Requester* requester = nullptr;
        for (int tries = 0; tries < 20 && (requester == nullptr || requester->may_have_run == 0); ++tries) {
            requester = world.submit(job_class);
            REQUIRE(requester != nullptr);
            world.advance(20ms);
        }
        REQUIRE(requester->may_have_run > 0); // an attempt is at a worker
        world.host.abort_for_shutdown(requester->job);
        CHECK(requester->answers == 1);
        CHECK(requester->refused == (job_class == 0));
    }
}

} // namespace willowrill::testing
