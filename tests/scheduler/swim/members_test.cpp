// Tests of the membership protocol on the laboratory's simulated network, in virtual time.
#include "lab/world.h"

#include <doctest/doctest.h>

namespace willowrill::swim {
namespace {

using namespace std::chrono_literals;
using lab::World;

World::Options options(std::uint64_t seed, double loss = 0) {
    World::Options result;
    result.link = {.loss = loss, .delay_least = 1ms, .delay_most = 20ms};
    result.node.members = {.probe_period = 1s, .probe_timeout = 200ms, .forget_after = 3600s, .seeds = {}};
    result.node.exchange_interval = 3600s;
    result.seed = seed;
    return result;
}

// The state of `subject` in the view of `reader`; `left` if it is unknown there.
State state_at(World& world, std::size_t reader, std::size_t subject) {
    const Member& self = world.node(subject).members().self();
    const auto& others = world.node(reader).members().others();
    const auto found = others.find(self.id);
    return found == others.end() ? State::left : found->second.state;
}

// Starts the instances and waits until each sees all of them as alive.
void start(World& world, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
        world.add();
    REQUIRE(world.run_until_done([&] { return world.all_see(size); }, 100ms, 60s));
}

TEST_CASE("instances that start find each other through a seed") {
    for (const std::size_t size : {2, 5, 40}) {
        World world(options(size));
        start(world, size);
    }
}

TEST_CASE("all members detect a crashed member within the suspicion timeout") {
    World world(options(1));
    start(world, 10);
    world.kill(4);
    CHECK(world.run_until_done([&] { return world.all_see(9); }, 100ms, 60s));
    CHECK(world.node(0).members().statistics().refuted == 0);
}

TEST_CASE("a member that leaves is never suspected") {
    World world(options(2));
    start(world, 10);
    world.leave(3);
    world.run_for(300ms);
    world.kill(3);
    CHECK(world.run_until_done([&] { return world.all_see(9); }, 50ms, 10s));
    std::uint64_t suspected = 0;
    for (std::size_t i = 0; i < 10; ++i)
        if (world.up(i)) suspected += world.node(i).members().statistics().suspected;
    CHECK(suspected == 0);
}

TEST_CASE("with heavy packet loss no running member stays dead") {
    World world(options(3, 0.2));
    start(world, 12);
    world.run_for(300s);
    world.set_link({.delay_least = 1ms, .delay_most = 20ms});
    CHECK(world.run_until_done([&] { return world.all_see(12); }, 1s, 120s));
}

TEST_CASE("indirect probes reach a member that is unreachable only for its prober") {
    World world(options(4));
    start(world, 6);
    world.cut(0, 1, true);
    world.cut(1, 0, true);
    world.run_for(120s);
    for (std::size_t i = 2; i < 6; ++i)
        CHECK(state_at(world, i, 1) == State::alive);
    std::uint64_t indirect = 0;
    for (std::size_t i = 0; i < 6; ++i)
        indirect += world.node(i).members().statistics().indirect_probes;
    CHECK(indirect > 0);
    CHECK(state_at(world, 0, 1) == State::alive);
}

TEST_CASE("a member that was isolated and declared dead refutes that when it is reachable again") {
    World world(options(5));
    start(world, 5);
    world.cut_off(2, true);
    world.run_for(120s);
    CHECK(state_at(world, 0, 2) == State::dead);
    world.cut_off(2, false);
    CHECK(world.run_until_done([&] { return world.all_see(5); }, 1s, 60s));
    CHECK(world.node(2).members().statistics().refuted > 0);
}

TEST_CASE("two partitions merge when the network heals") {
    World world(options(6));
    start(world, 8);
    for (std::size_t a = 0; a < 4; ++a) {
        for (std::size_t b = 4; b < 8; ++b) {
            world.cut(a, b, true);
            world.cut(b, a, true);
        }
    }
    world.run_for(180s);
    CHECK(world.all_see(4));
    for (std::size_t a = 0; a < 8; ++a)
        for (std::size_t b = 0; b < 8; ++b)
            world.cut(a, b, false);
    CHECK(world.run_until_done([&] { return world.all_see(8); }, 1s, 120s));
}

TEST_CASE("a restart under the same name is distinguished from the previous life at once") {
    World world(options(7));
    start(world, 5);
    const MemberId previous_life = world.node(3).members().self().id;
    world.kill(3);
    world.restart(3, false);
    world.run_for(5s);
    CHECK(world.all_see(5));
    const auto& others = world.node(0).members().others();
    REQUIRE(others.contains(previous_life));
    CHECK(others.at(previous_life).state == State::dead);
    CHECK_FALSE(world.node(0).members().has_unreachable_member());
}

TEST_CASE("two instances with one name are both members, and the conflict is counted") {
    World world(options(8));
    start(world, 4);
    world.add("i2");
    world.run_for(30s);
    CHECK(world.all_see(5));
    CHECK(world.node(0).members().statistics().conflicts > 0);
}

TEST_CASE("a dead member is reported as unreachable until it is removed") {
    auto settings = options(9);
    settings.node.members.forget_after = 60s;
    World world(settings);
    start(world, 4);
    CHECK_FALSE(world.node(0).members().has_unreachable_member());
    world.kill(1);
    world.run_for(40s);
    CHECK(world.node(0).members().has_unreachable_member());
    world.run_for(120s);
    CHECK_FALSE(world.node(0).members().has_unreachable_member());
    CHECK(world.node(0).members().others().size() == 2);
}

TEST_CASE("received updates respect the member limit, and invalid ones are ignored") {
    Swim swim({.probe_period = 1s, .probe_timeout = 100ms, .max_members = 10, .seeds = {}}, {"self", 1},
              {1, 1}, 1, 0s);
    Message message{.kind = MessageKind::sync};
    for (std::uint32_t i = 0; i < 100; ++i)
        message.updates.push_back({{"m" + std::to_string(i), i + 1}, {i + 2, 1}});
    message.updates.push_back({{"", 1}, {1, 1}});
    message.updates.push_back({{"x", 0}, {1, 1}});
    message.updates.push_back({{std::string(100, 'x'), 1}, {1, 1}});
    Actions actions;
    swim.receive(0s, {2, 1}, message, actions);
    CHECK(swim.others().size() == 9);
    CHECK(swim.statistics().over_limit == 91);
}

TEST_CASE("an instance that receives its own death report raises its incarnation above the reported one") {
    Swim swim({.probe_period = 1s, .probe_timeout = 100ms, .seeds = {}}, {"self", 1}, {1, 1}, 1, 0s);
    Actions actions;
    swim.receive(
        0s, {2, 1},
        {.kind = MessageKind::ping, .sequence = 5, .updates = {{{"self", 1}, {1, 1}, State::dead, 7}}},
        actions);
    CHECK(swim.self().incarnation == 8);
    REQUIRE(actions.sends.size() == 1);
    CHECK(actions.sends[0].message.kind == MessageKind::ack);
    CHECK(actions.sends[0].message.sequence == 5);
    REQUIRE(actions.sends[0].message.updates.size() == 1);
    CHECK(actions.sends[0].message.updates[0].incarnation == 8);
}

} // namespace
} // namespace willowrill::swim
