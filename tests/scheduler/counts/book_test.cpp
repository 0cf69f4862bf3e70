#include "counts/fleet.h"

#include <doctest/doctest.h>

namespace willowrill::counts::testing {
namespace {

TEST_CASE("counts of one instance reach all others, by tenant, class and outcome") {
    Fleet fleet(3);
    fleet.count(0, "a", 5);
    fleet.count(1, "a", 7);
    fleet.count(2, "b", 1, Outcome::refused);
    fleet.exchange_all();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.low_total(i, "a") == 12);
        CHECK(fleet.stores[i]->low_total("b", "c", Outcome::refused) == 1);
        CHECK(fleet.low_total(i, "b") == 0);
        CHECK(fleet.stores[i]->fingerprint() == fleet.stores[0]->fingerprint());
    }
    CHECK(fleet.stores[0]->totals(fleet.now).rows.size() == 2);
}

TEST_CASE("an exchange transfers only the missing changes") {
    Fleet fleet(2);
    for (int i = 0; i < 200; ++i)
        fleet.count(0, "t" + std::to_string(i));
    fleet.exchange_all();
    const auto before = fleet.stores[1]->statistics();
    CHECK(before.cells_applied == 200);
    fleet.count(0, "t7");
    fleet.exchange_all();
    CHECK(fleet.stores[1]->statistics().cells_applied == 201);
    CHECK(fleet.stores[1]->statistics().cells_known == before.cells_known);
}

TEST_CASE("a section after a gap is ignored, and the next exchange fills the gap") {
    Fleet fleet(2);
    for (int i = 0; i < 300; ++i)
        fleet.count(0, "t" + std::to_string(i));
    fleet.stores[0]->publish(fleet.now);
    const auto parts = fleet.stores[0]->save(max_message_bytes);
    REQUIRE(parts.size() > 4);
    fleet.stores[1]->apply(parts[0], fleet.now);
    const auto known = fleet.stores[1]->statistics().cells_applied;
    fleet.stores[1]->apply(parts[2], fleet.now);
    CHECK(fleet.stores[1]->statistics().sections_gap == 1);
    CHECK(fleet.stores[1]->statistics().cells_applied == known);
    fleet.exchange_all(1);
    CHECK(fleet.low_total(1, "t299") == 1);
    CHECK(fleet.low_total(1, "t0") == 1);
}

TEST_CASE("reordered and duplicated deltas give the same totals") {
    Fleet fleet(2);
    fleet.count(0, "a", 3);
    fleet.stores[0]->publish(fleet.now);
    const auto first = fleet.stores[0]->save(max_message_bytes);
    fleet.count(0, "a", 4);
    fleet.stores[0]->publish(fleet.now);
    const auto second = fleet.stores[0]->save(max_message_bytes);
    for (const auto* parts : {&second, &first, &second, &first})
        for (const Delta& delta : *parts)
            fleet.stores[1]->apply(delta, fleet.now);
    CHECK(fleet.low_total(1, "a") == 7);
}

TEST_CASE("the bounds hold while an instance is unreachable, and narrow when it is back") {
    Fleet fleet(2);
    fleet.count(0, "a", 10);
    fleet.exchange_all();
    fleet.now += 60s;
    for (int i = 0; i < 60; ++i) // the declared rate
        fleet.count(0, "a", 100);
    Total total = fleet.total(1, "a");
    CHECK(total.low == 10);
    CHECK(total.high >= fleet.true_totals["a"]);
    CHECK(total.high <= fleet.true_totals["a"] + 100);
    fleet.exchange_all();
    total = fleet.total(1, "a");
    CHECK(total.low == fleet.true_totals["a"]);
    CHECK(total.high - total.low <= 60); // the burst, and the rate times the clock skew
    CHECK(fleet.stores[0]->statistics().over_rate == 0);
}

TEST_CASE("the estimate extrapolates the recent rate") {
    Fleet fleet(2);
    for (int i = 0; i < 50; ++i) {
        fleet.now += 200ms;
        fleet.count(0, "a", 10);
        fleet.exchange_all(1);
    }
    fleet.now += 4s;
    const Total total = fleet.total(1, "a");
    CHECK(total.low == 500);
    CHECK(total.estimate > 650);
    CHECK(total.estimate < 750);
    CHECK(total.estimate <= total.high);
}

TEST_CASE("a clock that is ahead does not make old counts appear recent") {
    Fleet fleet(2);
    CountStore ahead(fleet.limits, {"x", next_life_number(fleet.now, 9, 0), 100, 0}, fleet.now + 10s);
    const SeriesIndex series = ahead.series("a", "c");
    ahead.count(series, Outcome::served);
    ahead.publish(fleet.now + 10s);
    for (const Delta& delta : ahead.save(max_message_bytes))
        fleet.stores[1]->apply(delta, fleet.now);
    CHECK(fleet.stores[1]->statistics().skewed_clocks == 1);
    fleet.now += 9s; // the instance may count on without being heard
    CHECK(fleet.total(1, "a").high >= 1 + 900);
}

