// What a dispatcher learns from the little it sees: running means that start fast, the rate at which work
// comes, how long jobs run and wait, and zones that have gone silent. Pure bookkeeping, without clock and
// without decisions: what follows from a figure is the module's business.
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
// To 30 years at the most: what is longer never comes, and must not overflow.
inline Time from_seconds(double s) { return Time(static_cast<Time::rep>(std::clamp(s, -1e9, 1e9) * 1e9)); }

// SplitMix64's last step: a hash that is the same everywhere.
inline std::uint64_t mix64(std::uint64_t x) {
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

inline double to_unit_interval(std::uint64_t random) {
    return static_cast<double>(random >> 11U) * 0x1.0p-53;
}

// The place of a pair in tables by kind and zone: no two pairs share one, whatever kinds and zones come.
inline std::size_t group_index(std::size_t kind, std::size_t zone) {
    return (kind + zone) * (kind + zone + 1) / 2 + zone;
}

// A running mean whose first samples weigh more, as few come.
struct Mean {
    double value = 0, samples = 0;
    void add(double x, double least_weight) {
        value += std::max(least_weight, 1 / (samples + 1)) * (x - value);
        ++samples;
    }
};

// Means by group, each drawn to the mean of all while few samples of its own are there.
class GroupMeans {
  public:
    GroupMeans(double prior, double least_weight, double prior_samples = 4)
        : all_{prior, 1}, prior_samples_(prior_samples), least_weight_(least_weight) {}

    void add(std::size_t group, double x) {
        if (groups_.size() <= group) groups_.resize(group + 1);
        groups_[group].add(x, least_weight_);
        all_.add(x, least_weight_);
    }
    double of(std::size_t group) const {
        const Mean own = group < groups_.size() ? groups_[group] : Mean{};
        return (all_.value * prior_samples_ + own.value * own.samples) / (prior_samples_ + own.samples);
    }
    double all() const { return all_.value; }
    double least(std::size_t groups) const { // of the first so many
        double out = all_.value;
        for (std::size_t group = 0; group < groups; ++group)
            out = group == 0 ? of(group) : std::min(out, of(group));
        return out;
    }

  private:
    Mean all_;
    std::vector<Mean> groups_; // as many as kinds and zones are listed
    double prior_samples_, least_weight_;
};

// An amount a second, averaged over about `window_s`, from the first amount on.
class Rate {
  public:
    explicit Rate(double window_s = 10) : window_s_(window_s) {}
    void add(double amount, Time now) {
        const double kept = std::exp(-std::max(0.0, seconds(now - std::exchange(at_, now))) / window_s_);
        amount_ = amount_ * kept + amount;
        seconds_ = seconds_ * kept + window_s_ * (1 - kept);
    }
    double per_s() const { return amount_ / std::max(1.0, seconds_); }

  private:
    double window_s_, amount_ = 0, seconds_ = 0;
    Time at_{0};
};

// Of the work that comes, by class, what a kind of worker is the first choice for: that of the classes which
// need it or, where none does, of those that run anywhere.
class Offered {
  public:
    static constexpr std::size_t anywhere = static_cast<std::size_t>(-1);
    void add_class(std::size_t kind) { classes_.emplace_back(kind, Rate()); }
    void add(std::size_t job_class, double amount, Time now) { classes_[job_class].second.add(amount, now); }
    double to(std::size_t kind) const {
        const double needing = sum(kind);
        return needing > 0 ? needing : sum(anywhere);
    }

  private:
    double sum(std::size_t kind) const {
        double out = 0;
        for (const auto& [needed, rate] : classes_)
            out += needed == kind ? rate.per_s() : 0;
        return out;
    }
    std::vector<std::pair<std::size_t, Rate>> classes_;
};

// A client's later try has less time left than its first: the difference has been running since that one. No
// one client's odd time, longer than its class's, may make all others look late.
class FirstTries {
  public:
    void add_class(Time give_up) { classes_.emplace_back(give_up, Time(0)); }
    // When the first was, before now. Where later ones are marked, one without a mark is of a client in
    // haste.
    Time ago(std::size_t job_class, Time left, bool surely_first) {
        auto& [give_up, longest] = classes_[job_class];
        longest = std::max(longest, std::min(left, give_up));
        return surely_first ? Time(0) : std::max(Time(0), longest - left);
    }

  private:
    std::vector<std::pair<Time, Time>> classes_; // by class: the most, and the most seen
};

// How long the jobs of a class run on a kind of worker, and how long they wait before at a group of workers:
// the run is learnt where there was room, and what an answer took beyond it is the wait.
class Runs {
  public:
    void add_class(double prior_s, double least_weight) {
        runs_.emplace_back(prior_s, least_weight, 2);
        waits_.emplace_back();
    }
    double run(std::size_t job_class) const { return runs_[job_class].all(); }
    double run(std::size_t job_class, std::size_t kind) const { return runs_[job_class].of(kind); }

    struct Place {
        std::size_t kind = 0, group = 0;
    };
    void served(std::size_t job_class, Place at, double took_s, bool had_room, Time now) {
        if (had_room) runs_[job_class].add(at.kind, took_s);
        const double usual = run(job_class, at.kind), known = wait(job_class, at.group, now);
        // One odd worker is not all of its group.
        const double more = std::clamp(took_s - usual - known, -odd * usual, odd * usual);
        set(job_class, at.group, known + wait_weight * more, now);
    }
    // It is out for so long, and not back.
    void outlasts(std::size_t job_class, Place at, double out_s, Time now) {
        const double usual = run(job_class, at.kind), known = wait(job_class, at.group, now);
        const double more = std::clamp(out_s - usual - known, 0.0, odd * usual);
        if (more > 0) set(job_class, at.group, known + wait_weight * more, now);
    }
    double wait(std::size_t job_class, std::size_t group, Time now) const {
        if (group >= waits_[job_class].size()) return 0;
        const Wait& known = waits_[job_class][group];
        return std::max(0.0, known.value) * std::exp2(-seconds(now - known.at) / wait_half_s);
    }

  private:
    static constexpr double odd = 3, wait_weight = 0.25, wait_half_s = 4;
    struct Wait {
        double value = 0;
        Time at{0};
    };
    void set(std::size_t job_class, std::size_t group, double value, Time now) {
        if (waits_[job_class].size() <= group) waits_[job_class].resize(group + 1);
        waits_[job_class][group] = {value, now};
    }
    std::vector<GroupMeans> runs_;         // by class, in them by kind
    std::vector<std::vector<Wait>> waits_; // by class and group
};

// How many slots workers of a kind have: the most seen. Their first reports may all come from busy workers
// and show few, so until there are enough, a kind is taken to have as many as any other, and as the widest
// job needs.
class KindSlots {
  public:
    explicit KindSlots(int enough_reports = 20) : enough_(enough_reports) {}
    // What a client claims for its job, as far as it can be true: more than any worker has shown makes no job
    // wider, and one absurd claim must not decide what all workers are taken for.
    double believed(double claimed) const {
        double most = believable;
        for (const Kind& kind : kinds_)
            most = std::max(most, kind.most);
        return std::min(claimed, most);
    }
    void know(std::size_t kind) {
        if (kinds_.size() <= kind) kinds_.resize(kind + 1);
    }
    void wide_job(double slots) { widest_ = std::max(widest_, slots); }
    void reported(std::size_t kind, double slots) {
        kinds_[kind].most = std::max(kinds_[kind].most, slots);
        ++kinds_[kind].reports;
    }
    void finished(std::size_t kind, double slots) { kinds_[kind].most = std::max(kinds_[kind].most, slots); }
    double of(std::size_t kind) const { // 0: none seen yet
        const Kind& known = kinds_[kind];
        if (known.most <= 0 || known.reports >= enough_) return known.most;
        return std::max(widest_, std::ranges::max(kinds_, {}, &Kind::most).most);
    }
    std::size_t kinds() const { return kinds_.size(); }

  private:
    static constexpr double believable = 64; // until a worker has shown more
    struct Kind {
        double most = 0;
        int reports = 0;
    };
    std::vector<Kind> kinds_; // as many as listed
    double widest_ = 0;       // the most slots that a job has needed
    int enough_;
};

// What is to be looked at, and when. What has become void is dropped when it comes up, and all of it once it
// may be the most: a time that lies a day ahead must not hold its entry for a day.
class TimerQueue {
  public:
    struct Entry {
        Time at{0};
        std::uint64_t serial = 0; // tells whom it was for from those that had the same id
        std::uint32_t id = 0;
        auto operator<=>(const Entry&) const = default;
    };

    void add(Entry entry) {
        entries_.push_back(entry);
        std::ranges::push_heap(entries_, std::greater<>());
    }
    template <class IsVoid> std::optional<Entry> pop_due(Time now, IsVoid is_void) {
        if (entries_.size() > tidy_at_) {
            std::erase_if(entries_, is_void);
            std::ranges::make_heap(entries_, std::greater<>());
            tidy_at_ = 2 * entries_.size() + enough_to_tidy;
        }
        while (!entries_.empty() && (entries_.front().at <= now || is_void(entries_.front()))) {
            std::ranges::pop_heap(entries_, std::greater<>());
            const Entry first = entries_.back();
            entries_.pop_back();
            if (!is_void(first)) return first;
        }
        return std::nullopt;
    }
    std::optional<Time> next_time() const {
        return entries_.empty() ? std::nullopt : std::optional(entries_.front().at);
    }
    std::size_t size() const { return entries_.size(); }

  private:
    static constexpr std::size_t enough_to_tidy = 256;
    std::vector<Entry> entries_; // a heap; at most twice what is not void, and `enough_to_tidy`
    std::size_t tidy_at_ = enough_to_tidy;
};

// How long jobs run for each second of their hint, by kind of worker, at those that hold their key and
// elsewhere.
class HintedRuns {
  public:
    void ended(std::size_t kind, bool away, double ran_s, double hint_s) { // negative: not known
        if (ran_s >= 0 && hint_s > 0) ratios_.add(place(kind, away), std::min(ran_s / hint_s, most));
    }
    double run(std::size_t kind, bool away, double hint_s) const {
        return hint_s * ratios_.of(place(kind, away));
    }
    double fastest(std::size_t kinds, double hint_s) const { return hint_s * ratios_.least(2 * kinds); }

  private:
    static constexpr double least_weight = 0.05, most = 10; // times its hint that one run may count for
    static std::size_t place(std::size_t kind, bool away) { return 2 * kind + (away ? 1 : 0); }
    GroupMeans ratios_{1, least_weight};
};

// How many times as long as expected a worker's jobs run. One that crawls is known by several, or by those
// that are out for very long. Word of it fades, as only a job sent there can tell that it has recovered.
class Pace {
  public:
    void ran(double times, Time now) {
        const double known = of(now);
        value_ = known + weight * (std::min(times, most) - known);
        at_ = now;
    }
    void outlasts(double times, Time now) { // a job has run so long, and still does
        if (times > of(now)) ran(times, now);
    }
    double of(Time now) const { return 1 + (value_ - 1) * std::exp2(-seconds(now - at_) / half_s); }
    bool crawls(Time now) const { return of(now) > crawling; }
    // What a run is expected to take here: the usual, unless it crawls.
    double stretch(Time now) const { return crawls(now) ? of(now) : 1; }

  private:
    static constexpr double weight = 0.3, most = 6, half_s = 10, crawling = 2;
    double value_ = 1;
    Time at_{0};
};

// Which part of the jobs are about a key, by the last thousand or so.
class KeyShares {
  public:
    void add(std::uint64_t key) {
        all_ += 1;
        counts_[key] += 1;
        if (all_ < most) return;
        all_ /= 2;
        for (auto& [held, count] : counts_)
            count /= 2;
        std::erase_if(counts_, [](const auto& entry) { return entry.second < 0.5; });
    }
    double share(std::uint64_t key) const {
        const auto found = counts_.find(key);
        return found == counts_.end() || all_ <= 0 ? 0 : found->second / std::max(all_, some);
    }

  private:
    static constexpr double most = 1024, some = 32;
    double all_ = 0;
    std::unordered_map<std::uint64_t, double> counts_; // 2 * `most` at the most, as none counts under a half
};

// Who holds a key: an order of workers by a hash of both, in which each key has its own, the same to whoever
// makes it, and workers that come and go leave the others in theirs (rendezvous hashing).
class Holders {
  public:
    void asked_for(std::uint64_t key) { shares_.add(key); } // by a job that came
    // As many of the first hold it as its share of the jobs fills, times `spare`; one at the least.
    template <class Ids, class KeyOf>
    void order(std::uint64_t key, double spare, const Ids& ids, KeyOf key_of) {
        key_ = mix64(key + 1);
        holders_ = std::max(1.0, std::ceil(shares_.share(key) * spare * static_cast<double>(ids.size())));
        first_ = {};
        for (const auto id : ids) {
            double height = height_of(key_of(id));
            for (double& held : first_)
                if (height > held) std::swap(height, held);
        }
    }
    // How far behind the last holder a worker comes, 0 or less for a holder. Beyond those that are kept all
    // come alike.
    double beyond(std::uint64_t worker) const {
        const double own = height_of(worker);
        const auto before = std::ranges::count_if(first_, [&](double held) { return held > own; });
        return static_cast<double>(before) + 1 - holders_;
    }

  private:
    double height_of(std::uint64_t worker) const { return to_unit_interval(mix64(key_ ^ worker)); }
    KeyShares shares_;
    std::uint64_t key_ = 0;
    double holders_ = 1;
    std::array<double, 16> first_{};
};

// The one with the lowest score, ties broken by chance.
struct Lowest {
    static constexpr double tie = 1e-9;
    std::uint32_t id = static_cast<std::uint32_t>(-1); // none yet
    double score = std::numeric_limits<double>::infinity();
    int ties = 0;
    template <class Chance> void offer(std::uint32_t other, double its_score, Chance chance) {
        if (its_score < score - tie) {
            *this = {other, its_score, 1};
        } else if (its_score <= score + tie && chance() * ++ties < 1) {
            id = other;
        }
    }
};

// Shares of one thing after the other, laid end to end. A point of chance from 0 to 1 falls to a share by its
// length, and to one alone as long as all of them are no more than 1 (systematic sampling).
class SystematicSampler {
  public:
    // Whether a job of this work, of so much work that comes in all, falls to the next taker. That is due
    // `fair` of it, and closed for as long as it takes until one job more is due; while it is open, it takes
    // more.
    bool select_next(double fair, double work, double all, double point) {
        const double open = 1 - std::min(most_closed, fair / std::max(work, tiny));
        const double share = fair / open / std::max(all, tiny);
        const double from = std::exchange(end_, end_ + share) - point;
        return std::ceil(from + share) > std::ceil(from);
    }

  private:
    static constexpr double most_closed = 0.75, tiny = 1e-9;
    double end_ = 0;
};

// Beats, so many a second, that begin at a time of chance and never come in bursts.
class Pulse {
  public:
    template <class Chance> bool due(Time now, double per_s, Chance chance) {
        if (next_ < Time(0)) next_ = now + from_seconds(chance() / per_s);
        if (now < next_) return false;
        next_ = now + from_seconds(1 / per_s);
        return true;
    }
    Time next() const { return next_; }

  private:
    Time next_{-1};
};

// Which workers of one kind are a dispatcher's homes, by their rank among `count` of them: its slice or,
// where there are more dispatchers than workers, the first `few` of an order of its own.
struct Homes {
    std::size_t self = 0, dispatchers = 1, count = 0, few = 4;
    bool own_order() const { return dispatchers > count; }
    std::uint64_t place(std::uint64_t worker) const { return mix64(worker ^ mix64(self + 1)); }
    bool has(std::size_t rank) const { return own_order() ? rank < few : rank * dispatchers / count == self; }
};

// Tells of each of these, which are alike, whether it is a home.
template <class Id, class KeyOf, class Tell>
void each_home(const Homes& homes, std::span<const Id> alike, KeyOf key_of, Tell tell) {
    std::vector<Id> order(alike.begin(), alike.end());
    if (homes.own_order()) std::ranges::sort(order, {}, [&](Id id) { return homes.place(key_of(id)); });
    for (std::size_t rank = 0; rank < order.size(); ++rank)
        tell(order[rank], homes.has(rank));
}

// What is due to a cold worker of one dispatcher's work within a window, in slot-seconds.
struct ColdShare {
    double warmth, usual_load, more; // load beyond the usual that it is given
    double most = 0;                 // that the rule allows
    double fair = 0;                 // at which it bears as much for what it can do as the others
    // Of those that warm slots bear in the window, divided by the dispatchers; the rule allows a multiple.
    void of_slots(double bears, double multiple) {
        most = multiple * warmth * bears;
        fair = std::min(multiple, usual_load + more) * warmth * bears;
    }
    // Where nobody tells how many slots a worker has, but others are warm and bear their part: an equal part
    // of this dispatcher's own work, beside so many workers. What the rule allows is not known, so that is
    // all.
    void of_work(double work, std::size_t workers) {
        const double equal = work / static_cast<double>(std::max<std::size_t>(1, workers));
        most = fair = equal * warmth * (1 + more / std::max(more, usual_load));
    }
};

// Calls `then` with each run of neighbours for which `what` gives the same.
template <class Id, class What, class Then> void each_run(std::span<Id> ids, What what, Then then) {
    for (std::size_t first = 0, end = 0; first < ids.size(); first = end) {
        while (end < ids.size() && what(ids[end]) == what(ids[first]))
            ++end;
        then(ids.subspan(first, end - first));
    }
}

// What was added within the last window.
class Window {
  public:
    void add(double amount, Time now) { items_.emplace_back(now, amount); }
    double sum(Time window, Time now) {
        std::erase_if(items_, [&](const auto& item) { return item.first + window < now; });
        double out = 0;
        for (const auto& [at, amount] : items_)
            out += amount;
        return out;
    }

  private:
    std::vector<std::pair<Time, double>> items_; // bounded by what its user lets in
};

// Workers of a zone may all be lost at once.
struct Zone {
    int silent = 0; // workers that could not be reached, one after the other, since one answered
    std::uint32_t last = static_cast<std::uint32_t>(-1);
    Time out_until{0};
    bool another_silent(std::uint32_t worker) { // not the same once more
        const bool another = std::exchange(last, worker) != worker;
        if (another) ++silent;
        return another;
    }
};

struct TokenBucket {
    double tokens = 1;
    Time filled_at{0};
    void add(double more, double most) { tokens = std::min(most, tokens + more); }
    bool take_at(double per_s, Time now) { // saves up two seconds' worth at most, or one
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
