// Tests of the replicated counts under network and process failures, on the laboratory's simulated network in
// virtual time.
#include "lab/world.h"

#include <doctest/doctest.h>

#include <cmath>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;
using counts::Outcome;
using lab::World;

World::Options options(std::uint64_t seed) {
    World::Options result;
    result.link = {.delay_least = 1ms, .delay_most = 10ms};
    result.node.members = {.probe_period = 1s, .probe_timeout = 200ms, .forget_after = 3600s};
    result.node.counts_enabled = true;
    result.node.limits = {.max_skew = 50ms, .fold_after = 30s};
    result.node.exchange_interval = 250ms;
    result.node.rate = 1000;
    result.node.burst = 1000;
    result.node.bytes_per_second = 1'000'000;
    result.seed = seed;
    return result;
}

constexpr std::uint32_t tenants = 6;

// Starts the instances and waits until all know each other, as the bounds include known instances only.
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

// Checks the totals of one instance: none decreases, none exceeds the true total, and the bounds hold.
struct TotalsChecker {
    void check(World& world, std::size_t at, bool check_high = true) {
        const counts::Totals totals = world.node(at).count_store().totals(world.now_of(at));
        for (std::uint32_t tenant = 0; tenant < tenants; ++tenant) {
            std::uint64_t low = 0;
            for (const counts::Total& row : totals.rows)
                if (row.tenant == World::tenant_name(tenant)) low += row.low;
            REQUIRE(low >= previous_low[tenant]);
            REQUIRE(low <= world.truth(tenant));
            if (check_high) REQUIRE(low + totals.slack >= world.truth(tenant));
            previous_low[tenant] = low;
        }
    }
    std::array<std::uint64_t, tenants> previous_low{};
};

// Counts random jobs at all running instances.
void count_random_jobs(World& world) {
    for (std::size_t i = 0; i < world.size(); ++i) {
        if (!world.up(i)) continue;
        for (int n = 0; n < 5; ++n)
            world.count(i, world.random()(tenants), Outcome::served, 1 + world.random()(4));
    }
}

// Whether all running instances have the true totals.
bool all_agree(World& world) {
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

TEST_CASE(
    "with 20% loss, delays up to 300 ms, duplicates and reordering, the bounds hold, totals are within 2% "
    "after 5 s, and all agree") {
    auto world_options = options(11);
    world_options.link = {.loss = 0.2, .duplicate = 0.1, .delay_least = 0ms, .delay_most = 300ms};
    World world(world_options);
    start(world, 5);
    std::vector<TotalsChecker> checkers(5);
    for (int step = 0; step < 300; ++step) {
        world.run_for(100ms);
        count_random_jobs(world);
        for (std::size_t i = 0; i < 5; ++i)
            checkers[i].check(world, i);
    }
    const std::uint64_t truth = world.truth();
    world.run_for(5s);
    for (std::size_t i = 0; i < 5; ++i) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(i).count_store().totals(world.now_of(i)).rows)
            low += row.low;
        CHECK(static_cast<double>(low) >= 0.98 * static_cast<double>(truth));
    }
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 20s));
    CHECK(world.traffic().undecodable == 0);
}

TEST_CASE(
    "an instance that is isolated for a minute counts on, and 5 s after its return all know its counts") {
    auto world_options = options(12);
    world_options.link.loss = 0.2;
    world_options.node.limits.fold_after = 300s;
    World world(world_options);
    start(world, 5);
    std::vector<TotalsChecker> checkers(5);
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            world.run_for(200ms);
            count_random_jobs(world);
            for (std::size_t i = 0; i < 5; ++i)
                checkers[i].check(world, i);
        }
    };
    run(20);
    world.cut_off(2, true);
    run(300);
    CHECK(world.node(0).members().has_unreachable_member());
    world.cut_off(2, false);
    run(5);
    const std::uint64_t truth = world.truth();
    world.run_for(4s); // the others consider it dead until one of their messages reaches it
    for (std::size_t i = 0; i < 5; ++i) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(i).count_store().totals(world.now_of(i)).rows)
            low += row.low;
        CHECK(static_cast<double>(low) >= 0.98 * static_cast<double>(truth));
    }
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 60s));
}

TEST_CASE("in a network partition the bounds hold on both sides, and the totals agree after it heals") {
    World world(options(13));
    start(world, 6);
    const auto set_partition = [&](bool is_cut) {
        for (std::size_t a = 0; a < 3; ++a) {
            for (std::size_t b = 3; b < 6; ++b) {
                world.cut(a, b, is_cut);
                world.cut(b, a, is_cut);
            }
        }
    };
    std::vector<TotalsChecker> checkers(6);
    set_partition(true);
    for (int step = 0; step < 100; ++step) { // shorter than `fold_after`, so the other side may still count
        world.run_for(200ms);
        count_random_jobs(world);
        for (std::size_t i = 0; i < 6; ++i)
            checkers[i].check(world, i);
    }
    set_partition(false);
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 60s));
}

