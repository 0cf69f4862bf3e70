// Tests the selection of a worker.
#include "routing/selector_fixture.h"

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
    SelectorFixture fixture;
    fixture.add_worker("a", "north-a").apply_report(make_report(900, 5));
    fixture.add_worker("b", "north-a").apply_report(make_report(900, 3));
    fixture.add_worker("c", "north-a").apply_report(make_report(900, 4));
    expect_text(fixture.choose().c_str(), "b");
}

// A worker with queued prompts responds later than one with more active requests but an empty queue.
Test(selector, queued_prompts_add_their_prefill_time_to_the_load) {
    SelectorFixture fixture;
    fixture.route.target = std::chrono::milliseconds(1000);
    fixture.request.prompt.input_tokens = 1000;
    LoadReport queueing_report = make_report(900, 0);
    queueing_report.queued = 2;
    fixture.add_worker("a", "north-a").apply_report(queueing_report);
    fixture.add_worker("b", "north-a").apply_report(make_report(900, 3));
    PrefillCost prefill_cost;
    fixture.request.prefill_cost = &prefill_cost;
    expect_text(fixture.choose(), "a", "no prefill cost is known yet");
    for (int i = 0; i < 20; ++i) {
        prefill_cost.record_dispatch(1000);
        prefill_cost.record_response_start(std::chrono::milliseconds(200), 1000);
    }
    cr_assert_float_eq(prefill_cost.estimate_ms(500), 100, 1);
    expect_text(fixture.choose(), "b", "two queued prompts of 0.2 s against three of ten slots");
    fixture.route.target = std::chrono::milliseconds(10'000);
    expect_text(fixture.choose(), "a");
}

Test(selector, a_cache_holder_prefills_less_and_is_preferred_unless_its_queue_is_much_longer) {
    SelectorFixture fixture;
    fixture.route.target = std::chrono::milliseconds(1000);
    fixture.request.prompt = parse_prompt("ab:3000,cd:1000", "4000,10");
    cr_assert_eq(fixture.request.prompt.input_tokens, 4000U);
    PrefillCost prefill_cost;
    for (int i = 0; i < 20; ++i)
        prefill_cost.record_response_start(std::chrono::milliseconds(100), 1000);
    fixture.request.prefill_cost = &prefill_cost;
    fixture.add_worker("a", "north-a").apply_report(make_report(900, 0));
    const Selection holder_selection = fixture.selector.choose(Time(1000), fixture.workers, fixture.request,
                                                               fixture.limits, fixture.cold_budget);
    cr_assert(holder_selection.tier == Tier::cache_holder);
    cr_assert_eq(holder_selection.tokens_to_prefill, 1000U);
    cr_assert(holder_selection.queue_empty);
    // Queued prompts take 200 ms at the cache holder, then 600 ms; the other worker has none.
    prefill_cost.record_dispatch(1000);
    LoadReport queueing_report = make_report(950, 0);
    fixture.add_worker("b", "north-a").apply_report(make_report(950, 0));
    const std::string cache_holder = fixture.choose();
    queueing_report.as_of = Time(960);
    queueing_report.queued = 2;
    fixture.workers.at(cache_holder).apply_report(queueing_report);
    expect_text(fixture.choose(), cache_holder);
    queueing_report.as_of = Time(970);
    queueing_report.queued = 6;
    fixture.workers.at(cache_holder).apply_report(queueing_report);
    expect_other_text(fixture.choose(), cache_holder);
    fixture.workers.erase("b");
    fixture.request.prompt.shared_prefix_id.clear();
    const Selection zone_selection = fixture.selector.choose(Time(1000), fixture.workers, fixture.request,
                                                             fixture.limits, fixture.cold_budget);
    cr_assert_eq(zone_selection.tokens_to_prefill, 4000U);
}

// Guards against a scheduler outside the route's home regions sending each prompt to any worker of these
// regions, where the shared parts are then prefilled again.
Test(selector, without_workers_in_the_own_region_the_cache_holder_is_the_one_of_the_other_region) {
    SelectorFixture fixture;
    fixture.route.home_regions = {"south"};
    for (const char* id : {"a", "b", "c", "d"})
        fixture.add_worker(id, "south-a").apply_report(make_report(900, 2));
    fixture.add_worker("near", "north-a").apply_report(make_report(900, 0));
    Selector south{{"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2};
    std::set<std::string> holders;
    for (int key = 0; key < 40; ++key) {
        fixture.request.prompt = parse_prompt(fmt::format("{:x}:500,cd:1000", key), "1500,10");
        const Selection south_selection =
            south.choose(Time(1000), fixture.workers, fixture.request, fixture.limits, fixture.cold_budget);
        cr_assert(south_selection.tier == Tier::cache_holder);
        expect_text(fixture.choose(), south_selection.worker->instance.id);
        holders.insert(south_selection.worker->instance.id);
    }
    cr_assert_eq(holders.size(), 4U);
    // A loaded cache holder loses to other workers of the same region.
    fixture.request.prompt = parse_prompt("7:500,cd:1000", "1500,10");
    const std::string holder = fixture.choose();
    fixture.workers.at(holder).apply_report(make_report(950, 8));
    expect_other_text(fixture.choose(), holder);
}

// Once another instance has taken over its address, an instance never returns under its id.
Test(selector, a_replaced_instance_is_not_selected_again) {
    SelectorFixture fixture;
    fixture.add_worker("a", "north-a").replaced = true;
    expect_text(fixture.choose(), "");
    fixture.add_worker("b", "south-a");
    expect_text(fixture.choose(), "b");
}

Test(selector, own_dispatches_count_until_a_report_includes_them) {
    SelectorFixture fixture;
    fixture.add_worker("a", "north-a").apply_report(make_report(900, 0));
    fixture.add_worker("b", "north-a").apply_report(make_report(900, 1));
    fixture.workers["a"].record_dispatch(Time(950), 0.2);
    expect_text(fixture.choose().c_str(), "b");
    fixture.workers["a"].apply_report(make_report(940, 0)); // older than the dispatch
    expect_text(fixture.choose().c_str(), "b");
    fixture.workers["a"].apply_report(make_report(960, 0));
    expect_text(fixture.choose().c_str(), "a");
    cr_assert_eq(fixture.workers["a"].dispatch_degradation(), 0.0);
}

Test(selector, the_own_region_is_preferred_until_it_is_overloaded) {
    SelectorFixture fixture;
    fixture.add_worker("far", "south-a").apply_report(make_report(900, 0));
    fixture.add_worker("near", "north-b").apply_report(make_report(900, 4));
    expect_text(fixture.choose().c_str(), "near");
    fixture.workers["near"].apply_report(make_report(950, 30)); // three times its capacity
    expect_text(fixture.choose().c_str(), "far");
}

Test(selector, requests_with_the_same_shared_prompt_go_to_one_worker_until_it_is_loaded) {
    SelectorFixture fixture;
    for (const char* id : {"a", "b", "c", "d"})
        fixture.add_worker(id, "north-a").apply_report(make_report(900, 0));
    fixture.request.prompt = parse_prompt("0a:100,0b:50,0c:7", "157,20");
    const std::string holder = fixture.choose();
    for (int i = 0; i < 20; ++i)
        expect_text(fixture.choose().c_str(), holder.c_str());
    fixture.request.prompt = parse_prompt("0a:100,0b:50,0d:9", "159,20"); // the last part is not shared
    expect_text(fixture.choose().c_str(), holder.c_str());
    fixture.workers[holder].apply_report(make_report(950, 3));
    expect_other_text(fixture.choose().c_str(), holder.c_str());
}

Test(selector, a_long_shared_prompt_has_one_cache_holder_in_all_regions) {
    SelectorFixture north;
    Selector south({"south-a", "south", {{"north-a", "north"}, {"south-a", "south"}}}, 2);
    for (int i = 0; i < 6; ++i)
        north.add_worker("w" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a")
            .apply_report(make_report(900, 0));
    for (int key = 0; key < 30; ++key) {
        north.request.prompt = parse_prompt("k" + std::to_string(key) + ":5000,x:1", "5001,10");
        const Selection south_selection =
            south.choose(Time(1000), north.workers, north.request, north.limits, north.cold_budget);
        expect_text(north.choose().c_str(), south_selection.worker->instance.id.c_str());
    }
}

// Compares the selection with an exhaustive search over the eligible workers for random inputs.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
Test(selector, agrees_with_an_exhaustive_search) {
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        SelectorFixture fixture;
        const std::vector<std::string> zones{"north-a", "north-b", "south-a"};
        for (int i = 0; i < 8; ++i) {
            Worker& worker = fixture.add_worker("w" + std::to_string(i), zones[random() % 3]);
            worker.apply_report(make_report(900, random() % 15));
            if (random() % 4 == 0) worker.record_dispatch(Time(950), 0.1 * static_cast<double>(random() % 5));
            if (random() % 5 == 0) worker.instance.state = discovery::InstanceState::draining;
            if (random() % 5 == 0) fixture.request.tried_workers.insert(worker.instance.id);
        }
        if (random() % 2 == 0) fixture.route.home_regions = {"north"};
        if (random() % 4 == 0) fixture.evacuated_zones = {"north-b"};
        double lowest_score = 1e9;
        std::map<std::string, double> scores;
        for (const auto& [id, worker] : fixture.workers) {
            const std::string& zone = worker.instance.zone;
            if (worker.instance.state == discovery::InstanceState::draining) continue;
            if (fixture.request.tried_workers.contains(id) || fixture.evacuated_zones.contains(zone))
                continue;
            if (!fixture.route.home_regions.empty() && zone == "south-a") continue;
            const double increment = zone == "north-a" ? 0.1 : zone == "north-b" ? 0.2 : 1.0;
            scores[id] = static_cast<double>(worker.load_report->active) / 10 + increment +
                         worker.dispatch_degradation();
            lowest_score = std::min(lowest_score, scores[id]);
        }
        const std::string chosen = fixture.choose();
        cr_assert_eq(chosen.empty(), scores.empty(), "round %d", round);
        if (!chosen.empty())
            cr_assert_float_eq(scores.at(chosen), lowest_score, 1e-9, "round %d: %s", round, chosen.c_str());
    }
}

Test(selector, ejected_and_saturated_workers_are_the_last_choice) {
    SelectorFixture fixture;
    fixture.add_worker("a", "north-a").apply_report(make_report(900, 0));
    fixture.add_worker("b", "north-a").apply_report(make_report(900, 9));
    fixture.workers["a"].record_failure(Time(1000));
    expect_text(fixture.choose(1001).c_str(), "b");
    fixture.workers["b"].record_rejection(Time(1001));
    expect_other_text(fixture.choose(1002).c_str(), "",
                      "an ejected or saturated worker is selected if there is no other");
    expect_text(fixture.choose(1600).c_str(), "a", "the ejection has ended");
    fixture.workers["a"].record_success();
    cr_assert_not(fixture.workers["a"].is_ejected(Time(1001)));
}

Test(selector, a_worker_that_warms_up_gets_only_its_share) {
    SelectorFixture fixture;
    fixture.service.cold_rate_per_s = 10;
    fixture.add_worker("cold", "north-a").warming_until = Time(5000);
    fixture.limits.scheduler_count = 12;
    expect_text(fixture.choose(1000).c_str(), "cold");
    fixture.cold_budget.record_send(Time(1000), "cold");
    expect_text(fixture.choose(1500).c_str(), "");
    expect_text(fixture.choose(2300).c_str(), "cold");
    expect_text(fixture.choose(5000).c_str(), "cold", "the limit ends with the warm-up");
}

Test(selector, services_are_drawn_by_their_weights) {
    SelectorFixture fixture;
    fixture.route.distribution = {{"s", 90}, {"t", 10}, {"u", 0}};
    std::map<std::string, int> draws;
    for (int i = 0; i < 10000; ++i)
        ++draws[fixture.selector.pick_service(fixture.route)];
    cr_assert_eq(draws["u"], 0);
    cr_assert(draws["t"] > 850 && draws["t"] < 1150, "%d of 10000", draws["t"]);
}