TEST_CASE("an instance detects that it counts more than its declared rate limit") {
    Fleet fleet(1);
    fleet.count(0, "a", 51);
    fleet.stores[0]->publish(fleet.now);
    CHECK(fleet.stores[0]->statistics().over_rate == 1);
    fleet.now += 1s;
    fleet.count(0, "a", 50);
    fleet.stores[0]->publish(fleet.now);
    CHECK(fleet.stores[0]->statistics().over_rate == 1);
}

TEST_CASE("the counts of two instances with one name are added") {
    Fleet fleet(3);
    fleet.start(3, "i0");
    fleet.count(0, "a", 5);
    fleet.count(3, "a", 6);
    fleet.exchange_all();
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(fleet.low_total(i, "a") == 11);
    CHECK(fleet.stores[0]->highest_other_life() == fleet.stores[3]->self().number);
    fleet.stores[0]->fold(fleet.now, false);
    fleet.stores[3]->fold(fleet.now, false); // the other life is alive, so nothing is folded
    CHECK(fleet.stores[3]->statistics().folds == 0);
}

TEST_CASE("folding an ended earlier life changes no total") {
    Fleet fleet(3);
    fleet.count(0, "a", 5);
    fleet.stores[0]->end_life(fleet.now);
    fleet.exchange_all();
    fleet.start(0, "i0");
    fleet.exchange_all();
    fleet.count(0, "a", 2);
    CHECK(fleet.stores[1]->life_count() == 4);
    fleet.stores[0]->fold(fleet.now, true);
    CHECK(fleet.stores[0]->statistics().folds == 0); // an unreachable member may know more
    fleet.stores[0]->fold(fleet.now, false);
    fleet.exchange_all();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.low_total(i, "a") == 7);
        CHECK(fleet.stores[i]->life_count() == 3);
    }
}

TEST_CASE("a silent life is folded only after fold_after") {
    Fleet fleet(2);
    fleet.count(0, "a", 5);
    fleet.exchange_all();
    fleet.start(0, "i0"); // the earlier life crashed
    fleet.exchange_all();
    fleet.stores[0]->fold(fleet.now, false);
    CHECK(fleet.stores[0]->statistics().folds == 0);
    fleet.now += fleet.limits.fold_after + 1s;
    fleet.stores[0]->fold(fleet.now, false);
    CHECK(fleet.stores[0]->statistics().folds == 1);
    fleet.exchange_all();
    CHECK(fleet.low_total(1, "a") == 5);
}

TEST_CASE("a folded life that is received again is not counted twice") {
    Fleet fleet(3);
    fleet.count(0, "a", 5);
    fleet.stores[0]->end_life(fleet.now);
    fleet.exchange_all();
    const auto old_deltas = fleet.stores[2]->save(max_message_bytes);
    fleet.start(0, "i0");
    fleet.exchange_all();
    fleet.stores[0]->fold(fleet.now, false);
    fleet.exchange_all();
    CountStore returned(fleet.limits,
                        {"i2", next_life_number(fleet.now, 99, fleet.last_number["i2"]), 100, 50}, fleet.now);
    for (const Delta& delta : old_deltas)
        returned.load(delta, fleet.now);
    CHECK(returned.low_total("a", "c", Outcome::served) == 5);
    exchange(returned, *fleet.stores[1], fleet.now);
    exchange(*fleet.stores[1], returned, fleet.now);
    CHECK(returned.low_total("a", "c", Outcome::served) == 5);
    CHECK(fleet.low_total(1, "a") == 5);
    for (const Delta& delta : old_deltas) // directly to the stores that have folded it
        for (auto& store : fleet.stores)
            store->apply(delta, fleet.now);
    CHECK(fleet.stores[1]->statistics().folded_lives_rejected > 0);
    fleet.exchange_all();
    CHECK(fleet.low_total(0, "a") == 5);
    CHECK(fleet.low_total(1, "a") == 5);
}

TEST_CASE("a returning store that knows more of a folded life corrects the folded cells everywhere") {
    Fleet fleet(3);
    fleet.count(0, "a", 5);
    fleet.exchange_all();
    fleet.count(0, "a", 3);
    fleet.count(0, "b", 1);
    // Only i2 receives these counts and is isolated; i0 crashes.
    exchange(*fleet.stores[0], *fleet.stores[2], fleet.now);
    auto isolated = std::move(fleet.stores[2]);
    fleet.stores.pop_back();
    fleet.start(0, "i0");
    fleet.exchange_all();
    fleet.now += fleet.limits.fold_after + 1s;
    fleet.stores[0]->fold(fleet.now, false); // i2 was removed from the membership
    fleet.exchange_all();
    CHECK(fleet.low_total(1, "a") == 5);
    fleet.stores.push_back(std::move(isolated));
    CHECK(fleet.low_total(2, "a") == 8);
    fleet.exchange_all();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.low_total(i, "a") == 8);
        CHECK(fleet.low_total(i, "b") == 1);
        CHECK(fleet.stores[i]->life_count() == 3);
    }
    CHECK(fleet.stores[0]->statistics().cells_corrected > 0);
}

