// The hard cases of shared counts, on the laboratory's network: the program's own code, in virtual time.
#include "lab/world.h"

#include <doctest/doctest.h>

#include <cmath>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;
using counts::Outcome;
using lab::World;

World::Options options(std::uint64_t seed) {
    World::Options out;
    out.link = {.delay_least = 1ms, .delay_most = 10ms};
    out.node.members = {.probe_period = 1s, .probe_timeout = 200ms, .forget_after = 3600s};
    out.node.counts_enabled = true;
    out.node.limits = {.max_skew = 50ms, .fold_after = 30s};
    out.node.exchange_interval = 250ms;
    out.node.rate = 1000;
    out.node.burst = 1000;
    out.node.bytes_per_second = 1'000'000;
    out.seed = seed;
    return out;
}

constexpr std::uint32_t tenants = 6;

// Of an instance that nobody has heard of, no bound can speak.
void start(World& world, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
        world.add();
    REQUIRE(world.run_until_done(
        [&] {
            for (std::size_t i = 0; i < size; ++i)
                if (world.node(i).count_store().life_count() < size) return false;
            return true;
        },
        100ms, 60s));
}

struct Watch { // of one instance: no total falls, none passes the truth, and the bounds hold
    void look(World& world, std::size_t at, bool also_high = true) {
        const counts::Totals totals = world.node(at).count_store().totals(world.now_of(at));
        for (std::uint32_t tenant = 0; tenant < tenants; ++tenant) {
            std::uint64_t low = 0;
            for (const counts::Total& row : totals.rows)
                if (row.tenant == World::tenant_name(tenant)) low += row.low;
            REQUIRE(low >= seen[tenant]);
            REQUIRE(low <= world.truth(tenant));
            if (also_high) REQUIRE(low + totals.slack >= world.truth(tenant));
            seen[tenant] = low;
        }
    }
    std::array<std::uint64_t, tenants> seen{};
};

void count_some(World& world) {
    for (std::size_t i = 0; i < world.size(); ++i) {
        if (!world.up(i)) continue;
        for (int n = 0; n < 5; ++n)
            world.count(i, world.random()(tenants), Outcome::served, 1 + world.random()(4));
    }
}

bool agreed(World& world) {
    if (!world.agree()) return false;
    for (std::size_t i = 0; i < world.size(); ++i) {
        if (!world.up(i)) continue;
        world.node(i).count_store().publish(world.now_of(i));
        for (std::uint32_t tenant = 0; tenant < tenants; ++tenant)
            if (world.node(i).count_store().low_total(World::tenant_name(tenant), "jobs", Outcome::served) !=
                world.truth(tenant))
                return false;
    }
    return true;
}

TEST_CASE("loss of a fifth, delays to 300 ms, duplicates and reorder: bounds kept, within 2% after 5 s, all "
          "agree") {
    auto given = options(11);
    given.link = {.loss = 0.2, .duplicate = 0.1, .delay_least = 0ms, .delay_most = 300ms};
    World world(given);
    start(world, 5);
    std::vector<Watch> watches(5);
    for (int step = 0; step < 300; ++step) {
        world.run_for(100ms);
        count_some(world);
        for (std::size_t i = 0; i < 5; ++i)
            watches[i].look(world, i);
    }
    const std::uint64_t truth = world.truth();
    world.run_for(5s);
    for (std::size_t i = 0; i < 5; ++i) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(i).count_store().totals(world.now_of(i)).rows)
            low += row.low;
        CHECK(static_cast<double>(low) >= 0.98 * static_cast<double>(truth));
    }
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 20s));
    CHECK(world.traffic().undecodable == 0);
}

TEST_CASE("one of five cut off for a minute counts on, and 5 s after it is back all know") {
    auto given = options(12);
    given.link.loss = 0.2;
    given.node.limits.fold_after = 300s;
    World world(given);
    start(world, 5);
    std::vector<Watch> watches(5);
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            world.run_for(200ms);
            count_some(world);
            for (std::size_t i = 0; i < 5; ++i)
                watches[i].look(world, i);
        }
    };
    run(20);
    world.cut_off(2, true);
    run(300);
    CHECK(world.node(0).members().has_unreachable_member());
    world.cut_off(2, false);
    run(5);
    const std::uint64_t truth = world.truth();
    world.run_for(4s); // it is dead to the others until a word of theirs reaches it
    for (std::size_t i = 0; i < 5; ++i) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(i).count_store().totals(world.now_of(i)).rows)
            low += row.low;
        CHECK(static_cast<double>(low) >= 0.98 * static_cast<double>(truth));
    }
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 60s));
}

TEST_CASE("a cut in halves: each half agrees, the bounds hold in both, and they become one again") {
    World world(options(13));
    start(world, 6);
    const auto cut = [&](bool is_cut) {
        for (std::size_t a = 0; a < 3; ++a) {
            for (std::size_t b = 3; b < 6; ++b) {
                world.cut(a, b, is_cut);
                world.cut(b, a, is_cut);
            }
        }
    };
    std::vector<Watch> watches(6);
    cut(true);
    for (int step = 0; step < 100; ++step) { // shorter than `fold_after`: the others may still count
        world.run_for(200ms);
        count_some(world);
        for (std::size_t i = 0; i < 6; ++i)
            watches[i].look(world, i);
    }
    cut(false);
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 60s));
}

