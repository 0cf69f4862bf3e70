// The selection of a worker, against a plain reading of the rule.
#include "routing/routing_scene.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace willowrill;
using namespace willowrill::routing;

Test(selector, the_lowest_score_is_selected) {
    Scene scene;
    scene.add("a", "north-a").apply_report(report(900, 5));
    scene.add("b", "north-a").apply_report(report(900, 3));
    scene.add("c", "north-a").apply_report(report(900, 4));
    expect_text(scene.choose().c_str(), "b");
}

// A worker whose prompts wait for their prefill answers later than one whose places are taken.
Test(selector, waiting_prompts_count_as_the_time_of_their_prefill) {
    Scene scene;
    scene.route.target = std::chrono::milliseconds(1000);
    scene.request.prompt.input_tokens = 1000;
    LoadReport waiting = report(900, 0);
    waiting.queued = 2;
    scene.add("a", "north-a").apply_report(waiting);
    scene.add("b", "north-a").apply_report(report(900, 3));
    PrefillCost prefill;
    scene.request.prefill_cost = &prefill;
    expect_text(scene.choose(), "a", "nothing is learned yet");
    for (int i = 0; i < 20; ++i) {
        prefill.record_dispatch(1000);
        prefill.record_response_start(std::chrono::milliseconds(200), 1000);
    }
    cr_assert_float_eq(prefill.milliseconds(500), 100, 1);
    expect_text(scene.choose(), "b", "two prompts of 0.2 s against three places of ten");
    scene.route.target = std::chrono::milliseconds(10'000);
    expect_text(scene.choose(), "a");
}

Test(selector, a_cache_holder_prefills_less_and_is_left_only_for_a_much_shorter_wait) {
    Scene scene;
    scene.route.target = std::chrono::milliseconds(1000);
    scene.request.prompt = parse_prompt("ab:3000,cd:1000", "4000,10");
    cr_assert_eq(scene.request.prompt.input_tokens, 4000U);
    PrefillCost prefill;
    for (int i = 0; i < 20; ++i)
        prefill.record_response_start(std::chrono::milliseconds(100), 1000);
    scene.request.prefill_cost = &prefill;
    scene.add("a", "north-a").apply_report(report(900, 0));
    const Selection holder =
        scene.selector.choose(Time(1000), scene.workers, scene.request, scene.limits, scene.cold);
    cr_assert(holder.tier == Tier::cache_holder);
    cr_assert_eq(holder.tokens_to_prefill, 1000U);
    cr_assert(holder.queue_empty);
    // 200 ms of waiting at the holder, then 600, against none at another.
    prefill.record_dispatch(1000);
    LoadReport waiting = report(950, 0);
    scene.add("b", "north-a").apply_report(report(950, 0));
    const std::string cached_at = scene.choose();
    waiting.as_of = Time(960);
    waiting.queued = 2;
    scene.workers.at(cached_at).apply_report(waiting);
    expect_text(scene.choose(), cached_at);
    waiting.as_of = Time(970);
    waiting.queued = 6;
    scene.workers.at(cached_at).apply_report(waiting);
    expect_other_text(scene.choose(), cached_at);
    scene.workers.erase("b");
    scene.request.prompt.shared_key.clear();
    const Selection zone =
        scene.selector.choose(Time(1000), scene.workers, scene.request, scene.limits, scene.cold);
    cr_assert_eq(zone.tokens_to_prefill, 4000U);
}

// Found in the account of parts prefilled again: a region that is no home of a route sent each prompt
// anywhere.
Test(selector, without_workers_in_the_own_region_the_cache_holder_is_that_of_its_region) {
    Scene scene;
    scene.route.home_regions = {"south"};
    for (const char* id : {"a", "b", "c", "d"})
        scene.add(id, "south-a").apply_report(report(900, 2));
    scene.add("near", "north-a").apply_report(report(900, 0));
    Selector south{{"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2};
    std::set<std::string> holders;
    for (int key = 0; key < 40; ++key) {
        scene.request.prompt = parse_prompt(fmt::format("{:x}:500,cd:1000", key), "1500,10");
        const Selection there =
            south.choose(Time(1000), scene.workers, scene.request, scene.limits, scene.cold);
        cr_assert(there.tier == Tier::cache_holder);
        expect_text(scene.choose(), there.worker->instance.id);
        holders.insert(there.worker->instance.id);
    }
    cr_assert_eq(holders.size(), 4U);
    // A loaded cache holder is left for others that are as far.
    scene.request.prompt = parse_prompt("7:500,cd:1000", "1500,10");
    const std::string holder = scene.choose();
    scene.workers.at(holder).apply_report(report(950, 8));
    expect_other_text(scene.choose(), holder);
}

// An instance whose address another one answers at never comes back under its id.
Test(selector, a_replaced_instance_is_not_selected_again) {
    Scene scene;
    scene.add("a", "north-a").replaced = true;
    expect_text(scene.choose(), "");
    scene.add("b", "south-a");
    expect_text(scene.choose(), "b");
}

Test(selector, own_dispatches_count_until_a_report_shows_them) {
    Scene scene;
    scene.add("a", "north-a").apply_report(report(900, 0));
    scene.add("b", "north-a").apply_report(report(900, 1));
    scene.workers["a"].record_dispatch(Time(950), 0.2);
    expect_text(scene.choose().c_str(), "b");
    scene.workers["a"].apply_report(report(940, 0)); // from before the dispatch
    expect_text(scene.choose().c_str(), "b");
    scene.workers["a"].apply_report(report(960, 0));
    expect_text(scene.choose().c_str(), "a");
    cr_assert_eq(scene.workers["a"].dispatch_degradation(), 0.0);
}

Test(selector, the_own_region_is_preferred_until_it_is_overloaded) {
    Scene scene;
    scene.add("far", "south-a").apply_report(report(900, 0));
    scene.add("near", "north-b").apply_report(report(900, 4));
    expect_text(scene.choose().c_str(), "near");
    scene.workers["near"].apply_report(report(950, 30)); // far over its capacity
    expect_text(scene.choose().c_str(), "far");
}

Test(selector, requests_with_the_same_shared_prompt_go_to_one_worker_until_it_is_loaded) {
    Scene scene;
    for (const char* id : {"a", "b", "c", "d"})
        scene.add(id, "north-a").apply_report(report(900, 0));
    scene.request.prompt = parse_prompt("0a:100,0b:50,0c:7", "157,20");
    const std::string holder = scene.choose();
    for (int i = 0; i < 20; ++i)
        expect_text(scene.choose().c_str(), holder.c_str());
    scene.request.prompt = parse_prompt("0a:100,0b:50,0d:9", "159,20"); // the last part is its own
    expect_text(scene.choose().c_str(), holder.c_str());
    scene.workers[holder].apply_report(report(950, 3));
    expect_other_text(scene.choose().c_str(), holder.c_str());
}

Test(selector, a_long_shared_prompt_has_one_cache_holder_in_all_regions) {
    Scene north;
    Selector south({"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2);
    for (int i = 0; i < 6; ++i)
        north.add("w" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a").apply_report(report(900, 0));
    for (int key = 0; key < 30; ++key) {
        north.request.prompt = parse_prompt("k" + std::to_string(key) + ":5000,x:1", "5001,10");
        const Selection there =
            south.choose(Time(1000), north.workers, north.request, north.limits, north.cold);
        expect_text(north.choose().c_str(), there.worker->instance.id.c_str());
    }
}

// Random scenes: the selection is one of the best by a plain sum over those that may have the request.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
Test(selector, agrees_with_a_plain_search) {
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        Scene scene;
        const std::vector<std::string> zones{"north-a", "north-b", "south-a"};
        for (int i = 0; i < 8; ++i) {
            Worker& worker = scene.add("w" + std::to_string(i), zones[random() % 3]);
            worker.apply_report(report(900, random() % 15));
            if (random() % 4 == 0) worker.record_dispatch(Time(950), 0.1 * static_cast<double>(random() % 5));
            if (random() % 5 == 0) worker.instance.state = discovery::InstanceState::draining;
            if (random() % 5 == 0) scene.request.tried_workers.insert(worker.instance.id);
        }
        if (random() % 2 == 0) scene.route.home_regions = {"north"};
        if (random() % 4 == 0) scene.evacuated = {"north-b"};
        double best = 1e9;
        std::map<std::string, double> sums;
        for (const auto& [id, worker] : scene.workers) {
            const std::string& zone = worker.instance.zone;
            if (worker.instance.state == discovery::InstanceState::draining) continue;
            if (scene.request.tried_workers.contains(id) || scene.evacuated.contains(zone)) continue;
            if (!scene.route.home_regions.empty() && zone == "south-a") continue;
            const double tier = zone == "north-a" ? 0.1 : zone == "north-b" ? 0.2 : 1.0;
            sums[id] =
                static_cast<double>(worker.load_report->active) / 10 + tier + worker.dispatch_degradation();
            best = std::min(best, sums[id]);
        }
        const std::string chosen = scene.choose();
        cr_assert_eq(chosen.empty(), sums.empty(), "round %d", round);
        if (!chosen.empty())
            cr_assert_float_eq(sums.at(chosen), best, 1e-9, "round %d: %s", round, chosen.c_str());
    }
}

Test(selector, ejected_and_saturated_workers_come_last) {
    Scene scene;
    scene.add("a", "north-a").apply_report(report(900, 0));
    scene.add("b", "north-a").apply_report(report(900, 9));
    scene.workers["a"].record_failure(Time(1000));
    expect_text(scene.choose(1001).c_str(), "b");
    scene.workers["b"].record_rejection(Time(1001));
    expect_other_text(scene.choose(1002).c_str(), "", "whoever is left is better than nobody");
    expect_text(scene.choose(1600).c_str(), "a", "and its ejection ends");
    scene.workers["a"].record_success();
    cr_assert_not(scene.workers["a"].is_ejected(Time(1001)));
}

Test(selector, a_worker_that_warms_up_gets_its_share_alone) {
    Scene scene;
    scene.service.cold_rate_per_s = 10;
    scene.add("cold", "north-a").warming_until = Time(5000);
    scene.limits.schedulers = 12;
    expect_text(scene.choose(1000).c_str(), "cold");
    scene.cold.record_send(Time(1000), "cold");
    expect_text(scene.choose(1500).c_str(), "");
    expect_text(scene.choose(2300).c_str(), "cold");
    expect_text(scene.choose(5000).c_str(), "cold", "and warmed up it is bounded no more");
}

Test(selector, services_are_drawn_by_their_weights) {
    Scene scene;
    scene.route.distribution = {{"s", 90}, {"t", 10}, {"u", 0}};
    std::map<std::string, int> drawn;
    for (int i = 0; i < 10000; ++i)
        ++drawn[scene.selector.pick_service(scene.route)];
    cr_assert_eq(drawn["u"], 0);
    cr_assert(drawn["t"] > 850 && drawn["t"] < 1150, "%d of 10000", drawn["t"]);
}