TEST_CASE("with a one-way link failure, counts arrive through other instances") {
    World world(options(14));
    start(world, 4);
    world.cut(0, 1, true);
    for (int step = 0; step < 50; ++step) {
        world.run_for(200ms);
        count_random_jobs(world);
    }
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 20s));
}

TEST_CASE(
    "after 100 crashes and restarts, with and without state, no published count is lost or counted twice") {
    auto world_options = options(15);
    world_options.link = {.loss = 0.05, .delay_least = 1ms, .delay_most = 50ms};
    world_options.node.limits.fold_after = 5s;
    World world(world_options);
    start(world, 4);
    std::vector<TotalsChecker> checkers(4);
    std::uint64_t folds = 0;
    for (int crash = 0; crash < 100; ++crash) {
        const std::size_t at = 1 + world.random()(3);
        for (int step = 0; step < 4; ++step) {
            world.run_for(300ms);
            count_random_jobs(world);
            // Counts that a crashed life has not sent are lost, and `high` excludes them after `fold_after`.
            for (std::size_t i = 0; i < 4; ++i)
                checkers[i].check(world, i, false);
        }
        const bool with_state = world.random()(2) == 0;
        if (with_state) world.save(at);
        folds += world.node(at).count_store().statistics().folds;
        world.kill(at);
        world.run_for(Time(static_cast<std::int64_t>(world.random()(1500)) * 1'000'000));
        world.restart(at, with_state);
        checkers[at] = {};
    }
    world.run_for(60s);
    CHECK(world.run_until_done([&] { return world.agree(); }, 250ms, 60s));
    const auto total_low = [&](std::size_t at) {
        std::uint64_t low = 0;
        for (const counts::Total& row : world.node(at).count_store().totals(world.now_of(at)).rows)
            low += row.low;
        return low;
    };
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(total_low(i) == total_low(0));
        CHECK(world.node(i).count_store().life_count() <= 8); // earlier lives are folded
        folds += world.node(i).count_store().statistics().folds;
    }
    CHECK(folds > 10);
    // A crash loses about the counts since the last exchange.
    CHECK(static_cast<double>(total_low(0)) >= 0.9 * static_cast<double>(world.truth()));
}

TEST_CASE("two instances with the same name are both counted, and neither is folded") {
    auto world_options = options(16);
    world_options.node.limits.fold_after = 5s;
    World world(world_options);
    start(world, 3);
    world.add("i1");
    for (int step = 0; step < 100; ++step) {
        world.run_for(200ms);
        count_random_jobs(world);
    }
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 20s));
    CHECK(world.node(1).count_store().statistics().folds + world.node(3).count_store().statistics().folds ==
          0);
    CHECK(world.node(0).members().statistics().conflicts > 0);
}

TEST_CASE("with a clock that jumps by an hour at a restart, the lives stay in order and all agree") {
    for (const Time jump : {Time(-3600s), Time(3600s)}) {
        auto world_options = options(17);
        World world(world_options);
        for (int i = 0; i < 3; ++i)
            world.add();
        world.run_for(3s);
        count_random_jobs(world);
        world.run_for(3s);
        world.kill(1);
        world.set_clock(1, jump);
        world.restart(1, false);
        for (int step = 0; step < 30; ++step) {
            world.run_for(200ms);
            count_random_jobs(world);
        }
        CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 20s));
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

TEST_CASE("an instance that leaves orderly loses no counts") {
    World world(options(18));
    start(world, 4);
    count_random_jobs(world);
    world.leave(2); // immediately, with counts that were not sent yet
    world.run_for(300ms);
    world.kill(2);
    world.run_for(3s);
    CHECK(all_agree(world));
    const counts::Totals totals = world.node(0).count_store().totals(world.now());
    CHECK(totals.slack < 3 * 1500); // the ended life adds no slack
}

TEST_CASE("a low bytes_per_second delays counts but loses none") {
    auto world_options = options(19);
    world_options.node.bytes_per_second = 10'000;
    World world(world_options);
    start(world, 3);
    for (std::uint32_t tenant = 0; tenant < 400; ++tenant)
        world.count(0, tenant, Outcome::served);
    const std::uint64_t before = world.traffic(0).bytes;
    world.run_for(1s);
    CHECK(world.traffic(0).bytes - before < 30'000);
    CHECK(world.node(0).statistics().frames_held_back > 0);
    CHECK(world.run_until_done([&] { return all_agree(world); }, 250ms, 120s));
}

} // namespace
} // namespace willowrill::gossip
