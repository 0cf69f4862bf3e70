// What counting costs on the serving path, beside a plain array of counters (the floor) and a map by name
// (the simple way); and what an exchange costs by the size of the fleet.
#include "scheduler/counts/book.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <map>
#include <new>
#include <string>
#include <vector>

namespace {
std::size_t allocations = 0;
}

[[gnu::noinline]] void* operator new(std::size_t size) {
    ++allocations;
    if (void* out = std::malloc(size)) return out;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace willowrill::counts {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t batch = 1024;

std::string name(std::size_t tenant) { return "tenant-" + std::to_string(tenant); }

// The tenants of a batch of jobs, the same in each benchmark.
std::vector<std::size_t> jobs(std::size_t tenants) {
    std::vector<std::size_t> out;
    std::uint64_t state = 7;
    for (std::size_t i = 0; i < batch; ++i) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        out.push_back((state >> 33U) % tenants);
    }
    return out;
}

void report(benchmark::State& state, std::size_t allocated) {
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(batch));
    state.counters["allocations"] = static_cast<double>(allocated);
}

void count(benchmark::State& state) {
    const auto tenants = static_cast<std::size_t>(state.range(0));
    CountStore book({.max_tenants = 100'000}, {"i", 1, 1, 1}, 1s);
    std::vector<SeriesIndex> series;
    for (std::size_t i = 0; i < tenants; ++i)
        series.push_back(book.series(name(i), "record-event"));
    const auto all = jobs(tenants);
    Time now = 1s;
    const std::size_t before = allocations;
    for (auto _ : state) {
        for (const std::size_t tenant : all)
            book.count(series[tenant], Outcome::served);
        book.publish(now += 250ms); // so that each batch relinks what it touches, as after an exchange
    }
    report(state, allocations - before);
}
BENCHMARK(count)->Arg(10)->Arg(1000)->Arg(10000);

void floor_plain_array(benchmark::State& state) {
    const auto tenants = static_cast<std::size_t>(state.range(0));
    std::vector<std::uint64_t> counters(tenants * outcome_count);
    const auto all = jobs(tenants);
    const std::size_t before = allocations;
    for (auto _ : state) {
        for (const std::size_t tenant : all)
            ++counters[tenant * outcome_count];
        benchmark::ClobberMemory();
    }
    report(state, allocations - before);
}
BENCHMARK(floor_plain_array)->Arg(10)->Arg(1000)->Arg(10000);

void simple_map_by_name(benchmark::State& state) {
    const auto tenants = static_cast<std::size_t>(state.range(0));
    std::map<std::string, std::uint64_t> counters;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < tenants; ++i)
        names.push_back(name(i));
    const auto all = jobs(tenants);
    const std::size_t before = allocations;
    for (auto _ : state) {
        for (const std::size_t tenant : all)
            ++counters[names[tenant]];
        benchmark::ClobberMemory();
    }
    report(state, allocations - before);
}
BENCHMARK(simple_map_by_name)->Arg(10)->Arg(1000)->Arg(10000);

// One update on its way: a cell of each life of a fleet, put into deltas at one instance and applied at
// another.
void deltas_and_apply(benchmark::State& state) {
    const auto lives = static_cast<std::size_t>(state.range(0));
    std::vector<CountStore> owners;
    CountStore from({}, {"from", 1, 1, 1}, 1s), to({}, {"to", 1, 1, 1}, 1s);
    std::vector<SeriesIndex> series;
    for (std::size_t i = 0; i < lives; ++i) {
        owners.emplace_back(Limits{}, Identity{"o" + std::to_string(i), 1, 1, 1}, 1s);
        series.push_back(owners.back().series("t", "c"));
    }
    Time now = 1s;
    std::int64_t updates = 0;
    for (auto _ : state) {
        state.PauseTiming();
        now += 1s;
        for (std::size_t i = 0; i < lives; ++i) {
            owners[i].count(series[i], Outcome::served);
            owners[i].publish(now);
            for (const Delta& delta : owners[i].save(1100))
                from.apply(delta, now);
        }
        state.ResumeTiming();
        for (const Digest& digest : to.make_digests(50)) {
            std::vector<KnownVersion> lacking;
            for (const Delta& delta : from.make_deltas(from.process_digest(digest, lacking, now), 1100, 1000))
                to.apply(delta, now);
        }
        updates += static_cast<std::int64_t>(lives);
    }
    state.SetItemsProcessed(updates);
}
BENCHMARK(deltas_and_apply)->Arg(5)->Arg(50)->Arg(500);

void totals(benchmark::State& state) {
    const auto lives = static_cast<std::size_t>(state.range(0)),
               tenants = static_cast<std::size_t>(state.range(1));
    CountStore book({.max_tenants = 100'000}, {"self", 1, 1, 1}, 1s);
    for (std::size_t i = 0; i < lives; ++i) {
        CountStore other({.max_tenants = 100'000}, {"o" + std::to_string(i), 1, 1, 1}, 1s);
        for (std::size_t tenant = 0; tenant < tenants; ++tenant)
            other.count(other.series(name(tenant), "c"), Outcome::served);
        other.publish(2s);
        for (const Delta& delta : other.save(1U << 16U))
            book.apply(delta, 2s);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(book.totals(3s));
    state.counters["bytes"] = static_cast<double>(book.memory_bytes());
}
BENCHMARK(totals)->Args({50, 1000})->Args({500, 1000})->Unit(benchmark::kMillisecond);

} // namespace
} // namespace willowrill::counts

BENCHMARK_MAIN();
