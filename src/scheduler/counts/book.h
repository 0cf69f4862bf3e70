// Use counted among instances without a leader: grow-only cells by tenant, class and outcome, one set for
// each life of an instance, which alone writes them. Merged by maximum, so that order, loss and repeats do
// not matter. Pure: it knows no clock, no sockets and no files; docs/scheduler/counts.md tells what is
// promised and what is assumed.
#pragma once

#include "scheduler/counts/life.h"
#include "scheduler/counts/wire.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace willowrill::counts {

// What bounds the state, whatever comes from outside.
struct Limits {
    std::size_t max_tenants = 1000;          // further ones are counted together, as `other_tenant`
    std::size_t max_classes = 64;            // further ones as `other_class`
    std::size_t max_lives = 2000;            // further ones are not taken in
    Duration max_skew{0};                    // by which two clocks of the fleet may differ at most
    Duration fold_after{0};                  // a life not heard of for that long has ended
    std::size_t max_fold_corrections = 1000; // see `Digest::raises`
};

inline constexpr std::string_view other_tenant = "(other)", other_class = "(other)";

// One total of the fleet. The truth lies within low..high: low is what is merged; high adds, for each life
// that may still count, what it declared as its most since it was last heard.
struct Total {
    std::string tenant, job_class;
    Outcome outcome{};
    std::uint64_t low = 0, estimate = 0, high = 0;
};

struct Totals {
    std::vector<Total> rows{}; // by tenant, class and outcome; those at 0 are left out
    Duration age{0};           // since the longest silent of the lives that may still count was heard
    std::uint64_t slack = 0;   // high - low, the same for each row
    std::size_t instances = 0, lives = 0;
    std::uint64_t counted = 0; // by the lives that are known and not folded
    double expected = 0;       // by their recent rates, since they were heard
};

struct Statistics {
    std::uint64_t cells_applied = 0, cells_known = 0; // of what came: news, and what was known already
    std::uint64_t sections_gap = 0;      // what came in between is missing; the next exchange brings it
    std::uint64_t sections_unknown = 0;  // of a life that was not introduced
    std::uint64_t sections_bad = 0;      // against the format's own rules; nothing of it was taken over
    std::uint64_t folded_returned = 0;   // lives that are folded, brought back from somewhere; not taken in
    std::uint64_t over_limit = 0;        // lives, tenants or classes beyond the limits
    std::uint64_t folds = 0, raised = 0; // lives folded here; cells raised as a returning life knew more
    std::uint64_t over_rate = 0;   // counted beyond this instance's declared bound: its peers' high is wrong
    std::uint64_t skewed = 0;      // lives whose clock was found ahead by more than `max_skew`
    std::uint64_t lives_begun = 0; // lives that this instance began in service, see `begin_life`
};

class CountStore {
  public:
    CountStore(Limits limits, Identity self, Time now);

    // --- counting, on the serving path: no allocation once a series is known.
    SeriesIndex series(std::string_view tenant, std::string_view job_class);
    void count(SeriesIndex series, Outcome outcome) { lives_[own_].count(series, outcome); }
    // All that was counted is in what peers are told from now on; call it before `digest` and `save`.
    void publish(Time now);
    void end(Time now); // this life counts no more

    // --- exchange: A's digest, B's answer (what A lacks, and what B wants), A's deltas for what B wants.
    std::vector<Digest> make_digests(std::size_t most_entries) const;
    std::vector<KnownVersion> process_digest(const Digest& digest, std::vector<KnownVersion>& lacking,
                                             Time now);
    // Sections for what the other side has according to `wants`, in messages of at most `max_bytes` as
    // `wire.h` costs them, at most `most` of them. What is left out is wanted again in the next exchange.
    std::vector<Delta> make_deltas(const std::vector<KnownVersion>& wants, std::size_t max_bytes,
                                   std::size_t most) const;
    void apply(const Delta& delta, Time now);

    // --- lives
    // Folds those of this instance's former lives that have ended into the present one. `someone_away`: a
    // member that is not forgotten cannot be reached, and may know more of them.
    void fold(Time now, bool someone_away);
    // This name has a life numbered higher, by a clock that went back or a second instance of that name: goes
    // on as a life numbered above it. The present one ends.
    void begin_life(std::uint64_t number, Time now);
    std::uint64_t rival() const { return rival_; } // the highest number of another life of this name, or 0

    // --- reading
    Totals totals(Time now) const;
    Totals
    totals_summary(Time now) const; // the same without the rows, which take long to add up in a large fleet
    std::uint64_t low_total(std::string_view tenant, std::string_view job_class, Outcome outcome) const;
    const Identity& self() const { return lives_[own_].identity(); }
    const Statistics& statistics() const { return statistics_; }
    std::size_t memory_bytes() const; // of memory, about
    std::size_t life_count() const { return by_key_.size(); }
    std::uint64_t version() const { return lives_[own_].version(); } // of what this instance has stated
    // Whether it knows each of these lives up to the version given; ascending by key.
    bool has_versions(const std::vector<KnownVersion>& versions) const;
    std::uint64_t fingerprint() const; // the same in two books that agree on every total

    // --- what survives a restart: everything, as deltas from nothing.
    std::vector<Delta> save(std::size_t max_bytes) const;
    // Former lives of this instance among it are lives that have ended, if `self` is numbered above them.
    void load(const Delta& delta, Time now) { apply(delta, now); }

  private:
    using LifeIndex = std::uint32_t;
    struct Chain { // the lives of one instance, ascending
        std::map<std::uint64_t, LifeIndex> lives{};
        std::uint64_t gone = 0; // lives up to this number are folded, and let go of here
    };

    Life* find(std::uint64_t key);
    LifeIndex add_life(Identity identity);
    Life* introduce(const Introduction& introduction);
    struct News; // a section's part of a delta
    bool apply(const News& news, const Section& section, Life& life, Time now);
    void drop_folded(const std::string& instance, Time now);
    void take_raise(const Raise& raise);
    void settle_raises(const Life& life);
    // What the lives of a chain up to `last` have counted at least, by global series and outcome.
    std::vector<std::uint64_t> chain_sums(const Chain& chain, std::uint64_t last = ~std::uint64_t{0}) const;
    void add_folded(const Life& life, std::vector<std::uint64_t>& into) const;
    std::vector<std::uint64_t> fleet_sums() const;
    std::uint32_t intern(std::string_view tenant, std::string_view job_class);
    Duration age(const Life& life, Time now) const;
    bool may_count(const Life& life, Time now) const;

    Limits limits_;
    std::vector<Life> lives_; // freed places are used again
    std::vector<LifeIndex> free_;
    LifeIndex own_ = 0;
    std::map<std::uint64_t, LifeIndex> by_key_; // ordered, as digests go by ranges of keys
    std::unordered_map<std::string, Chain> chains_;
    std::vector<Name> names_; // by global series
    std::unordered_map<std::string, std::uint32_t> globals_;
    std::unordered_set<std::string> tenants_, classes_;
    // By the folding life's key, and by global series and outcome; bounded by `Limits::raises`.
    std::map<std::pair<std::uint64_t, std::size_t>, std::uint64_t> raises_;
    std::uint64_t rival_ = 0;
    Time sealed_at_{0};
    Statistics statistics_;
};

} // namespace willowrill::counts
