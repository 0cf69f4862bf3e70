// The messages that count stores exchange, as plain values. `gossip::encode` turns them into datagrams.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace willowrill::counts {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds; // since the Unix epoch, by the clock of the sender

// How a job ended, from its client's point of view.
enum class Outcome : std::uint8_t { served, refused, failed, client_left };
inline constexpr std::size_t outcome_count = 4;

// The name of a series of counters.
struct Name {
    std::string tenant{}, job_class{};
    bool operator==(const Name&) const = default;
};

// Identifies one life of an instance, that is, one run of its process, and declares its rate limit: within
// any interval of t seconds the life counts at most `burst + rate * t` jobs.
struct Identity {
    std::string instance{};
    std::uint64_t number = 0; // increases with each life of an instance, see `next_life_number`
    std::uint64_t rate = 0;   // per second
    std::uint64_t burst = 0;
    std::uint64_t key() const; // hash of instance and number; identifies the life in messages
};

// Upper bounds of cell values and declared limits, so that sums over a fleet fit into 64 bits. Sections and
// introductions that exceed them are rejected.
inline constexpr std::uint64_t max_cell_value = std::uint64_t{1} << 44U;
inline constexpr std::uint64_t max_rate = 10'000'000, max_burst = 100'000'000;

// Returns the number of a new life: the start time in milliseconds followed by 20 random bits, so that two
// instances of one name get different numbers. The result is greater than `last`, whatever the clock says.
std::uint64_t next_life_number(Time now, std::uint32_t random, std::uint64_t last);

// The index of a cell within a life. Each series of the life has eight slots: one per outcome for the life's
// own counts, then one per outcome for the counts folded from earlier lives.
using Slot = std::uint32_t;
inline constexpr Slot slots_per_series = 8;
constexpr Slot slot_of(std::uint32_t series, Outcome outcome, bool folded = false) {
    return series * slots_per_series + (folded ? static_cast<Slot>(outcome_count) : 0) +
           static_cast<Slot>(outcome);
}

// Each change of a life has its own, ascending version. A section lists changes in that order, so that any
// prefix of it is complete up to the version of its last change.
struct CellUpdate {
    std::uint64_t value = 0;
    Slot slot = 0;
    std::uint32_t version_offset = 0; // version minus the section's `from`
};
struct SeriesUpdate {
    std::uint32_t version_offset = 0;
    Name name{};
};
enum class MarkKind : std::uint32_t {
    cover,  // folded cells with later versions include the lives of this instance up to `number`
    folded, // all folded cells of the lives up to `number` have been published
    ended   // the life has ended and counts no more
};
// A change of a life's status.
struct Mark {
    std::uint64_t number = 0;
    MarkKind kind{};
    std::uint32_t version_offset = 0;
};

// Introduces a life to a receiver that may not know it.
struct Introduction {
    Identity identity{};
};

// All changes of one life with versions in (from, to].
struct Section {
    std::uint64_t key = 0, from = 0, to = 0;
    Time as_of{0}; // everything counted before this time is included; 0 if the section is truncated
    // How many entries of the delta's lists belong to this section. Sections consume the lists in order.
    std::uint32_t cell_count = 0, series_count = 0, mark_count = 0;
};

// Changes of one or more lives, sent in one datagram.
struct Delta {
    std::vector<Introduction> introductions{}; // of lives that the receiver may not know
    std::vector<Section> sections{};
    std::vector<CellUpdate> cells{};
    std::vector<SeriesUpdate> series{};
    std::vector<Mark> marks{};
};

// Corrects a folded cell that is too low: a member that was unreachable during the fold, and long enough to
// be removed from the membership, knew a higher value. Corrections are sent to all members until the folding
// life publishes at least this value.
struct FoldCorrection {
    std::uint64_t key = 0; // of the life whose folded cell is corrected
    std::uint64_t value = 0;
    Name name{};
    Outcome outcome{};
};

// The versions that a store has of all lives with keys in [first, last].
struct Digest {
    std::uint64_t first = 0, last = ~std::uint64_t{0};
    std::vector<std::uint64_t> keys{}, versions{};
    std::vector<Time> as_of{};
    std::vector<FoldCorrection> fold_corrections{};
};

// The version of a life that a store has. `unknown`: the store does not know the life at all.
struct KnownVersion {
    std::uint64_t key = 0, version = 0;
    bool unknown = false;
};

// Upper bounds of the encoded sizes of a delta's parts, in bytes, without names. The tests of the codec check
// them.
namespace max_encoded_bytes {
inline constexpr std::size_t message = 96, section = 48, cell = 16, series = 44, mark = 16, introduction = 72;
}

} // namespace willowrill::counts
