// Replicated counters of jobs by tenant, class and outcome, without a leader. Each life of an instance writes
// its own set of grow-only cells; replicas merge cells by maximum, so that reordering, loss and duplication
// are harmless. The store does no I/O and reads no clock. docs/scheduler/counts.md lists guarantees and
// assumptions.
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

// Bounds of the state, whatever other instances send.
struct Limits {
    std::size_t max_tenants = 1000;          // further tenants are counted as `other_tenant`
    std::size_t max_classes = 64;            // further classes are counted as `other_class`
    std::size_t max_lives = 2000;            // further lives are not stored
    Duration max_skew{0};                    // largest assumed difference between two clocks of the fleet
    Duration fold_after{0};                  // a life that is silent for this long counts as ended
    std::size_t max_fold_corrections = 1000; // see `FoldCorrection`
};

inline constexpr std::string_view other_tenant = "(other)", other_class = "(other)";

// One total of the fleet. The true value is within [low, high]: low is the sum of the merged cells; high
// adds, for each life that may still count, the most that its declared rate limit allows since its last
// update.
struct Total {
    std::string tenant, job_class;
    Outcome outcome{};
    std::uint64_t low = 0, estimate = 0, high = 0;
};

struct Totals {
    std::vector<Total> rows{}; // ordered by tenant, class and outcome; zeros are omitted
    Duration age{0};           // of the oldest update of a life that may still count
    std::uint64_t slack = 0;   // high - low, the same for each row
    std::size_t instances = 0, lives = 0;
    std::uint64_t counted = 0; // by the lives that are known and not folded
    double expected = 0;       // further counts since the last updates, estimated from recent rates
};

struct Statistics {
    std::uint64_t cells_applied = 0, cells_known = 0; // received changes: new, and already known
    std::uint64_t sections_gap = 0;                   // sections after a gap; the next exchange fills it
    std::uint64_t sections_unknown = 0;               // sections of a life that was not introduced
    std::uint64_t sections_invalid = 0;               // invalid sections and introductions, ignored entirely
    std::uint64_t folded_lives_rejected = 0; // already folded lives that were received again and rejected
    std::uint64_t over_limit = 0;            // lives, tenants, classes or corrections beyond the limits
    std::uint64_t folds = 0, cells_corrected = 0; // folds by this instance; folded cells that were corrected
    std::uint64_t over_rate = 0; // own counts exceeded the declared rate limit, so `high` is wrong elsewhere
    std::uint64_t skewed_clocks = 0; // lives whose clock is ahead by more than `max_skew`
    std::uint64_t lives_begun = 0;   // lives begun while running, see `begin_life`
};

// The replica of one instance. Not thread-safe.
class CountStore {
  public:
    CountStore(Limits limits, Identity self, Time now);

    // --- counting. `count` is on the serving path and does not allocate once the series exists.
    SeriesIndex series(std::string_view tenant, std::string_view job_class);
    void count(SeriesIndex series, Outcome outcome) { lives_[own_life_index_].count(series, outcome); }
    // Includes everything counted so far in later messages and snapshots. To be called before `make_digests`,
    // `make_deltas` and `save`.
    void publish(Time now);
    // Marks the current life of this instance as ended; it must not count any more.
    void end_life(Time now);

    // --- exchange: A sends digests; B replies with deltas for A and a request; A replies with deltas for B.
    // Splits the digest into parts of at most `max_entries` lives.
    std::vector<Digest> make_digests(std::size_t max_entries) const;
    // Returns the lives of which the sender lacks changes, with the sender's versions. Adds the lives of
    // which this store lacks changes, with its own versions, to `store_lacks`.
    std::vector<KnownVersion> process_digest(const Digest& digest, std::vector<KnownVersion>& store_lacks,
                                             Time now);
    // Returns the changes after the given versions, in at most `max_messages` messages whose estimated
    // encoded size (see `max_encoded_bytes`) is at most `max_bytes`. The next exchange transfers the
    // remaining changes.
    std::vector<Delta> make_deltas(const std::vector<KnownVersion>& known_versions, std::size_t max_bytes,
                                   std::size_t max_messages) const;
    // Merges a received delta. Invalid or unknown sections are counted and skipped.
    void apply(const Delta& delta, Time now);

