// The choice of a worker, against a plain reading of the rule, and homes of readings.
#include "system/distribution/home_schedulers.h"
#include "system/routing/selector.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <random>
#include <string>

using namespace willowrill;
using namespace willowrill::routing;

namespace {

struct Scene {
    Scene() {
        service.name = "s";
        service.has_engine = true;
        service.cache_tokens = 100000;
        route.distribution = {{"s", 1}};
        request.route = &route;
        request.service = &service;
        bounds.evacuated = &evacuated;
        bounds.cold_rank = [](const std::string&) { return std::size_t{0}; };
    }
    Worker& add(const std::string& id, const std::string& zone) {
        Worker& worker = workers[id];
        worker.instance.id = id;
        worker.instance.service = "s";
        worker.instance.zone = zone;
        worker.instance.capacity = 10;
        return worker;
    }
    std::string choose(int at_ms = 1000) {
        const Selection selection = selector.choose(Time(at_ms), workers, request, bounds, cold);
        return selection.worker == nullptr ? "" : selection.worker->instance.id;
    }

    Selector selector{
        {"north-a", "north", {{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}}, 1};
    Workers workers;
    configuration::Route route;
    configuration::Service service;
    std::set<std::string> evacuated;
    RoutingRequest request;
    SelectionLimits bounds;
    budget::ColdBudget cold{{1.5, 5}};
};

LoadReport reading(int as_of, std::size_t active) {
    LoadReport out;
    out.as_of = Time(as_of);
    out.active = active;
    return out;
}

membership::Lease member(const std::string& node, const std::string& zone, const std::string& region) {
    membership::Lease out;
    out.node = node;
    out.zone = zone;
    out.region = region;
    out.phase = membership::Phase::ready;
    return out;
}

} // namespace

Test(plud, the_lowest_sum_wins) {
    Scene scene;
    scene.add("a", "north-a").take(reading(900, 5));
    scene.add("b", "north-a").take(reading(900, 3));
    scene.add("c", "north-a").take(reading(900, 4));
    expect_text(scene.choose().c_str(), "b");
}

// A worker whose prompts wait to be read is later than one whose places are taken.
Test(plud, prompts_that_wait_to_be_read_count_as_the_time_they_take) {
    Scene scene;
    scene.route.target = std::chrono::milliseconds(1000);
    scene.request.prompt.input_tokens = 1000;
    LoadReport waiting = reading(900, 0);
    waiting.queued = 2;
    scene.add("a", "north-a").take(waiting);
    scene.add("b", "north-a").take(reading(900, 3));
    PrefillCost prefill;
    scene.request.prefill = &prefill;
    expect_text(scene.choose(), "a", "nothing is learned yet");
    for (int i = 0; i < 20; ++i) {
        prefill.note_dispatch(1000);
        prefill.note_answer(std::chrono::milliseconds(200), 1000);
    }
    cr_assert_float_eq(prefill.milliseconds(500), 100, 1);
    expect_text(scene.choose(), "b", "two prompts of 0.2 s against three places of ten");
    scene.route.target = std::chrono::milliseconds(10'000);
    expect_text(scene.choose(), "a");
}

Test(plud, a_holder_reads_less_and_is_left_only_for_a_much_shorter_wait) {
    Scene scene;
    scene.route.target = std::chrono::milliseconds(1000);
    scene.request.prompt = read_prompt("ab:3000,cd:1000", "4000,10");
    cr_assert_eq(scene.request.prompt.input_tokens, 4000U);
    PrefillCost prefill;
    for (int i = 0; i < 20; ++i)
        prefill.note_answer(std::chrono::milliseconds(100), 1000);
    scene.request.prefill = &prefill;
    scene.add("a", "north-a").take(reading(900, 0));
    const Selection holder =
        scene.selector.choose(Time(1000), scene.workers, scene.request, scene.bounds, scene.cold);
    cr_assert(holder.tier == Tier::cache_holder);
    cr_assert_eq(holder.tokens_to_read, 1000U);
    cr_assert(holder.nothing_waits);
    // 200 ms of waiting at the holder, then 600, against none at another.
    prefill.note_dispatch(1000);
    LoadReport waiting = reading(950, 0);
    scene.add("b", "north-a").take(reading(950, 0));
    const std::string held = scene.choose();
    waiting.as_of = Time(960);
    waiting.queued = 2;
    scene.workers.at(held).take(waiting);
    expect_text(scene.choose(), held);
    waiting.as_of = Time(970);
    waiting.queued = 6;
    scene.workers.at(held).take(waiting);
    expect_other_text(scene.choose(), held);
    scene.workers.erase("b");
    scene.request.prompt.shared_key.clear();
    const Selection zone =
        scene.selector.choose(Time(1000), scene.workers, scene.request, scene.bounds, scene.cold);
    cr_assert_eq(zone.tokens_to_read, 4000U);
}

Test(prefill, no_answer_or_nonsense_is_no_cost) {
    PrefillCost cost;
    cr_assert_eq(cost.milliseconds(1'000'000), 0);
    for (int i = 0; i < 100; ++i)
        cost.note_answer(std::chrono::milliseconds(100), 0);
    cr_assert_eq(cost.milliseconds(1'000'000), 0);
    cr_assert_eq(cost.mean_milliseconds(), 0);
}

// Found in the account of parts read again: a region that is no home of a route sent each prompt anywhere.
Test(plud, where_no_worker_is_near_the_holder_is_the_one_of_its_own_region) {
    Scene scene;
    scene.route.home_regions = {"south"};
    for (const char* id : {"a", "b", "c", "d"})
        scene.add(id, "south-a").take(reading(900, 2));
    scene.add("near", "north-a").take(reading(900, 0));
    Selector south{{"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2};
    std::set<std::string> holders;
    for (int key = 0; key < 40; ++key) {
        scene.request.prompt = read_prompt(fmt::format("{:x}:500,cd:1000", key), "1500,10");
        const Selection there =
            south.choose(Time(1000), scene.workers, scene.request, scene.bounds, scene.cold);
        cr_assert(there.tier == Tier::cache_holder);
        expect_text(scene.choose(), there.worker->instance.id);
        holders.insert(there.worker->instance.id);
    }
    cr_assert_eq(holders.size(), 4U);
    // One that is loaded is left for others that are as far.
    scene.request.prompt = read_prompt("7:500,cd:1000", "1500,10");
    const std::string holder = scene.choose();
    scene.workers.at(holder).take(reading(950, 8));
    expect_other_text(scene.choose(), holder);
}

// One that another instance answers for never comes back under its id.
Test(plud, an_instance_that_is_gone_is_not_chosen_again) {
    Scene scene;
    scene.add("a", "north-a").replaced = true;
    expect_text(scene.choose(), "");
    scene.add("b", "south-a");
    expect_text(scene.choose(), "b");
}

Test(plud, own_dispatches_count_until_a_report_shows_them) {
    Scene scene;
    scene.add("a", "north-a").take(reading(900, 0));
    scene.add("b", "north-a").take(reading(900, 1));
    scene.workers["a"].note_dispatch(Time(950), 0.2);
    expect_text(scene.choose().c_str(), "b");
    scene.workers["a"].take(reading(940, 0)); // from before the dispatch
    expect_text(scene.choose().c_str(), "b");
    scene.workers["a"].take(reading(960, 0));
    expect_text(scene.choose().c_str(), "a");
    cr_assert_eq(scene.workers["a"].degradation(), 0.0);
}

Test(plud, an_older_report_does_not_replace_a_newer_one) {
    Scene scene;
    Worker& worker = scene.add("a", "north-a");
    worker.take(reading(900, 5));
    worker.take(reading(800, 1));
    cr_assert_eq(worker.load_report->active, 5U);
}

Test(plud, tiers_rank_by_region_and_by_who_holds_the_prompt) {
    Scene scene;
    scene.add("far", "south-a").take(reading(900, 0));
    scene.add("near", "north-b").take(reading(900, 4));
    expect_text(scene.choose().c_str(), "near");
    scene.workers["near"].take(reading(950, 30)); // far over its capacity
    expect_text(scene.choose().c_str(), "far");
}

Test(plud, kin_of_a_prompt_go_to_one_worker_until_it_is_loaded) {
    Scene scene;
    for (const char* id : {"a", "b", "c", "d"})
        scene.add(id, "north-a").take(reading(900, 0));
    scene.request.prompt = read_prompt("0a:100,0b:50,0c:7", "157,20");
    const std::string holder = scene.choose();
    for (int i = 0; i < 20; ++i)
        expect_text(scene.choose().c_str(), holder.c_str());
    scene.request.prompt = read_prompt("0a:100,0b:50,0d:9", "159,20"); // the last part is its own
    expect_text(scene.choose().c_str(), holder.c_str());
    scene.workers[holder].take(reading(950, 3));
    expect_other_text(scene.choose().c_str(), holder.c_str());
}

Test(plud, a_long_shared_prompt_has_one_holder_in_all_regions) {
    Scene north;
    Selector south({"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2);
    for (int i = 0; i < 6; ++i)
        north.add("w" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a").take(reading(900, 0));
    for (int key = 0; key < 30; ++key) {
        north.request.prompt = read_prompt("k" + std::to_string(key) + ":5000,x:1", "5001,10");
        const Selection there =
            south.choose(Time(1000), north.workers, north.request, north.bounds, north.cold);
        expect_text(north.choose().c_str(), there.worker->instance.id.c_str());
    }
}

// Random scenes: the choice is one of the best by a plain sum over those that may have the request.
Test(plud, agrees_with_a_plain_search) {
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        Scene scene;
        const std::vector<std::string> zones{"north-a", "north-b", "south-a"};
        for (int i = 0; i < 8; ++i) {
            Worker& worker = scene.add("w" + std::to_string(i), zones[random() % 3]);
            worker.take(reading(900, random() % 15));
            if (random() % 4 == 0) worker.note_dispatch(Time(950), 0.1 * static_cast<double>(random() % 5));
            if (random() % 5 == 0) worker.instance.state = discovery::InstanceState::draining;
            if (random() % 5 == 0) scene.request.tried.insert(worker.instance.id);
        }
        if (random() % 2 == 0) scene.route.home_regions = {"north"};
        if (random() % 4 == 0) scene.evacuated = {"north-b"};
        double best = 1e9;
        std::map<std::string, double> sums;
        for (const auto& [id, worker] : scene.workers) {
            const std::string& zone = worker.instance.zone;
            if (worker.instance.state == discovery::InstanceState::draining) continue;
            if (scene.request.tried.contains(id) || scene.evacuated.contains(zone)) continue;
            if (!scene.route.home_regions.empty() && zone == "south-a") continue;
            const double tier = zone == "north-a" ? 0.1 : zone == "north-b" ? 0.2 : 1.0;
            sums[id] = static_cast<double>(worker.load_report->active) / 10 + tier + worker.degradation();
            best = std::min(best, sums[id]);
        }
        const std::string chosen = scene.choose();
        cr_assert_eq(chosen.empty(), sums.empty(), "round %d", round);
        if (!chosen.empty())
            cr_assert_float_eq(sums.at(chosen), best, 1e-9, "round %d: %s", round, chosen.c_str());
    }
}

Test(eligibility, who_failed_or_was_full_comes_last) {
    Scene scene;
    scene.add("a", "north-a").take(reading(900, 0));
    scene.add("b", "north-a").take(reading(900, 9));
    scene.workers["a"].note_failure(Time(1000));
    expect_text(scene.choose(1001).c_str(), "b");
    scene.workers["b"].note_full(Time(1001));
    expect_other_text(scene.choose(1002).c_str(), "", "whoever is left is better than nobody");
    expect_text(scene.choose(1600).c_str(), "a", "and its rest ends");
    scene.workers["a"].note_success();
    cr_assert_not(scene.workers["a"].ejected(Time(1001)));
}

Test(eligibility, a_cold_worker_gets_its_share_alone) {
    Scene scene;
    scene.service.cold_rate_per_s = 10;
    scene.add("cold", "north-a").warming_until = Time(5000);
    scene.bounds.schedulers = 12;
    expect_text(scene.choose(1000).c_str(), "cold");
    scene.cold.note_send(Time(1000), "cold");
    expect_text(scene.choose(1500).c_str(), "");
    expect_text(scene.choose(2300).c_str(), "cold");
    expect_text(scene.choose(5000).c_str(), "cold", "and warm again it is bounded no more");
}

Test(prompt, nonsense_counts_as_nothing) {
    const Prompt prompt = read_prompt("a:99999999999999999999999,b:x,c", "many");
    cr_assert_eq(prompt.tokens, 0U);
    expect_text(prompt.shared_key.c_str(), "b");
    cr_assert_leq(prompt.shared_tokens, 1U << 30U);
    expect_text(read_prompt("own:5", "5,5").shared_key.c_str(), "");
}

Test(weights, services_are_drawn_by_them) {
    Scene scene;
    scene.route.distribution = {{"s", 90}, {"t", 10}, {"u", 0}};
    std::map<std::string, int> drawn;
    for (int i = 0; i < 10000; ++i)
        ++drawn[scene.selector.pick_service(scene.route)];
    cr_assert_eq(drawn["u"], 0);
    cr_assert(drawn["t"] > 850 && drawn["t"] < 1150, "%d of 10000", drawn["t"]);
}

Test(homes, one_for_all_in_the_zone_and_another_when_it_is_silent) {
    const std::vector<membership::Lease> members{member("a", "z1", "r"), member("b", "z1", "r"),
                                                 member("c", "z1", "r"), member("d", "z2", "r")};
    const auto order = distribution::home_schedulers(members, "s", "z1", {});
    cr_assert_eq(order.size(), 3U);
    const auto round = distribution::home_schedulers(members, "s", "z1", {order[0].node});
    expect_text(round[0].node.c_str(), order[1].node.c_str());
    expect_text(round[2].node.c_str(), order[0].node.c_str());
}

Test(homes, workers_of_a_zone_without_schedulers_are_probed_from_their_region) {
    const std::vector<membership::Lease> members{member("a", "z1", "r1"), member("b", "z2", "r2")};
    expect_text(distribution::probing_zone(members, "z1", "r1").c_str(), "z1");
    expect_text(distribution::probing_zone(members, "z3", "r2").c_str(), "z2");
    expect_other_text(distribution::probing_zone(members, "z9", "r9").c_str(), "");
    expect_text(distribution::probing_zone({}, "z1", "r1").c_str(), "");
}
