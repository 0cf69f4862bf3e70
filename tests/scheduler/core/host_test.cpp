// The life of a message under random steps: whatever clients, workers, discovery and the clock do, each
// message has one final answer, and the rules on repeats and refusals hold at the host's edge.
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
    willowrill::Settings out;
    out.seed = 5;
    for (const Effect effect : {Effect::repeatable, Effect::keyed, Effect::once}) {
        out.classes.push_back({.effect = effect,
                               .repeat_scope = willowrill::RepeatScope::cell,
                               .repeat_window = 10s,
                               .aim = 500ms,
                               .aim_stretch = 2,
                               .give_up = 3s});
    }
    out.tick = 5ms;
    out.may_cancel = out.second_copies = out.takes_advice = out.list_on_request = true;
    out.max_attempts = 4;
    out.max_stay_away = 2s;
    out.list_valid = 10s;
    return out;
}

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
        int maybe = 0; // attempts that may have run
        bool served = false, refused = false, left = false;
        std::string result;
    };
    struct Out {
        Requester* requester = nullptr;
        core::Time give_up{0};
    };

    explicit World(unsigned seed) : random_(seed), host(settings(), 30, 1U << 20U, *this, *this) {}

    void start(core::JobId job, core::Index attempt, core::WorkerId, core::Time give_up, core::Time,
               const core::Message& message) override {
        Requester& requester = *by_id_.at(message.id);
        CHECK(requester.job == job);
        CHECK(requester.answers == 0);
        CHECK_FALSE(requester.left);
        CHECK(++requester.attempts <= 4);
        CHECK((requester.effect != Effect::once || requester.maybe == 0));
        CHECK(give_up <= requester.deadline);
        if (pick(10) == 0) return host.attempt_ended(job, attempt, Outcome::connect_failed, now);
        ++requester.maybe; // while it is out, too
        out_[{job, attempt}] = {&requester, give_up};
    }
    void cancel(core::JobId job, core::Index attempt) override { end({job, attempt}, Outcome::cancelled); }
    void cancel_if_unsent(core::JobId, core::Index) override {} // here a request goes out at once
    void probe(core::WorkerId) override { FAIL("probes are not allowed here"); }
    void watch(bool) override { watched = true; }

    void step() {
        switch (pick(8)) {
        case 0:
        case 1:
            return arrive();
        case 2:
        case 3:
        case 4:
            if (!out_.empty()) end(any_out(), static_cast<Outcome>(pick(6)));
            return;
        case 5:
            if (Requester* one = any_open()) pick(3) == 0 ? leave(*one) : note();
            return;
        case 6:
            if (pick(5) == 0) list();
            return;
        default:
            return pass(std::chrono::milliseconds(pick(40)));
        }
    }

    Requester* arrive(core::Index job_class) { // none where the host is full
        requesters.emplace_back();
        Requester& one = requesters.back();
        one.effect = settings().classes[job_class].effect;
        one.deadline = now + 3s;
        const std::string id = "m" + std::to_string(by_id_.size());
        by_id_[id] = &one;
        const bool full = (host.open_messages() >= 30);
        core::Message message{.id = id,
                              .job_class = job_class,
                              .repeatable = one.effect == Effect::repeatable,
                              .deadline = one.deadline};
        CHECK(host.admit(std::move(message), one, one.job) == !full);
        core::JobId unused = 0;
        CHECK_FALSE(host.admit({.id = id}, one, unused)); // the same id again, or full
        if (!full) return &one;
        by_id_.erase(id);
        requesters.pop_back();
        return nullptr;
    }

    void pass(core::Duration span) {
        const core::Time until = now + span;
        while (now < until) {
            now += 1ms;
            while (!out_.empty() && expired() != out_.end()) {
                end(expired()->first, Outcome::timed_out);
            }
            const auto next = host.next_batch_time();
            if (!next || *next > now) continue;
            CHECK(now - last_batch_ >= 5ms); // at most once a tick
            last_batch_ = now;
            host.run_batch(now);
        }
        for (Requester& one : requesters) {
            CHECK(one.answers <= 1);
            CHECK((one.answers == 1 || one.left || now <= one.deadline)); // and in time
        }
    }

    using Kind = willowrill::EndpointListUpdate::Kind;
    void list(Kind kind = Kind::complete) {
        willowrill::EndpointListUpdate news{.kind = kind, .entries = {}};
        for (core::WorkerId worker = 0; worker < 6; ++worker) {
            const bool up = pick(4) > 0;
            news.entries.push_back(
                {.worker = worker,
                 .key = worker,
                 .cell = worker / 3,
                 .condition = up ? willowrill::Condition::ready : willowrill::Condition::draining});
        }
        host.handle_worker_list(std::move(news));
    }

    void finish() {
        pass(4s);
        while (!out_.empty()) {
            end(any_out(), Outcome::reset);
        }
        pass(50ms);
        CHECK(host.open_messages() == 0);
        CHECK(host.attempts_in_flight() == 0);
        const core::Counters& count = host.counters();
        CHECK(count.admitted == requesters.size());
        CHECK(count.admitted ==
              count.served + count.refused + count.failed + count.clients_left + count.overdue);
        CHECK(count.overdue == 0); // the module has ended every message itself
        for (const Requester& one : requesters) {
            CHECK(one.answers == (one.left ? 0 : 1));
            CHECK((!one.refused || one.maybe == 0 || one.effect == Effect::repeatable));
        }
        for (const auto& [id, requester] : by_id_) {
            CHECK_FALSE(host.holds(id)); // places are free again
        }
    }

    std::size_t served() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(requesters, [](auto& one) { return one.served; }));
    }

  private:
    using Key = std::pair<core::JobId, core::Index>;

    std::size_t pick(std::size_t below) { return random_() % below; }

    void arrive() { arrive(static_cast<core::Index>(pick(3))); }
    void end(Key key, Outcome outcome) {
        const auto found = out_.find(key);
        if (found == out_.end()) return;
        Requester& one = *found->second.requester;
        out_.erase(found);
        const bool open = one.answers == 0 && !one.left;
        const bool never_ran = outcome == Outcome::full || outcome == Outcome::connect_failed;
        if (never_ran) --one.maybe;
        const std::string result = "r" + std::to_string(key.first);
        host.attempt_ended(key.first, key.second, outcome, now, {}, result);
        if (outcome == Outcome::served) CHECK(one.served == (open || one.served));
        if (one.served && open) CHECK(one.result == result);
    }
    void note() {
        if (out_.empty()) return;
        const Key key = any_out();
        pick(2) == 0 ? host.attempt_started(key.first, key.second)
                     : host.attempt_progress(key.first, key.second, 0.5);
    }
    void leave(Requester& one) {
        one.left = true;
        host.client_left(one.job);
    }
    Key any_out() { return std::next(out_.begin(), static_cast<std::ptrdiff_t>(pick(out_.size())))->first; }
    std::map<Key, Out>::iterator expired() {
        return std::ranges::find_if(out_, [&](const auto& item) { return item.second.give_up <= now; });
    }
    Requester* any_open() {
        for (int i = 0; i < 5 && !requesters.empty(); ++i) {
            Requester& one = requesters[pick(requesters.size())];
            if (one.answers == 0 && !one.left) return &one;
        }
        return nullptr;
    }

    std::mt19937 random_;
    std::map<Key, Out> out_;
    std::map<std::string, Requester*> by_id_;
    core::Time last_batch_{0};

  public:
    core::Time now = 1000s;
    Host host;
    std::deque<Requester> requesters;
    bool watched = false;
};

} // namespace

