// What must hold of books under any schedule of counts, exchanges that lose parts, folds, restarts and
// returns.
#include "counts/fleet.h"
#include "support/rapid.h"

#include <doctest/doctest.h>

namespace willowrill::counts::testing {
namespace {

using willowrill::testing::check_property;

std::string tenant_of(std::size_t number) { return "t" + std::to_string(number); }
constexpr std::size_t tenants = 3;

TEST_CASE("merge commutes, associates and repeats harmlessly") {
    check_property("merge", 500, [] {
        // Three lives, each with a history told in pieces; the pieces arrive in any order, some of them
        // often.
        Fleet fleet(3);
        std::vector<Delta> pieces;
        const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
            rc::gen::tuple(rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U), rc::gen::inRange(1U, 5U)));
        for (const auto& [at, tenant, times] : steps) {
            fleet.count(at, tenant_of(tenant), times);
            fleet.books[at]->publish(fleet.now);
            for (Delta& delta : fleet.books[at]->save(datagram))
                pieces.push_back(std::move(delta));
        }
        CountStore in_order(fleet.limits, {"x", 1, 1, 1}, fleet.now),
            shuffled(fleet.limits, {"x", 1, 1, 1}, fleet.now);
        for (const Delta& delta : pieces)
            in_order.apply(delta, fleet.now);
        if (!pieces.empty()) {
            for (const std::size_t at : *rc::gen::container<std::vector<std::size_t>>(
                     40, rc::gen::inRange<std::size_t>(0, pieces.size())))
                shuffled.apply(pieces[at], fleet.now);
        }
        for (const Delta& delta : pieces)
            shuffled.apply(delta, fleet.now);
        RC_ASSERT(shuffled.fingerprint() == in_order.fingerprint());
        for (std::size_t tenant = 0; tenant < tenants; ++tenant)
            RC_ASSERT(in_order.low_total(tenant_of(tenant), "c", Outcome::served) ==
                      fleet.truth[tenant_of(tenant)]);
    });
}

struct Step {
    unsigned what, a, b, amount;
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

TEST_CASE("under any schedule no total falls, none passes the truth, and all agree in the end") {
    check_property("schedule", 500, [] {
        constexpr std::size_t instances = 4;
        // Few raises are kept: where there is no room for more, lives stay rather than lose what they
        // counted.
        Fleet fleet(instances, {.max_skew = 10ms,
                                .fold_after = 20s,
                                .max_fold_corrections = *rc::gen::element<std::size_t>(0, 1, 1000)});
        std::vector<std::map<std::string, std::uint64_t>> seen(instances);
        std::vector<std::vector<Delta>> saved(instances);
        for (const Step& step : *schedule(instances)) {
            const std::size_t a = step.a, b = step.b;
            switch (step.what) {
            case 0:
                fleet.count(a, tenant_of(step.amount % tenants), 1 + step.amount % 7);
                break;
            case 1: { // an exchange that loses a part of its messages
                std::uint64_t state = step.amount * 77 + 1;
                if (a != b)
                    exchange(*fleet.books[a], *fleet.books[b], fleet.now, [&] {
                        state = state * 6364136223846793005ULL + 1;
                        return (state >> 40U) % 100 < step.amount;
                    });
                break;
            }
            case 2:
                fleet.now += std::chrono::milliseconds(step.amount * 50);
                break;
            case 3: // dies, and starts with what it had saved or with nothing
                fleet.start(a, "i" + std::to_string(a));
                seen[a].clear();
                if (step.amount < 50)
                    for (const Delta& delta : saved[a])
                        fleet.books[a]->load(delta, fleet.now);
                break;
            case 4:
                fleet.books[a]->fold(fleet.now, step.amount < 20);
                break;
            case 5:
                fleet.books[a]->publish(fleet.now);
                saved[a] = fleet.books[a]->save(datagram);
                break;
            default: // ends in order, and starts anew
                fleet.books[a]->end_life(fleet.now);
                exchange(*fleet.books[a], *fleet.books[(a + 1) % instances], fleet.now);
                fleet.start(a, "i" + std::to_string(a));
                seen[a].clear();
                break;
            }
            for (std::size_t i = 0; i < instances; ++i) {
                for (std::size_t tenant = 0; tenant < tenants; ++tenant) {
                    const std::string name = tenant_of(tenant);
                    const std::uint64_t low = fleet.low_total(i, name);
                    RC_ASSERT(low >= seen[i][name]);
                    RC_ASSERT(low <= fleet.truth[name]);
                    seen[i][name] = low;
                }
            }
        }
        fleet.settle(4);
        for (std::size_t i = 1; i < instances; ++i)
            RC_ASSERT(fleet.books[i]->fingerprint() == fleet.books[0]->fingerprint());
    });
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
TEST_CASE("while lives last, the truth lies within the stated bounds, whoever is cut off") {
    check_property("bounds", 500, [] {
        constexpr std::size_t instances = 3;
        Fleet fleet(instances);
        fleet.settle(); // of whom nobody has heard, no bound can speak
        std::vector<double> allowance(instances, static_cast<double>(fleet.burst));
        for (const Step& step : *schedule(instances)) {
            if (step.what == 2) {
                const auto span = std::chrono::milliseconds(step.amount * 50);
                fleet.now += span;
                for (double& one : allowance) {
                    one = std::min(one + static_cast<double>(fleet.rate) * static_cast<double>(step.amount) /
                                             20,
                                   static_cast<double>(fleet.burst));
                }
            } else if (step.what == 1) {
                if (step.a != step.b) exchange(*fleet.books[step.a], *fleet.books[step.b], fleet.now);
            } else if (allowance[step.a] >= 1) { // as much as it declares
                const auto times =
                    std::min<std::uint64_t>(step.amount, static_cast<std::uint64_t>(allowance[step.a]));
                allowance[step.a] -= static_cast<double>(times);
                fleet.count(step.a, "a", times);
            }
            for (std::size_t i = 0; i < instances; ++i) {
                const Totals totals = fleet.books[i]->totals(fleet.now);
                const std::uint64_t low = totals.rows.empty() ? 0 : totals.rows[0].low;
                RC_ASSERT(low <= fleet.truth["a"]);
                RC_ASSERT(low + totals.slack >= fleet.truth["a"]);
                if (!totals.rows.empty()) {
                    RC_ASSERT(totals.rows[0].estimate >= low);
                    RC_ASSERT(totals.rows[0].estimate <= totals.rows[0].high);
                }
            }
        }
        for (std::size_t i = 0; i < instances; ++i)
            RC_ASSERT(fleet.books[i]->statistics().over_rate == 0);
    });
}

} // namespace
} // namespace willowrill::counts::testing