TEST_CASE("an instance whose life was folded by a second instance of its name continues in a new life") {
    Fleet fleet(2);
    fleet.count(0, "a", 5);
    fleet.exchange_all();
    fleet.start(2, "i0");
    exchange(*fleet.stores[2], *fleet.stores[1], fleet.now);
    fleet.now += fleet.limits.fold_after + 1s; // the first i0 is isolated and continues to count
    fleet.count(0, "a", 4);
    fleet.stores[2]->fold(fleet.now, false);
    CHECK(fleet.stores[2]->statistics().folds == 1);
    fleet.exchange_all();
    fleet.count(0, "a", 2);
    fleet.exchange_all();
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(fleet.low_total(i, "a") == 11);
    CHECK(fleet.stores[0]->statistics().lives_begun == 1);
}

TEST_CASE("tenants beyond the limit are counted together, and no count is lost") {
    Fleet fleet(2, {.max_tenants = 2, .max_lives = 3, .max_skew = 0ms, .fold_after = 60s});
    for (const char* tenant : {"a", "b", "c", "d"})
        fleet.count(0, tenant, 2);
    fleet.exchange_all();
    CHECK(fleet.low_total(1, "a") == 2);
    CHECK(fleet.low_total(1, std::string(other_tenant)) == 4);
    CHECK(fleet.stores[0]->statistics().over_limit > 0);
    for (int i = 0; i < 5; ++i) {
        fleet.start(1, "n" + std::to_string(i));
        exchange(*fleet.stores[1], *fleet.stores[0], fleet.now);
    }
    CHECK(fleet.stores[0]->life_count() == 3);
}

TEST_CASE("invalid sections change nothing") {
    Fleet fleet(2);
    fleet.count(0, "a", 5);
    fleet.exchange_all();
    fleet.count(0, "a", 1);
    fleet.stores[0]->publish(fleet.now);
    const std::uint64_t key = fleet.stores[0]->self().key();
    const auto valid = fleet.stores[0]->make_deltas({{key, 2, false}}, max_message_bytes, 1).at(0);
    REQUIRE(valid.cells.size() == 1);
    const auto is_rejected = [&](auto modify) {
        Delta delta = valid;
        modify(delta);
        const auto before = fleet.stores[1]->statistics();
        fleet.stores[1]->apply(delta, fleet.now);
        const auto& after = fleet.stores[1]->statistics();
        return after.sections_invalid + after.sections_gap + after.sections_unknown ==
                   before.sections_invalid + before.sections_gap + before.sections_unknown + 1 &&
               fleet.low_total(1, "a") == 5;
    };
    CHECK(is_rejected([](Delta& d) { d.cells[0].slot = 8; }));           // no such series
    CHECK(is_rejected([](Delta& d) { d.cells[0].version_offset = 0; })); // not after `from`
    CHECK(is_rejected([](Delta& d) { d.cells[0].version_offset = 9; })); // after `to`
    CHECK(is_rejected([](Delta& d) { d.cells.push_back(d.cells[0]); }));
    // Found by fuzzing: sums of such values overflowed 64 bits.
    CHECK(is_rejected([](Delta& d) { d.cells[0].value = max_cell_value + 1; }));
    CHECK(is_rejected([](Delta& d) { d.sections[0].cell_count = 2; }));
    CHECK(is_rejected([](Delta& d) {
        d.sections[0].from = 7;
        d.sections[0].to = 9;
    }));
    CHECK(is_rejected([](Delta& d) { d.sections[0].to = 0; }));
    CHECK(is_rejected([](Delta& d) { d.sections[0].key ^= 1; }));
    fleet.stores[1]->apply(valid, fleet.now);
    CHECK(fleet.low_total(1, "a") == 6);
}

// Found by fuzzing: `high` overflowed 64 bits.
TEST_CASE("an instance that declares a rate limit above the maximum is rejected") {
    Fleet fleet(1);
    CountStore over_limit_store(fleet.limits, {"loud", 1, ~std::uint64_t{0}, 1}, fleet.now);
    over_limit_store.count(over_limit_store.series("a", "c"), Outcome::served);
    over_limit_store.publish(fleet.now);
    for (const Delta& delta : over_limit_store.save(max_message_bytes))
        fleet.stores[0]->apply(delta, fleet.now);
    CHECK(fleet.stores[0]->life_count() == 1);
    CHECK(fleet.stores[0]->statistics().sections_invalid == 1);
}

TEST_CASE("life numbers increase whatever the clock says") {
    const std::uint64_t first = next_life_number(1'700'000'000s, 5, 0);
    CHECK(next_life_number(1'600'000'000s, 6, first) > first);
    CHECK(next_life_number(1'700'000'000s, 5, 0) == first);
    CHECK(next_life_number(1'700'000'000s, 6, 0) != first);
}

} // namespace
} // namespace willowrill::counts::testing
