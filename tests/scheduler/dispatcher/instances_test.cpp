// Several modules in one process: each decides as it would alone, in turn with the others and beside them in
// threads. The module has no thread and no lock, so this also runs under ThreadSanitizer (`.ci/run`).
#include "support/check_property.h"
#include "support/rule_checker.h"

#include <string>
#include <thread>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

using Batches = std::vector<std::pair<Time, std::vector<Event>>>;

Settings settings_of(Index self) {
    Settings out = site_settings(self, 4);
    for (const Effect effect : {Effect::repeatable, Effect::keyed, Effect::once})
        out.classes.push_back({.effect = effect,
                               .repeat_scope = RepeatScope::cell,
                               .repeat_window = 10s,
                               .aim = 300ms,
                               .aim_stretch = 1.75,
                               .give_up = 5s});
    return out;
}

std::string text_of(const Action& action) {
    const auto number = [](auto value) { return std::to_string(value) + " "; };
    if (const auto* send = std::get_if<Send>(&action))
        return "send " + number(send->job) + number(send->worker);
    if (const auto* refuse = std::get_if<Refuse>(&action))
        return "refuse " + number(refuse->job) + number(refuse->retry_after.count());
    if (const auto* fail = std::get_if<Fail>(&action)) return "fail " + number(fail->job);
    if (const auto* cancel = std::get_if<Cancel>(&action))
        return "cancel " + number(cancel->job) + number(cancel->attempt);
    if (const auto* wake = std::get_if<Wake>(&action)) return "wake " + number(wake->at.count());
    return "other " + number(action.index());
}

class Instance {
  public:
    explicit Instance(Index self) : dispatcher_(settings_of(self)) {}
    void handle(const Batches::value_type& batch) {
        std::vector<Action> actions;
        dispatcher_.handle(batch.first, batch.second, actions);
        for (const Action& action : actions)
            said += text_of(action);
    }
    std::string said;

  private:
    Dispatcher dispatcher_;
};

Batches batches() {
    Batches out;
    EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
    for (WorkerId id = 0; id < 8; ++id)
        list.entries.push_back({.worker = id,
                                .key = std::uint64_t{id} * 77,
                                .kind = id % 2,
                                .zone = id / 2 % 2,
                                .cell = id / 2});
    out.push_back({1s, {list}});
    Time now = 1s;
    JobId next = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
        rc::gen::tuple(rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U)));
    for (const auto& [what, a, b] : steps) {
        now += 5ms + std::chrono::milliseconds(a);
        if (what < 4) {
            out.push_back(
                {now,
                 {JobArrived{.job = next++, .job_class = a % 3, .time_left = 3s, .slots = 1.0 + b % 3}}});
        } else if (what < 7 && next > 0) { // of an attempt that may not exist
            AttemptEnded ended{.job = b % next, .attempt = a % 2, .outcome = static_cast<Outcome>(a % 8)};
            ended.job_over = ended.outcome == Outcome::served;
            ended.report = Report{.utilisation = b / 100.0, .free_slots = a % 5};
            out.push_back({now, {ended}});
        } else {
            WorkerEntry entry = list.entries[a % 8];
            entry.condition = b % 2 == 0 ? Condition::ready : Condition::draining;
            entry.up_since = b % 3 == 0 ? now : Time(0);
            out.push_back({now, {EndpointListUpdate{EndpointListUpdate::Kind::changes, {entry}}}});
        }
    }
    return out;
}

} // namespace

TEST_CASE("instances decide alike alone, in turn and in threads") {
    constexpr Index count = 4;
    std::size_t said = 0;
    check_property("instances", 100, [&] {
        std::vector<Batches> news;
        std::vector<std::string> alone;
        for (Index self = 0; self < count; ++self) {
            news.push_back(batches());
            Instance instance(self);
            for (const auto& batch : news.back())
                instance.handle(batch);
            alone.push_back(instance.said);
            said += instance.said.size();
        }
        std::vector<std::unique_ptr<Instance>> in_turn, in_threads;
        std::size_t longest = 0;
        for (Index self = 0; self < count; ++self) {
            in_turn.push_back(std::make_unique<Instance>(self));
            in_threads.push_back(std::make_unique<Instance>(self));
            longest = std::max(longest, news[self].size());
        }
        for (std::size_t at = 0; at < longest; ++at) {
            for (Index self = 0; self < count; ++self)
                if (at < news[self].size()) in_turn[self]->handle(news[self][at]);
        }
        {
            std::vector<std::jthread> threads;
            for (Index self = 0; self < count; ++self)
                threads.emplace_back([&, self] {
                    for (const auto& batch : news[self])
                        in_threads[self]->handle(batch);
                });
        }
        for (Index self = 0; self < count; ++self) {
            RC_ASSERT(in_turn[self]->said == alone[self]);
            RC_ASSERT(in_threads[self]->said == alone[self]);
        }
    });
    CHECK(said > 100000); // else nothing was compared
}

} // namespace willowrill::testing