TEST_CASE("a cut one way only: what one cannot hear, it learns through others") {
    World world(options(14));
    start(world, 4);
    world.cut(0, 1, true);
    for (int step = 0; step < 50; ++step) {
        world.run_for(200ms);
        count_some(world);
    }
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 20s));
}

TEST_CASE(
    "killed and restarted a hundred times, with and without state: nothing told is lost or counted twice") {
    auto given = options(15);
    given.link = {.loss = 0.05, .delay_least = 1ms, .delay_most = 50ms};
    given.node.limits.fold_after = 5s;
    World world(given);
    start(world, 4);
    std::vector<Watch> watches(4);
    std::uint64_t folds = 0;
    for (int death = 0; death < 100; ++death) {
        const std::size_t at = 1 + world.random()(3);
        for (int step = 0; step < 4; ++step) {
            world.run_for(300ms);
            count_some(world);
            // What a life told nobody is lost with it, and high stops allowing for that after `fold_after`.
            for (std::size_t i = 0; i < 4; ++i)
                watches[i].look(world, i, false);
        }
        const bool with_state = world.random()(2) == 0;
        if (with_state) world.save(at);
        folds += world.node(at).count_store().statistics().folds;
        world.kill(at);
        world.run_for(Time(static_cast<std::int64_t>(world.random()(1500)) * 1'000'000));
        world.restart(at, with_state);
        watches[at] = {};
    }
    world.run_for(60s);
    CHECK(world.run_until_done([&] { return world.agree(); }, 250ms, 60s));
    const auto sum = [&](std::size_t at) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(at).count_store().totals(world.now_of(at)).rows)
            low += row.low;
        return low;
    };
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(sum(i) == sum(0));
        CHECK(world.node(i).count_store().life_count() <= 8); // not a hundred: former lives are folded
        folds += world.node(i).count_store().statistics().folds;
    }
    CHECK(folds > 10);
    // Lost with a life is at most what it counted since its last exchange or so.
    CHECK(static_cast<double>(sum(0)) >= 0.9 * static_cast<double>(world.truth()));
}

TEST_CASE("two instances configured with one name: both are counted, none is folded") {
    auto given = options(16);
    given.node.limits.fold_after = 5s;
    World world(given);
    start(world, 3);
    world.add("i1");
    for (int step = 0; step < 100; ++step) {
        world.run_for(200ms);
        count_some(world);
    }
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 20s));
    CHECK(world.node(1).count_store().statistics().folds + world.node(3).count_store().statistics().folds ==
          0);
    CHECK(world.node(0).members().statistics().conflicts > 0);
}

TEST_CASE("clocks that are off by an hour at a restart: the lives stay in order, and all agree") {
    for (const Time jump : {Time(-3600s), Time(3600s)}) {
        auto given = options(17);
        World world(given);
        for (int i = 0; i < 3; ++i)
            world.add();
        world.run_for(3s);
        count_some(world);
        world.run_for(3s);
        world.kill(1);
        world.set_clock(1, jump);
        world.restart(1, false);
        for (int step = 0; step < 30; ++step) {
            world.run_for(200ms);
            count_some(world);
        }
        CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 20s));
        const auto in_order = [&] {
            std::uint64_t highest = 0;
            for (const auto& [id, member] : world.node(0).members().others())
                if (id.name == "i1") highest = std::max(highest, id.life);
            return world.node(1).members().self().id.life == highest &&
                   world.node(1).count_store().highest_other_life() <= highest;
        };
        CHECK(world.run_until_done(in_order, 100ms, 20s));
    }
}

TEST_CASE("one that leaves in order takes nothing with it") {
    World world(options(18));
    start(world, 4);
    count_some(world);
    world.leave(2); // at once, with counts that nobody has heard of
    world.run_for(300ms);
    world.kill(2);
    world.run_for(3s);
    CHECK(agreed(world));
    const counts::Totals totals = world.node(0).count_store().totals(world.now());
    CHECK(totals.slack < 3 * 1500); // it counts no more, and needs no allowance
}

TEST_CASE("a tight bound on bytes a second slows the news down and loses none of it") {
    auto given = options(19);
    given.node.bytes_per_second = 10'000;
    World world(given);
    start(world, 3);
    for (std::uint32_t tenant = 0; tenant < 400; ++tenant)
        world.count(0, tenant, Outcome::served);
    const std::uint64_t before = world.traffic(0).bytes;
    world.run_for(1s);
    CHECK(world.traffic(0).bytes - before < 30'000);
    CHECK(world.node(0).statistics().frames_held_back > 0);
    CHECK(world.run_until_done([&] { return agreed(world); }, 250ms, 120s));
}

} // namespace
} // namespace willowrill::gossip
