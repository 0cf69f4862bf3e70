// Some books with a truth to hold them against, and the exchange between two of them, whole or with parts
// lost.
#pragma once

#include "scheduler/counts/book.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::counts::testing {

using namespace std::chrono_literals;

inline constexpr std::size_t datagram = 1150;
using Lose = std::function<bool()>; // whether the next message is lost

// One exchange begun by `a`. Returns the bytes of the deltas, as `wire.h` costs them.
inline void exchange(
    CountStore& a, CountStore& b, Time now, const Lose& lose = [] { return false; },
    std::size_t messages = 64) {
    a.publish(now);
    b.publish(now);
    for (const Digest& digest : a.make_digests(3)) {
        if (lose()) continue;
        std::vector<KnownVersion> lacking;
        const std::vector<KnownVersion> theirs = b.process_digest(digest, lacking, now);
        for (const Delta& delta : b.make_deltas(theirs, datagram, messages))
            if (!lose()) a.apply(delta, now);
        if (lose()) continue;
        for (const Delta& delta : a.make_deltas(lacking, datagram, messages))
            if (!lose()) b.apply(delta, now);
    }
}

struct Fleet {
    explicit Fleet(std::size_t size, Limits limits = {.max_skew = 10ms, .fold_after = 3600s})
        : limits(limits) {
        for (std::size_t i = 0; i < size; ++i)
            start(i, "i" + std::to_string(i));
    }
    void start(std::size_t at, const std::string& name) {
        if (books.size() <= at) books.resize(at + 1);
        const std::uint64_t number = next_number(now, ++started, last_number[name]);
        last_number[name] = number;
        books[at] = std::make_unique<CountStore>(limits, Identity{name, number, rate, burst}, now);
    }
    void count(std::size_t at, const std::string& tenant, std::uint64_t times = 1,
               Outcome outcome = Outcome::served) {
        const SeriesIndex series = books[at]->series(tenant, "c");
        for (std::uint64_t i = 0; i < times; ++i)
            books[at]->count(series, outcome);
        truth[tenant] += times;
    }
    void settle(std::size_t rounds = 3) { // everyone with everyone
        for (std::size_t round = 0; round < rounds; ++round)
            for (auto& a : books)
                for (auto& b : books)
                    if (a != b) exchange(*a, *b, now);
    }
    std::uint64_t low_total(std::size_t at, const std::string& tenant) const {
        return books[at]->low_total(tenant, "c", Outcome::served);
    }
    Total total(std::size_t at, const std::string& tenant) const {
        for (const Total& row : books[at]->totals(now).rows)
            if (row.tenant == tenant) return row;
        return {};
    }

    Limits limits;
    std::uint64_t rate = 100, burst = 50;
    Time now = 1'700'000'000s;
    std::uint32_t started = 0;
    std::map<std::string, std::uint64_t> last_number;
    std::vector<std::unique_ptr<CountStore>> books;
    std::map<std::string, std::uint64_t> truth;
};

} // namespace willowrill::counts::testing
