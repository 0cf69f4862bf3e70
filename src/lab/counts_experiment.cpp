#include "lab/counts_experiment.h"

#include "lab/quantiles.h"
#include "lab/world.h"
#include "scheduler/gossip/seal.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <utility>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;

constexpr Time step = 50ms;
constexpr Time look = 20ms; // so much too long may a time be
constexpr double longest_ms = 600'000;

Time span(double milliseconds) { return Time(static_cast<std::int64_t>(milliseconds * 1e6)); }
double in_ms(Time span) { return std::chrono::duration<double, std::milli>(span).count(); }

// Tenants by Zipf's law, as a few send most of what comes.
class Zipf {
  public:
    explicit Zipf(std::size_t size) {
        double sum = 0;
        for (std::size_t i = 0; i < size; ++i)
            cumulated_.push_back(sum += 1.0 / static_cast<double>(i + 1));
    }
    std::uint32_t operator()(pcg32& random) const {
        const double at = static_cast<double>(random()) / 4294967296.0 * cumulated_.back();
        return static_cast<std::uint32_t>(std::ranges::upper_bound(cumulated_, at) - cumulated_.begin());
    }

  private:
    std::vector<double> cumulated_;
};

struct Mark { // a moment: what each life had stated, and who does not know all of it yet
    Time at{0};
    std::vector<counts::KnownVersion> versions;
    std::vector<std::size_t> waiting;
};

double share(pcg32& random) { return static_cast<double>(random()) / 4294967296.0; }

CountsResult simple_result(const CountsCase& one, const std::string& way, const Quantiles& times,
                           double bytes) {
    return {.way = way,
            .agree_p50_ms = times.at(0.5),
            .agree_p99_ms = times.at(0.99),
            .bytes_per_second = bytes * 1000 / one.interval_ms};
}

// Each pushes its full state to all others, each interval: an instance knows all that was counted by a moment
// once it has heard the next push of each other one.
CountsResult push_all(const CountsCase& one, double state_bytes) {
    pcg32 random(one.seed);
    Quantiles times(0.1, longest_ms);
    const std::size_t n = one.instances;
    for (int moment = 0; moment < static_cast<int>(one.seconds); ++moment) {
        std::vector<double> next(n);
        for (double& at : next)
            at = one.interval_ms * share(random);
        for (std::size_t to = 0; to < n; ++to) {
            double last = 0;
            for (std::size_t from = 0; from < n; ++from) {
                const double delay =
                    one.delay_least_ms + (one.delay_most_ms - one.delay_least_ms) * share(random);
                if (from != to) last = std::max(last, next[from] + delay);
            }
            times.add(std::max(0.1, last));
        }
    }
    return simple_result(one, "push-all", times, state_bytes * static_cast<double>(n - 1));
}

