// Estimators and small data structures of the dispatcher: running means, arrival rates, run and wait times of
// jobs, slots of workers, key affinity, sampling, timers and budgets. They read no clock and make no dispatch
// decisions; src/scheduler/dispatcher/rules.cpp does.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace willowrill::load_estimates {

using Time = std::chrono::nanoseconds;

inline double seconds(Time d) { return std::chrono::duration<double>(d).count(); }
// Clamps to about 30 years, which never pass, to avoid overflow.
inline Time from_seconds(double s) { return Time(static_cast<Time::rep>(std::clamp(s, -1e9, 1e9) * 1e9)); }

// Finalizer of SplitMix64: a hash that is the same for all processes.
inline std::uint64_t mix64(std::uint64_t x) {
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

// Maps 64 random bits to a uniformly distributed number in [0, 1).
inline double to_unit_interval(std::uint64_t random) {
    return static_cast<double>(random >> 11U) * 0x1.0p-53;
}

// Index of a (kind, zone) pair in tables. The Cantor pairing function gives each pair its own index, also for
// kinds and zones that are not in the settings.
inline std::size_t group_index(std::size_t kind, std::size_t zone) {
    return (kind + zone) * (kind + zone + 1) / 2 + zone;
}

// Running mean: the plain mean of the first samples, then exponentially weighted with `min_weight`.
struct Mean {
    double value = 0, samples = 0;
    void add(double x, double min_weight) {
        value += std::max(min_weight, 1 / (samples + 1)) * (x - value);
        ++samples;
    }
};

// Means by group. The estimate of a group with few samples is drawn towards the mean over all groups.
class GroupMeans {
  public:
    GroupMeans(double prior, double min_weight, double prior_samples = 4)
        : overall_{prior, 1}, prior_samples_(prior_samples), min_weight_(min_weight) {}

    void add(std::size_t group, double x) {
        if (groups_.size() <= group) groups_.resize(group + 1);
        groups_[group].add(x, min_weight_);
        overall_.add(x, min_weight_);
    }
    double estimate(std::size_t group) const {
        const Mean own = group < groups_.size() ? groups_[group] : Mean{};
        return (overall_.value * prior_samples_ + own.value * own.samples) / (prior_samples_ + own.samples);
    }
    double overall() const { return overall_.value; }
    double min_estimate(std::size_t groups) const { // over the first `groups` groups
        double lowest = overall_.value;
        for (std::size_t group = 0; group < groups; ++group)
            lowest = group == 0 ? estimate(group) : std::min(lowest, estimate(group));
        return lowest;
    }

  private:
    Mean overall_;
    std::vector<Mean> groups_; // bounded by the kinds and zones of the worker list
    double prior_samples_, min_weight_;
};

// Amount per second, exponentially averaged over about `window_s`, starting with the first amount.
class Rate {
  public:
    explicit Rate(double window_s = 10) : window_s_(window_s) {}
    void add(double amount, Time now) {
        const double decay = std::exp(-std::max(0.0, seconds(now - std::exchange(at_, now))) / window_s_);
        amount_ = amount_ * decay + amount;
        seconds_ = seconds_ * decay + window_s_ * (1 - decay);
    }
    double per_s() const { return amount_ / std::max(1.0, seconds_); }

  private:
    double window_s_, amount_ = 0, seconds_ = 0;
    Time at_{0};
};

// Rate of arriving work that a kind of worker is the first choice for: the work of the classes that require
// this kind or, if no such work arrives, of the classes that run on any kind.
class OfferedLoad {
  public:
    static constexpr std::size_t any_kind = static_cast<std::size_t>(-1);
    void add_class(std::size_t kind) { classes_.emplace_back(kind, Rate()); }
    void add(std::size_t job_class, double amount, Time now) { classes_[job_class].second.add(amount, now); }
    double rate_for(std::size_t kind) const {
        const double requiring = sum(kind);
        return requiring > 0 ? requiring : sum(any_kind);
    }

  private:
    double sum(std::size_t kind) const {
        double total = 0;
        for (const auto& [required_kind, rate] : classes_)
            total += required_kind == kind ? rate.per_s() : 0;
        return total;
    }
    std::vector<std::pair<std::size_t, Rate>> classes_;
};

// Estimates when a client first tried a job. A retry arrives with less time left than the first try; the
// difference is the time that has passed since. Times left are capped by the limit of the class, so that a
// single client with an unusually long limit does not make all other jobs look like retries.
class FirstTryEstimator {
  public:
    void add_class(Time limit) { classes_.emplace_back(limit, Time(0)); }
    // Time since the first try. `is_first`: known to be the first try, as retries are marked and this one is
    // not; little time left then means a client with a short limit.
    Time since_first_try(std::size_t job_class, Time time_left, bool is_first) {
        auto& [limit, max_seen] = classes_[job_class];
        max_seen = std::max(max_seen, std::min(time_left, limit));
        return is_first ? Time(0) : std::max(Time(0), max_seen - time_left);
    }

  private:
    std::vector<std::pair<Time, Time>> classes_; // by class: limit, and longest time left seen
};

// Run times of the jobs of a class by kind of worker, and wait times before the run by group of workers. Run
// times are learned from jobs that found a free slot; the rest of a latency counts as wait time.
class RunTimes {
  public:
    void add_class(double prior_s, double min_weight) {
        runs_.emplace_back(prior_s, min_weight, 2);
        waits_.emplace_back();
    }
    double run_s(std::size_t job_class) const { return runs_[job_class].overall(); }
    double run_s(std::size_t job_class, std::size_t kind) const { return runs_[job_class].estimate(kind); }

    struct GroupKey {
        std::size_t kind = 0, group = 0;
    };
    void record_served(std::size_t job_class, GroupKey key, double latency_s, bool had_free_slot, Time now) {
        if (had_free_slot) runs_[job_class].add(key.kind, latency_s);
        const double expected_s = run_s(job_class, key.kind), known_s = wait_s(job_class, key.group, now);
        // Bounded, so that a single outlier does not determine the estimate of its whole group.
        const double error_s = std::clamp(latency_s - expected_s - known_s, -max_error_runs * expected_s,
                                          max_error_runs * expected_s);
        set_wait(job_class, key.group, known_s + wait_weight * error_s, now);
    }
    // The attempt has been in flight for `elapsed_s` without a result.
    void record_unfinished(std::size_t job_class, GroupKey key, double elapsed_s, Time now) {
        const double expected_s = run_s(job_class, key.kind), known_s = wait_s(job_class, key.group, now);
        const double error_s = std::clamp(elapsed_s - expected_s - known_s, 0.0, max_error_runs * expected_s);
        if (error_s > 0) set_wait(job_class, key.group, known_s + wait_weight * error_s, now);
    }
    // The estimate decays, with a half-life of `wait_half_life_s`, when there are no new samples.
    double wait_s(std::size_t job_class, std::size_t group, Time now) const {
        if (group >= waits_[job_class].size()) return 0;
        const Wait& wait = waits_[job_class][group];
        return std::max(0.0, wait.value_s) * std::exp2(-seconds(now - wait.at) / wait_half_life_s);
    }

  private:
    // `max_error_runs` is in multiples of the expected run time.
    static constexpr double max_error_runs = 3, wait_weight = 0.25, wait_half_life_s = 4;
    struct Wait {
        double value_s = 0;
        Time at{0};
    };
    void set_wait(std::size_t job_class, std::size_t group, double value_s, Time now) {
        if (waits_[job_class].size() <= group) waits_[job_class].resize(group + 1);
        waits_[job_class][group] = {value_s, now};
    }
    std::vector<GroupMeans> runs_;         // by class, then by kind
    std::vector<std::vector<Wait>> waits_; // by class and group
};

// Number of slots of the workers of a kind: the maximum seen. First reports may all come from busy workers
// and show too few slots. Until there are `min_reports`, a kind is therefore assumed to have as many slots as
// any other kind, and as many as the widest job needs.
class KindSlots {
  public:
    explicit KindSlots(int min_reports = 20) : min_reports_(min_reports) {}
    // Caps the slots that a client claims for its job at the most that any worker has shown, so that an
    // absurd claim does not determine the assumed size of all workers.
    double plausible(double claimed) const {
        double limit = min_claim_limit;
        for (const Kind& kind : kinds_)
            limit = std::max(limit, kind.max_slots);
        return std::min(claimed, limit);
    }
    void add_kind(std::size_t kind) {
        if (kinds_.size() <= kind) kinds_.resize(kind + 1);
    }
    void record_job(double slots) { max_job_slots_ = std::max(max_job_slots_, slots); }
    void record_report(std::size_t kind, double slots) {
        kinds_[kind].max_slots = std::max(kinds_[kind].max_slots, slots);
        ++kinds_[kind].reports;
    }
    void record_finished(std::size_t kind, double slots) {
        kinds_[kind].max_slots = std::max(kinds_[kind].max_slots, slots);
    }
    double slots(std::size_t kind) const { // 0: none seen yet
        const Kind& known = kinds_[kind];
        if (known.max_slots <= 0 || known.reports >= min_reports_) return known.max_slots;
        return std::max(max_job_slots_, std::ranges::max(kinds_, {}, &Kind::max_slots).max_slots);
    }
    std::size_t kinds() const { return kinds_.size(); }

  private:
    static constexpr double min_claim_limit = 64; // accepted until a worker has shown more slots
    struct Kind {
        double max_slots = 0;
        int reports = 0;
    };
    std::vector<Kind> kinds_;  // as many as in the worker list
    double max_job_slots_ = 0; // the most slots that a job has needed
    int min_reports_;
};

// Priority queue of timers. Entries that have become void are dropped when they reach the front, and all of
// them together once they may be the majority: an entry that is due in a day must not stay for a day.
class TimerQueue {
  public:
    struct Entry {
        Time at{0};
        std::uint64_t serial = 0; // distinguishes the owner from earlier owners of the same id
        std::uint32_t id = 0;
        auto operator<=>(const Entry&) const = default;
    };

    void add(Entry entry) {
        entries_.push_back(entry);
        std::ranges::push_heap(entries_, std::greater<>());
    }
    // Removes and returns the earliest entry that is due and not void.
    template <class IsVoid> std::optional<Entry> pop_due(Time now, IsVoid is_void) {
        if (entries_.size() > compact_at_) {
            std::erase_if(entries_, is_void);
            std::ranges::make_heap(entries_, std::greater<>());
            compact_at_ = 2 * entries_.size() + min_compact_size;
        }
        while (!entries_.empty() && (entries_.front().at <= now || is_void(entries_.front()))) {
            std::ranges::pop_heap(entries_, std::greater<>());
            const Entry earliest = entries_.back();
            entries_.pop_back();
            if (!is_void(earliest)) return earliest;
        }
        return std::nullopt;
    }
    std::optional<Time> next_time() const {
        return entries_.empty() ? std::nullopt : std::optional(entries_.front().at);
    }
    std::size_t size() const { return entries_.size(); }

  private:
    static constexpr std::size_t min_compact_size = 256;
    std::vector<Entry> entries_; // min-heap; at most twice the live entries plus `min_compact_size`
    std::size_t compact_at_ = min_compact_size;
};

// Ratio of a job's run time to its hint by kind of worker, separately for workers that hold the job's key and
// for those that do not (`off_holder`).
class HintedRunTimes {
  public:
    // `run_s` is negative if unknown.
    void record_end(std::size_t kind, bool off_holder, double run_s, double hint_s) {
        if (run_s >= 0 && hint_s > 0)
            ratios_.add(index(kind, off_holder), std::min(run_s / hint_s, max_ratio));
    }
    double expected_s(std::size_t kind, bool off_holder, double hint_s) const {
        return hint_s * ratios_.estimate(index(kind, off_holder));
    }
    double min_expected_s(std::size_t kinds, double hint_s) const {
        return hint_s * ratios_.min_estimate(2 * kinds);
    }

  private:
    static constexpr double min_weight = 0.05, max_ratio = 10; // cap on the ratio of a single run
    static std::size_t index(std::size_t kind, bool off_holder) { return 2 * kind + (off_holder ? 1 : 0); }
    GroupMeans ratios_{1, min_weight};
};

// Ratio of the run times of a worker's jobs to the expected ones. It takes several slow runs, or one that is
// very long overdue, to mark a worker as slow. The ratio decays to 1, because only a new job can show that
// the worker has recovered.
class Slowdown {
  public:
    void record_run(double run_ratio, Time now) {
        const double known = ratio(now);
        value_ = known + weight * (std::min(run_ratio, max_ratio) - known);
        at_ = now;
    }
    // A job has run for `run_ratio` times the expected time and has not finished.
    void record_unfinished(double run_ratio, Time now) {
        if (run_ratio > ratio(now)) record_run(run_ratio, now);
    }
    double ratio(Time now) const { return 1 + (value_ - 1) * std::exp2(-seconds(now - at_) / half_life_s); }
    bool is_slow(Time now) const { return ratio(now) > slow_ratio; }
    // Factor on the expected run time on this worker: 1 unless it is slow.
    double run_factor(Time now) const { return is_slow(now) ? ratio(now) : 1; }

  private:
    static constexpr double weight = 0.3, max_ratio = 6, half_life_s = 10, slow_ratio = 2;
    double value_ = 1;
    Time at_{0};
};

// Fraction of the jobs that have a given key, over about the last thousand jobs with keys.
class KeyShares {
  public:
    void add(std::uint64_t key) {
        total_ += 1;
        counts_[key] += 1;
        if (total_ < max_total) return;
        total_ /= 2;
        for (auto& [counted_key, count] : counts_)
            count /= 2;
        std::erase_if(counts_, [](const auto& entry) { return entry.second < 0.5; });
    }
    double share(std::uint64_t key) const {
        const auto found = counts_.find(key);
        return found == counts_.end() || total_ <= 0 ? 0 : found->second / std::max(total_, min_total);
    }

  private:
    static constexpr double max_total = 1024, min_total = 32;
    double total_ = 0;
    std::unordered_map<std::uint64_t, double> counts_; // at most 2 * `max_total`: each count is 0.5 or more
};

// Ranks the workers for a key by rendezvous hashing: every dispatcher computes the same order, each key has
// its own order, and workers that come and go do not change the order of the others. The first workers of the
// order are the holders of the key.
class KeyHolders {
  public:
    void record_job(std::uint64_t key) { shares_.add(key); }
    // Prepares `ranks_behind_holders` for a key. The number of holders is the key's share of the jobs times
    // the number of workers times `overprovision`, at least 1.
    template <class Ids, class KeyOf>
    void rank(std::uint64_t key, double overprovision, const Ids& ids, KeyOf key_of) {
        key_hash_ = mix64(key + 1);
        holder_count_ =
            std::max(1.0, std::ceil(shares_.share(key) * overprovision * static_cast<double>(ids.size())));
        top_weights_ = {};
        for (const auto id : ids) {
            double weight = weight_of(key_of(id));
            for (double& top : top_weights_)
                if (weight > top) std::swap(weight, top);
        }
    }
    // Number of ranks by which a worker comes after the last holder; 0 or less for a holder. All workers
    // after the ranks that are kept in `top_weights_` get the same number.
    double ranks_behind_holders(std::uint64_t worker_key) const {
        const double own = weight_of(worker_key);
        const auto before = std::ranges::count_if(top_weights_, [&](double top) { return top > own; });
        return static_cast<double>(before) + 1 - holder_count_;
    }

  private:
    double weight_of(std::uint64_t worker_key) const {
        return to_unit_interval(mix64(key_hash_ ^ worker_key));
    }
    KeyShares shares_;
    std::uint64_t key_hash_ = 0;
    double holder_count_ = 1;
    std::array<double, 16> top_weights_{}; // descending
};

// The candidate with the lowest score. Ties are broken uniformly at random.
struct LowestScore {
    static constexpr double tie_tolerance = 1e-9;
    std::uint32_t id = static_cast<std::uint32_t>(-1); // none yet
    double score = std::numeric_limits<double>::infinity();
    int ties = 0;
    template <class Uniform> void offer(std::uint32_t candidate, double candidate_score, Uniform uniform) {
        if (candidate_score < score - tie_tolerance) {
            *this = {candidate, candidate_score, 1};
        } else if (candidate_score <= score + tie_tolerance && uniform() * ++ties < 1) {
            id = candidate;
        }
    }
};

// Systematic sampling: the shares of all takers are laid end to end, and a random point in [0, 1) selects a
// taker with a probability equal to its share. It selects at most one taker as long as the shares add up to
// at most 1.
class SystematicSampler {
  public:
    // Whether a job of `job_work` is assigned to the next taker, which is due `fair_work` of the `total_work`
    // that arrives. After a job, a taker is closed until the next job is due to it; its share while it is
    // open is raised to make up for that.
    bool select_next(double fair_work, double job_work, double total_work, double point) {
        const double open_fraction =
            1 - std::min(max_closed_fraction, fair_work / std::max(job_work, epsilon));
        const double share = fair_work / open_fraction / std::max(total_work, epsilon);
        const double begin = std::exchange(end_, end_ + share) - point;
        return std::ceil(begin + share) > std::ceil(begin);
    }

  private:
    static constexpr double max_closed_fraction = 0.75, epsilon = 1e-9;
    double end_ = 0;
};

// Paces an activity at a given rate, without bursts. The first time is random within one interval.
class Pacer {
  public:
    template <class Uniform> bool is_due(Time now, double per_s, Uniform uniform) {
        if (next_ < Time(0)) next_ = now + from_seconds(uniform() / per_s);
        if (now < next_) return false;
        next_ = now + from_seconds(1 / per_s);
        return true;
    }
    Time next_time() const { return next_; }

  private:
    Time next_{-1};
};

// Selects the home workers of a dispatcher among the `count` workers of one kind, by their rank: a contiguous
// slice or, if there are more dispatchers than workers, the first `max_homes` of an order private to the
// dispatcher.
struct HomeSelector {
    std::size_t self = 0, dispatchers = 1, count = 0, max_homes = 4;
    bool uses_own_order() const { return dispatchers > count; }
    std::uint64_t sort_key(std::uint64_t worker_key) const { return mix64(worker_key ^ mix64(self + 1)); }
    bool is_home(std::size_t rank) const {
        return uses_own_order() ? rank < max_homes : rank * dispatchers / count == self;
    }
};

// Calls `assign` with each of the workers, which are of one kind, and whether it is a home.
template <class Id, class KeyOf, class Assign>
void assign_homes(const HomeSelector& selector, std::span<const Id> workers, KeyOf key_of, Assign assign) {
    std::vector<Id> order(workers.begin(), workers.end());
    if (selector.uses_own_order())
        std::ranges::sort(order, {}, [&](Id id) { return selector.sort_key(key_of(id)); });
    for (std::size_t rank = 0; rank < order.size(); ++rank)
        assign(order[rank], selector.is_home(rank));
}

// Budget of one dispatcher for the work that it sends to a cold worker within a window, in slot-seconds.
struct ColdBudget {
    double warmth, usual_load, extra_load; // `extra_load`: load that it is given beyond the usual one
    double max_work = 0;                   // limit of the overload rule
    double fair_work = 0; // loads it, relative to its present capacity, as much as the others
    // For a known number of slots. `warm_work`: what its slots can do in the window when warm, divided by the
    // number of dispatchers. `max_multiple`: the multiple of the present capacity that may be sent.
    void from_slots(double warm_work, double max_multiple) {
        max_work = max_multiple * warmth * warm_work;
        fair_work = std::min(max_multiple, usual_load + extra_load) * warmth * warm_work;
    }
    // For an unknown number of slots, if there are warm workers that take their part: an equal part of the
    // work of this dispatcher over `workers`. The limit of the overload rule is not known then, so the fair
    // part is also the maximum.
    void from_work(double work, std::size_t workers) {
        const double equal_part = work / static_cast<double>(std::max<std::size_t>(1, workers));
        max_work = fair_work = equal_part * warmth * (1 + extra_load / std::max(extra_load, usual_load));
    }
};

// Calls `visit` with each maximal range of adjacent ids for which `attribute` returns the same value.
template <class Id, class Attribute, class Visit>
void for_each_equal_range(std::span<Id> ids, Attribute attribute, Visit visit) {
    for (std::size_t first = 0, end = 0; first < ids.size(); first = end) {
        while (end < ids.size() && attribute(ids[end]) == attribute(ids[first]))
            ++end;
        visit(ids.subspan(first, end - first));
    }
}

// Sum of the amounts added within a sliding window.
class SlidingWindowSum {
  public:
    void add(double amount, Time now) { items_.emplace_back(now, amount); }
    double sum(Time window, Time now) {
        std::erase_if(items_, [&](const auto& item) { return item.first + window < now; });
        double total = 0;
        for (const auto& [at, amount] : items_)
            total += amount;
        return total;
    }

  private:
    std::vector<std::pair<Time, double>> items_; // bounded by the budget of the caller
};

// Health of a zone, whose workers may all fail at once.
struct ZoneHealth {
    int unreachable = 0; // consecutive connection failures of different workers since one has answered
    std::uint32_t last_unreachable = static_cast<std::uint32_t>(-1);
    Time avoid_until{0};
    // Returns false, and does not count, if it is the same worker as the last time.
    bool record_unreachable(std::uint32_t worker) {
        const bool is_another = std::exchange(last_unreachable, worker) != worker;
        if (is_another) ++unreachable;
        return is_another;
    }
};

struct TokenBucket {
    double tokens = 1;
    Time filled_at{0};
    void add(double amount, double capacity) { tokens = std::min(capacity, tokens + amount); }
    // Refills at `per_s` and takes one token. The capacity is two seconds' worth of tokens, at least 1.
    bool refill_and_take(double per_s, Time now) {
        add(per_s * seconds(now - std::exchange(filled_at, now)), std::max(1.0, 2 * per_s));
        return take();
    }
    bool take() {
        if (tokens < 1) return false;
        tokens -= 1;
        return true;
    }
};

} // namespace willowrill::load_estimates
