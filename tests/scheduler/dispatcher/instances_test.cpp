// Several dispatchers in one process: each must make the same decisions when it runs alone, when its calls
// alternate with the others', and when each runs in a thread of its own. The dispatcher uses neither threads
// nor locks, so this test also runs under ThreadSanitizer (`.ci/run`).
#include "support/check_property.h"
#include "support/rule_checker.h"

#include <string>
#include <thread>

namespace willowrill::testing {
namespace {

using namespace std::chrono_literals;

using Batches = std::vector<std::pair<Time, std::vector<Event>>>;

Settings settings_of(Index self) {
    Settings result = site_settings(self, 4);
    for (const Effect effect : {Effect::repeatable, Effect::keyed, Effect::once})
        result.classes.push_back({.effect = effect,
                                  .repeat_scope = RepeatScope::cell,
                                  .repeat_window = 10s,
                                  .aim = 300ms,
                                  .aim_stretch = 1.75,
                                  .give_up = 5s});
    return result;
}

// A description of the action that is equal for equal actions.
std::string describe(const Action& action) {
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

// A dispatcher that records its actions as text.
class Instance {
  public:
    explicit Instance(Index self) : dispatcher_(settings_of(self)) {}
    void handle(const Batches::value_type& batch) {
        std::vector<Action> actions;
        dispatcher_.handle(batch.first, batch.second, actions);
        for (const Action& action : actions)
            recorded_actions += describe(action);
    }
    std::string recorded_actions;

  private:
    Dispatcher dispatcher_;
};

// Random batches of events for one dispatcher, which start with the worker list.
Batches generate_batches() {
    Batches result;
    EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
    for (WorkerId id = 0; id < 8; ++id)
        list.entries.push_back({.worker = id,
                                .key = std::uint64_t{id} * 77,
                                .kind = id % 2,
                                .zone = id / 2 % 2,
                                .cell = id / 2});
    result.push_back({1s, {list}});
    Time now = 1s;
    JobId next_job = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
        rc::gen::tuple(rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 100U)));
    for (const auto& [kind, a, b] : steps) {
        now += 5ms + std::chrono::milliseconds(a);
        if (kind < 4) {
            result.push_back(
                {now,
                 {JobArrived{.job = next_job++, .job_class = a % 3, .time_left = 3s, .slots = 1.0 + b % 3}}});
        } else if (kind < 7 && next_job > 0) { // the attempt may not exist
            AttemptEnded ended{.job = b % next_job, .attempt = a % 2, .outcome = static_cast<Outcome>(a % 8)};
            ended.job_over = ended.outcome == Outcome::served;
            ended.report = Report{.utilisation = b / 100.0, .free_slots = a % 5};
            result.push_back({now, {ended}});
        } else {
            WorkerEntry entry = list.entries[a % 8];
            entry.condition = b % 2 == 0 ? Condition::ready : Condition::draining;
            entry.up_since = b % 3 == 0 ? now : Time(0);
            result.push_back({now, {EndpointListUpdate{EndpointListUpdate::Kind::changes, {entry}}}});
        }
    }
    return result;
}

} // namespace

TEST_CASE("instances make the same decisions alone, alternating and in threads") {
    constexpr Index instance_count = 4;
    std::size_t recorded_size = 0;
    check_property("instances", 100, [&] {
        std::vector<Batches> batches;
        std::vector<std::string> expected_actions;
        for (Index self = 0; self < instance_count; ++self) {
            batches.push_back(generate_batches());
            Instance instance(self);
            for (const auto& batch : batches.back())
                instance.handle(batch);
            expected_actions.push_back(instance.recorded_actions);
            recorded_size += instance.recorded_actions.size();
        }
        std::vector<std::unique_ptr<Instance>> alternating, threaded;
        std::size_t max_batch_count = 0;
        for (Index self = 0; self < instance_count; ++self) {
            alternating.push_back(std::make_unique<Instance>(self));
            threaded.push_back(std::make_unique<Instance>(self));
            max_batch_count = std::max(max_batch_count, batches[self].size());
        }
        for (std::size_t index = 0; index < max_batch_count; ++index) {
            for (Index self = 0; self < instance_count; ++self)
                if (index < batches[self].size()) alternating[self]->handle(batches[self][index]);
        }
        {
            std::vector<std::jthread> threads;
            for (Index self = 0; self < instance_count; ++self)
                threads.emplace_back([&, self] {
                    for (const auto& batch : batches[self])
                        threaded[self]->handle(batch);
                });
        }
        for (Index self = 0; self < instance_count; ++self) {
            RC_ASSERT(alternating[self]->recorded_actions == expected_actions[self]);
            RC_ASSERT(threaded[self]->recorded_actions == expected_actions[self]);
        }
    });
    CHECK(recorded_size > 100000); // otherwise too little was compared
}

} // namespace willowrill::testing
