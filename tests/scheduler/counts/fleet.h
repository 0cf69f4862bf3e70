// A set of count stores with the true totals, and a simulated exchange between two stores with optional
// message loss.
#pragma once

#include "scheduler/counts/book.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::counts::testing {

using namespace std::chrono_literals;

inline constexpr std::size_t max_message_bytes = 1150;
using LossFunction = std::function<bool()>; // returns whether the next message is lost

// Runs one exchange that `a` starts.
inline void exchange(
    CountStore& a, CountStore& b, Time now, const LossFunction& is_lost = [] { return false; },
    std::size_t messages = 64) {
    a.publish(now);
    b.publish(now);
    for (const Digest& digest : a.make_digests(3)) {
        if (is_lost()) continue;
        std::vector<KnownVersion> b_lacks;
        const std::vector<KnownVersion> a_lacks = b.process_digest(digest, b_lacks, now);
        for (const Delta& delta : b.make_deltas(a_lacks, max_message_bytes, messages))
            if (!is_lost()) a.apply(delta, now);
        if (is_lost()) continue;
        for (const Delta& delta : a.make_deltas(b_lacks, max_message_bytes, messages))
            if (!is_lost()) b.apply(delta, now);
    }
}

// The stores of several instances with a common clock, and what was counted in total.
struct Fleet {
    explicit Fleet(std::size_t size, Limits limits = {.max_skew = 10ms, .fold_after = 3600s})
        : limits(limits) {
        for (std::size_t i = 0; i < size; ++i)
            start(i, "i" + std::to_string(i));
    }
    // Starts a new life of the instance `name` with an empty store.
    void start(std::size_t index, const std::string& name) {
        if (stores.size() <= index) stores.resize(index + 1);
        const std::uint64_t number = next_life_number(now, ++start_count, last_number[name]);
        last_number[name] = number;
        stores[index] = std::make_unique<CountStore>(limits, Identity{name, number, rate, burst}, now);
    }
    // Counts `times` jobs at one instance and in `true_totals`.
    void count(std::size_t index, const std::string& tenant, std::uint64_t times = 1,
               Outcome outcome = Outcome::served) {
        const SeriesIndex series = stores[index]->series(tenant, "c");
        for (std::uint64_t i = 0; i < times; ++i)
            stores[index]->count(series, outcome);
        true_totals[tenant] += times;
    }
    // Runs exchanges between all pairs of stores.
    void exchange_all(std::size_t rounds = 3) {
        for (std::size_t round = 0; round < rounds; ++round)
            for (auto& a : stores)
                for (auto& b : stores)
                    if (a != b) exchange(*a, *b, now);
    }
    std::uint64_t low_total(std::size_t index, const std::string& tenant) const {
        return stores[index]->low_total(tenant, "c", Outcome::served);
    }
    Total total(std::size_t index, const std::string& tenant) const {
        for (const Total& row : stores[index]->totals(now).rows)
            if (row.tenant == tenant) return row;
        return {};
    }

    Limits limits;
    std::uint64_t rate = 100, burst = 50;
    Time now = 1'700'000'000s;
    std::uint32_t start_count = 0;
    std::map<std::string, std::uint64_t> last_number;
    std::vector<std::unique_ptr<CountStore>> stores;
    std::map<std::string, std::uint64_t> true_totals;
};

} // namespace willowrill::counts::testing