// Each pushes its full state to one other, each interval. The state is simulated by the moment up to which it
// holds what each instance has counted.
CountsResult push_one(const CountsCase& one, double state_bytes) {
    const std::size_t n = one.instances;
    pcg32 random(one.seed);
    struct Push {
        Time at{0};
        std::size_t to = 0;
        std::vector<std::uint32_t> knows;
        bool operator>(const Push& other) const { return at > other.at; }
    };
    std::priority_queue<Push, std::vector<Push>, std::greater<>> pushes;
    std::vector<std::vector<std::uint32_t>> knows(n, std::vector<std::uint32_t>(n, 0));
    std::priority_queue<std::pair<Time, std::size_t>, std::vector<std::pair<Time, std::size_t>>,
                        std::greater<>>
        next;
    for (std::size_t i = 0; i < n; ++i)
        next.emplace(span(one.interval_ms * share(random)), i);
    Quantiles times(0.1, longest_ms);
    std::vector<std::uint32_t> reached(n, 0); // the last moment of which an instance knows all
    const auto moments = static_cast<std::uint32_t>(one.seconds);
    std::uint32_t moment = 0;
    while (std::ranges::any_of(reached, [&](std::uint32_t at) { return at < moments; })) {
        const Time push_at = pushes.empty() ? Time::max() : pushes.top().at;
        const Time moment_at = moment < moments ? std::chrono::seconds(moment + 1) : Time::max();
        const Time now = std::min({next.top().first, push_at, moment_at});
        if (now == moment_at) {
            ++moment;
            for (std::size_t i = 0; i < n; ++i)
                knows[i][i] = moment;
        } else if (now == push_at) {
            const Push push = pushes.top();
            pushes.pop();
            auto& mine = knows[push.to];
            std::uint32_t least = moment;
            for (std::size_t i = 0; i < n; ++i) {
                mine[i] = std::max(mine[i], push.knows[i]);
                least = std::min(least, mine[i]);
            }
            for (; reached[push.to] < least; ++reached[push.to])
                times.add(std::max(0.1, in_ms(now - std::chrono::seconds(reached[push.to] + 1))));
        } else {
            const std::size_t from = next.top().second;
            next.pop();
            next.emplace(now + span(one.interval_ms), from);
            const std::size_t to = (from + 1 + random(static_cast<std::uint32_t>(n - 1))) % n;
            const double delay =
                one.delay_least_ms + (one.delay_most_ms - one.delay_least_ms) * share(random);
            pushes.push({now + span(delay), to, knows[from]});
        }
    }
    return simple_result(one, "push-one", times, state_bytes);
}

} // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<CountsResult> run(const CountsCase& one,
                              const std::function<void(const std::string&)>& progress) {
    World::Options options;
    options.link = {
        .loss = one.loss, .delay_least = span(one.delay_least_ms), .delay_most = span(one.delay_most_ms)};
    options.node.members = {
        .probe_period = 1s, .probe_timeout = 300ms, .forget_after = 24h, .max_members = one.instances + 10};
    options.node.counts_enabled = true;
    options.node.limits = {.max_tenants = one.tenants + 1, .max_lives = one.instances + 10, .fold_after = 1h};
    options.node.exchange_interval = span(one.interval_ms);
    options.node.rate = options.node.burst = 10'000;
    options.node.bytes_per_second = 1'000'000'000; // the bytes are to be seen, not bounded
    options.decode = one.instances <= 50; // of the largest fleets, frames are encoded for their size alone
    options.seed = one.seed;
    World world(options);
    for (std::size_t i = 0; i < one.instances; ++i)
        world.add();
    progress("joining");
    world.run_until_done(
        [&] {
            for (std::size_t i = 0; i < one.instances; ++i)
                if (world.node(i).count_store().life_count() < one.instances) return false;
            return true;
        },
        500ms, 300s);

    const Zipf zipf(one.tenants);
    pcg32 jobs(one.seed * 77 + 5);
    const double jobs_a_step = one.jobs_per_second * std::chrono::duration<double>(step).count();
    std::vector<double> owed(one.instances, 0);
    const auto count = [&] {
        for (std::size_t i = 0; i < one.instances; ++i) {
            for (owed[i] += jobs_a_step; owed[i] >= 1; owed[i] -= 1)
                world.count(i, zipf(jobs), counts::Outcome::served);
        }
    };
    const auto applied = [&] {
        std::uint64_t out = 0;
        for (std::size_t i = 0; i < one.instances; ++i)
            out += world.node(i).count_store().statistics().cells_applied;
        return out;
    };
    const auto stated = [&] { // changes, by all lives: each is to be heard by all others
        std::uint64_t out = 0;
        for (std::size_t i = 0; i < one.instances; ++i)
            out += world.node(i).count_store().version();
        return out;
    };
    const Time warm_end = world.now() + span(one.seconds * 1000);
    while (world.now() < warm_end) {
        count();
        world.run_for(step);
        progress("warming up");
    }

    Quantiles times(0.1, longest_ms);
    std::deque<Mark> marks;
    const Time begun = world.now(), end = begun + span(one.seconds * 1000);
    const std::uint64_t bytes = world.traffic().bytes, cells = applied(), versions = stated();
    const Time busy = world.busy();
    Time next_count = begun, next_mark = begun + 1s;
    std::uint64_t end_bytes = bytes, end_versions = versions, end_cells = cells;
    Time end_busy = busy;
    while (world.now() < end || !marks.empty()) {
        const bool counting = world.now() < end;
        if (counting && world.now() >= next_count) {
            count();
            next_count += step;
        }
        if (counting && world.now() >= next_mark) {
            Mark mark{.at = world.now(), .versions = {}, .waiting = {}};
            for (std::size_t i = 0; i < one.instances; ++i) {
                counts::CountStore& book = world.node(i).count_store();
                book.publish(world.now());
                mark.versions.push_back({book.self().key(), book.version(), false});
                mark.waiting.push_back(i);
            }
            std::ranges::sort(mark.versions, {}, &counts::KnownVersion::key);
            marks.push_back(std::move(mark));
            next_mark += 1s;
            progress("measuring");
        }
        world.run_for(look);
        for (Mark& mark : marks) {
            std::erase_if(mark.waiting, [&](std::size_t i) {
                if (!world.node(i).count_store().has_versions(mark.versions)) return false;
                times.add(in_ms(world.now() - mark.at));
                return true;
            });
        }
        std::erase_if(marks, [](const Mark& mark) { return mark.waiting.empty(); });
        if (counting) {
            end_bytes = world.traffic().bytes;
            end_versions = stated();
            end_cells = applied();
            end_busy = world.busy();
        } else if (world.now() > end + span(longest_ms)) {
            break;
        }
    }
    const double n = static_cast<double>(one.instances);
    double memory = 0;
    for (std::size_t i = 0; i < one.instances; ++i)
        memory += static_cast<double>(world.node(i).count_store().memory_bytes());
    const double updates = static_cast<double>(std::max<std::uint64_t>(end_cells - cells, 1));
    std::vector<CountsResult> out{
        {.way = "ours",
         .agree_p50_ms = times.at(0.5),
         .agree_p99_ms = times.at(0.99),
         .bytes_per_second = static_cast<double>(end_bytes - bytes) / n / one.seconds,
         .memory_bytes = memory / n,
         .cpu_us_per_update = std::chrono::duration<double, std::micro>(end_busy - busy).count() / updates}};
    double state_bytes = 0;
    for (const counts::Delta& delta :
         world.node(0).count_store().save(gossip::max_datagram_bytes - gossip::Sealer::overhead_bytes))
        state_bytes += static_cast<double>(gossip::encode(gossip::Frame{1, 2, 3s, delta}).size() +
                                           gossip::Sealer::overhead_bytes);
    progress("the simple ways");
    out.push_back(push_all(one, state_bytes));
    out.push_back(push_one(one, state_bytes));
    out.push_back({.way = "floor",
                   .agree_p50_ms = (one.delay_least_ms + one.delay_most_ms) / 2,
                   .agree_p99_ms = one.delay_most_ms,
                   .bytes_per_second = static_cast<double>(end_versions - versions) / one.seconds *
                                       static_cast<double>(counts::max_encoded_bytes::cell) * (n - 1) / n});
    return out;
}

} // namespace willowrill::lab
