// Properties of count stores under any schedule of counts, exchanges with message loss, folds and restarts.
#include "counts/fleet.h"
#include "support/check_property.h"

#include <doctest/doctest.h>

namespace willowrill::counts::testing {
namespace {

using willowrill::testing::check_property;

std::string tenant_of(std::size_t number) { return "t" + std::to_string(number); }
constexpr std::size_t tenants = 3;

TEST_CASE("merging is commutative, associative and idempotent") {
    check_property("merge", 500, [] {
        // Three lives publish deltas, which arrive in random order and repeatedly.
        Fleet fleet(3);
        std::vector<Delta> deltas;
        const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U), rc::gen::inRange(1U, 5U)));
        for (const auto& [at, tenant, times] : steps) {
            fleet.count(at, tenant_of(tenant), times);
            fleet.stores[at]->publish(fleet.now);
            for (Delta& delta : fleet.stores[at]->save(max_message_bytes))
                deltas.push_back(std::move(delta));
        }
        CountStore ordered(fleet.limits, {"x", 1, 1, 1}, fleet.now),
            shuffled(fleet.limits, {"x", 1, 1, 1}, fleet.now);
        for (const Delta& delta : deltas)
            ordered.apply(delta, fleet.now);
        if (!deltas.empty()) {
            for (const std::size_t at : *rc::gen::container<std::vector<std::size_t>>(
                     40, rc::gen::inRange<std::size_t>(0, deltas.size())))
                shuffled.apply(deltas[at], fleet.now);
        }
        for (const Delta& delta : deltas)
            shuffled.apply(delta, fleet.now);
        RC_ASSERT(shuffled.fingerprint() == ordered.fingerprint());
        for (std::size_t tenant = 0; tenant < tenants; ++tenant)
            RC_ASSERT(ordered.low_total(tenant_of(tenant), "c", Outcome::served) ==
                      fleet.true_totals[tenant_of(tenant)]);
    });
}

struct Step {
    unsigned action, a, b, amount;
};

rc::Gen<std::vector<Step>> schedule(std::size_t instances) {
    return rc::gen::container<std::vector<Step>>(rc::gen::map(
        rc::gen::tuple(
            rc::gen::weightedElement<unsigned>({{6, 0}, {6, 1}, {3, 2}, {1, 3}, {2, 4}, {1, 5}, {1, 6}}),
            rc::gen::inRange(0U, static_cast<unsigned>(instances)),
            rc::gen::inRange(0U, static_cast<unsigned>(instances)), rc::gen::inRange(0U, 100U)),
        [](const std::tuple<unsigned, unsigned, unsigned, unsigned>& t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t)};
        }));
}

TEST_CASE("under any schedule no total decreases or exceeds the true one, and all stores agree in the end") {
    check_property("schedule", 500, [] {
        constexpr std::size_t instances = 4;
        // With little room for fold corrections, folded lives must be kept rather than lose counts.
        Fleet fleet(instances, {.max_skew = 10ms,
                                .fold_after = 20s,
                                .max_fold_corrections = *rc::gen::element<std::size_t>(0, 1, 1000)});
        std::vector<std::map<std::string, std::uint64_t>> previous_low(instances);
        std::vector<std::vector<Delta>> saved(instances);
        for (const Step& step : *schedule(instances)) {
            const std::size_t a = step.a, b = step.b;
            switch (step.action) {
            case 0:
                fleet.count(a, tenant_of(step.amount % tenants), 1 + step.amount % 7);
                break;
            case 1: { // an exchange with message loss
                std::uint64_t state = step.amount * 77 + 1;
                if (a != b)
                    exchange(*fleet.stores[a], *fleet.stores[b], fleet.now, [&] {
                        state = state * 6364136223846793005ULL + 1;
                        return (state >> 40U) % 100 < step.amount;
                    });
                break;
            }
            case 2:
                fleet.now += std::chrono::milliseconds(step.amount * 50);
                break;
            case 3: // crashes, and restarts with its snapshot or without any state
                fleet.start(a, "i" + std::to_string(a));
                previous_low[a].clear();
                if (step.amount < 50)
                    for (const Delta& delta : saved[a])
                        fleet.stores[a]->load(delta, fleet.now);
                break;
            case 4:
                fleet.stores[a]->fold(fleet.now, step.amount < 20);
                break;
            case 5:
                fleet.stores[a]->publish(fleet.now);
                saved[a] = fleet.stores[a]->save(max_message_bytes);
                break;
            default: // ends orderly, and restarts
                fleet.stores[a]->end_life(fleet.now);
                exchange(*fleet.stores[a], *fleet.stores[(a + 1) % instances], fleet.now);
                fleet.start(a, "i" + std::to_string(a));
                previous_low[a].clear();
                break;
            }
            for (std::size_t i = 0; i < instances; ++i) {
                for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
                    const std::string name = tenant_of(tenant);
                    const std::uint64_t low = fleet.low_total(i, name);
                    RC_ASSERT(low >= previous_low[i][name]);
                    RC_ASSERT(low <= fleet.true_totals[name]);
                    previous_low[i][name] = low;
                }
            }
        }
        fleet.exchange_all(4);
        for (std::size_t i = 1; i < instances; ++i)
            RC_ASSERT(fleet.stores[i]->fingerprint() == fleet.stores[0]->fingerprint());
    });
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
TEST_CASE("while no life ends, the true totals lie within the bounds, whichever instances are unreachable") {
    check_property("bounds", 500, [] {
        constexpr std::size_t instances = 3;
        Fleet fleet(instances);
        fleet.exchange_all(); // the bounds include known instances only
        std::vector<double> allowance(instances, static_cast<double>(fleet.burst));
        for (const Step& step : *schedule(instances)) {
            if (step.action == 2) {
                const auto elapsed = std::chrono::milliseconds(step.amount * 50);
                fleet.now += elapsed;
                for (double& tokens : allowance) {
                    tokens = std::min(tokens + static_cast<double>(fleet.rate) *
                                                   static_cast<double>(step.amount) / 20,
                                      static_cast<double>(fleet.burst));
                }
            } else if (step.action == 1) {
                if (step.a != step.b) exchange(*fleet.stores[step.a], *fleet.stores[step.b], fleet.now);
            } else if (allowance[step.a] >= 1) { // within the declared rate limit
                const auto times =
                    std::min<std::uint64_t>(step.amount, static_cast<std::uint64_t>(allowance[step.a]));
                allowance[step.a] -= static_cast<double>(times);
                fleet.count(step.a, "a", times);
            }
            for (std::size_t i = 0; i < instances; ++i) {
                const Totals totals = fleet.stores[i]->totals(fleet.now);
                const std::uint64_t low = totals.rows.empty() ? 0 : totals.rows[0].low;
                RC_ASSERT(low <= fleet.true_totals["a"]);
                RC_ASSERT(low + totals.slack >= fleet.true_totals["a"]);
                if (!totals.rows.empty()) {
                    RC_ASSERT(totals.rows[0].estimate >= low);
                    RC_ASSERT(totals.rows[0].estimate <= totals.rows[0].high);
                }
            }
        }
        for (std::size_t i = 0; i < instances; ++i)
            RC_ASSERT(fleet.stores[i]->statistics().over_rate == 0);
    });
}

} // namespace
} // namespace willowrill::counts::testing