    // --- lives
    // Folds the ended earlier lives of this instance into the current one. Does nothing if
    // `has_unreachable_member`: an unreachable member may know higher values of these lives.
    void fold(Time now, bool has_unreachable_member);
    // Ends the current life and continues as a life with the given, higher number. Needed if another life of
    // this name has a higher number, because the clock was set back or a second instance uses the name.
    void begin_life(std::uint64_t number, Time now);
    // The highest number of another life of this instance's name that was received, or 0.
    std::uint64_t highest_other_life() const { return highest_other_life_; }

    // --- reading
    Totals totals(Time now) const;
    // `totals` without the rows, which are expensive to compute in a large fleet.
    Totals totals_summary(Time now) const;
    std::uint64_t low_total(std::string_view tenant, std::string_view job_class, Outcome outcome) const;
    const Identity& self() const { return lives_[own_life_index_].identity(); }
    const Statistics& statistics() const { return statistics_; }
    std::size_t memory_bytes() const; // approximate
    std::size_t life_count() const { return lives_by_key_.size(); }
    std::uint64_t version() const {
        return lives_[own_life_index_].version();
    } // last change of the current life
    // Whether this store has each of the lives up to the given version. `versions` is ordered by key.
    bool has_versions(const std::vector<KnownVersion>& versions) const;
    std::uint64_t fingerprint() const; // equal in two stores that agree on all totals

    // --- persistence: the complete state as deltas.
    std::vector<Delta> save(std::size_t max_bytes) const;
    // Lives of this instance with lower numbers than the current one are earlier lives that have ended.
    void load(const Delta& delta, Time now) { apply(delta, now); }

  private:
    using LifeIndex = std::uint32_t;
    // The lives of one instance.
    struct InstanceLives {
        std::map<std::uint64_t, LifeIndex> lives{}; // by number
        std::uint64_t removed_up_to = 0;            // lives up to this number are folded and removed here
    };

    Life* find_life(std::uint64_t key);
    LifeIndex add_life(Identity identity);
    Life* apply_introduction(const Introduction& introduction);
    struct SectionUpdates; // the changes of one section
    bool apply(const SectionUpdates& updates, const Section& section, Life& life, Time now);
    void remove_folded(const std::string& instance, Time now);
    void apply_correction(const FoldCorrection& correction);
    void remove_settled_corrections(const Life& life);
    // Lower bounds of what the lives of an instance with numbers up to `last` have counted, by store-wide
    // series and outcome.
    std::vector<std::uint64_t> sum_lives(const InstanceLives& instance_lives,
                                         std::uint64_t last = ~std::uint64_t{0}) const;
    void merge_folded(const Life& life, std::vector<std::uint64_t>& sums) const;
    std::vector<std::uint64_t> fleet_sums() const;
    std::uint32_t intern_series(std::string_view tenant, std::string_view job_class);
    Duration age(const Life& life, Time now) const;
    bool may_still_count(const Life& life, Time now) const;

    Limits limits_;
    std::vector<Life> lives_; // elements listed in `free_indexes_` are unused
    std::vector<LifeIndex> free_indexes_;
    LifeIndex own_life_index_ = 0;
    std::map<std::uint64_t, LifeIndex> lives_by_key_; // ordered, as digests cover ranges of keys
    std::unordered_map<std::string, InstanceLives> instances_;
    std::vector<Name> series_names_; // by store-wide series index
    std::unordered_map<std::string, std::uint32_t> series_by_name_;
    std::unordered_set<std::string> tenants_, classes_;
    // Values by the folding life's key, and by series and outcome; bounded by `max_fold_corrections`.
    std::map<std::pair<std::uint64_t, std::size_t>, std::uint64_t> fold_corrections_;
    std::uint64_t highest_other_life_ = 0;
    Time published_at_{0};
    Statistics statistics_;
};

} // namespace willowrill::counts
