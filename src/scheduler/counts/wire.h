// What two books tell each other, as plain values. `mesh` makes datagrams of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace willowrill::counts {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds; // since the Unix epoch, by the clock of whoever states it

// How a message ended, as its client saw it.
enum class Outcome : std::uint8_t { served, refused, failed, client_left };
inline constexpr std::size_t outcome_count = 4;

struct Name {
    std::string tenant{}, job_class{};
    bool operator==(const Name&) const = default;
};

// A life of an instance, from start to end, and what it declares: between two times t apart it never counts
// more than `burst + rate * t`.
struct Identity {
    std::string instance{};
    std::uint64_t number = 0; // grows with each life of an instance, see `next_number`
    std::uint64_t rate = 0;   // a second
    std::uint64_t burst = 0;
    std::uint64_t key() const; // a hash of instance and number, by which the life is known in messages
};

// What a cell, and a declaration, may hold at most: with them no sum over any fleet leaves 64 bits. A section
// or an introduction with more is against the rules.
inline constexpr std::uint64_t largest_cell = std::uint64_t{1} << 44U;
inline constexpr std::uint64_t largest_rate = 10'000'000, largest_burst = 100'000'000;

// The start's time in milliseconds and 20 random bits, so that two instances of one name do not share a life;
// above `last`, whatever the clock says.
std::uint64_t next_number(Time now, std::uint32_t random, std::uint64_t last);

// A slot of a life's cells: its own numbering of (tenant, class), eight slots to each: the four outcomes, and
// behind them the same for what it has folded of former lives.
using Slot = std::uint32_t;
inline constexpr Slot slots_per_series = 8;
constexpr Slot slot_of(std::uint32_t series, Outcome outcome, bool folded = false) {
    return series * slots_per_series + (folded ? static_cast<Slot>(outcome_count) : 0) +
           static_cast<Slot>(outcome);
}

// Everything that a life states has a version of its own, ascending; a section holds them in that order, so
// that whatever part of it arrives is a whole up to its last version.
struct CellNews {
    std::uint64_t value = 0;
    Slot slot = 0;
    std::uint32_t after = 0; // version, counted from the section's `from`
};
struct SeriesNews {
    std::uint32_t after = 0;
    Name name{};
};
enum class MarkKind : std::uint32_t {
    cover,  // folded cells stated from here on hold the lives of this instance up to `number`
    folded, // all of these cells have been stated
    ended   // this life counts no more
};
struct Mark {
    std::uint64_t number = 0;
    MarkKind kind{};
    std::uint32_t after = 0;
};

struct Introduction {
    Identity identity{};
};

// Of one life: all that has changed in versions (from, to].
struct Section {
    std::uint64_t key = 0, from = 0, to = 0;
    Time as_of{0}; // the life has stated all that it had counted by then; 0 where the section was cut short
    std::uint32_t cells = 0, series = 0, marks = 0; // how many of the delta's lists are its own, in order
};

struct Delta {
    std::vector<Introduction> introductions{}; // of lives of which the receiver may not know
    std::vector<Section> sections{};
    std::vector<CellNews> cells{};
    std::vector<SeriesNews> series{};
    std::vector<Mark> marks{};
};

// What folded lives have counted, where that is more than the life that folded them has stated: a member was
// away for so long that it was forgotten, and knew more. Told to all until that life states as much.
struct Raise {
    std::uint64_t key = 0; // of the life that folded them
    std::uint64_t value = 0;
    Name name{};
    Outcome outcome{};
};

// What a book knows of all lives whose keys lie in [first, last].
struct Digest {
    std::uint64_t first = 0, last = ~std::uint64_t{0};
    std::vector<std::uint64_t> keys{}, versions{};
    std::vector<Time> as_of{};
    std::vector<Raise> fold_corrections{};
};

// The version of a life that somebody has; `unknown`: nothing at all, not even who it is.
struct KnownVersion {
    std::uint64_t key = 0, version = 0;
    bool unknown = false;
};

// What the parts of a delta cost in a datagram, in bytes; measured on the codec and checked by its tests.
namespace max_encoded_bytes {
inline constexpr std::size_t message = 96, section = 48, cell = 16, series = 44, mark = 16, introduction = 72;
}

} // namespace willowrill::counts