TEST_CASE("every message ends once, in time and by the rules, under random steps") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        World world(seed);
        world.list(World::Kind::remembered);
        world.pass(2s);
        for (int i = 0; i < 400; ++i) {
            world.step();
        }
        world.finish();
        CHECK(world.watched);
        CHECK(world.served() > 0);
    }
}

TEST_CASE("the guard fails a message that is overdue, and nothing answers it again") {
    World world(1); // with no list, nothing can be sent
    World::Requester one;
    REQUIRE(world.host.admit({.id = "a", .deadline = world.now + 1s}, one, one.job));
    world.host.fail_overdue(one.job);
    world.host.fail_overdue(one.job);
    world.host.client_left(one.job);
    world.pass(2s);
    CHECK(one.answers == 1);
    CHECK(world.host.counters().overdue == 1);
    CHECK(world.host.counters().clients_left == 0);
    CHECK_FALSE(world.host.holds("a"));
}

// Clients of harmless jobs were told at the end that theirs had failed, as if a second run could do harm.
TEST_CASE(
    "what the end cuts short goes elsewhere where a second run is harmless, and fails where it is not") {
    for (const core::Index job_class : {0U, 2U}) {
        CAPTURE(job_class);
        World world(1);
        world.list();
        World::Requester* one = nullptr;
        for (int tries = 0; tries < 20 && (one == nullptr || one->maybe == 0); ++tries) {
            one = world.arrive(job_class);
            REQUIRE(one != nullptr);
            world.pass(20ms);
        }
        REQUIRE(one->maybe > 0); // it is at a worker
        world.host.abort_for_shutdown(one->job);
        CHECK(one->answers == 1);
        CHECK(one->refused == (job_class == 0));
    }
}

} // namespace willowrill::testing
