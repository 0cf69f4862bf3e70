// The cells of one life, in the order in which they last changed.
#pragma once

#include "scheduler/counts/wire.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace willowrill::counts {

using SeriesIndex = std::uint32_t; // a life's own numbering

class Life {
  public:
    Life(Identity identity, std::uint64_t key) : identity_(std::move(identity)), key_(key) {}

    const Identity& identity() const { return identity_; }
    std::uint64_t key() const { return key_; }
    std::uint64_t version() const { return version_; } // all up to here is known
    Time as_of() const { return as_of_; }
    bool ended() const { return ended_; }
    // Lives up to this number are folded into this one, and all that says so is here.
    std::uint64_t folded() const { return folded_; }
    // The number up to which a folded cell holds lives: that of the last cover stated before it.
    std::uint64_t cover_of(std::uint64_t version) const;
    bool covers() const { return !covers_.empty(); }
    // By how much the life's clock is ahead of the reader's at the least.
    Duration ahead() const { return ahead_; }
    double recent_rate() const { return recent_rate_; } // a second, over the last exchanges
    std::uint64_t counted() const { return counted_; }  // the sum of its own cells

    // --- by the life itself
    void count(SeriesIndex series, Outcome outcome) {
        std::uint32_t at = places_[series * outcome_count + static_cast<std::size_t>(outcome)];
        if (at == none) at = place(slot_of(series, outcome));
        ++entries_[at].value;
        ++counted_;
        // Once in each interval: what was told must be told anew, what was not may still change.
        if (entries_[at].version <= sealed_) touch(at, ++version_);
    }
    SeriesIndex add_series(std::uint32_t global); // states it
    // False: it has counted more than it declares.
    bool publish(Time now);
    void raise(Slot slot, std::uint64_t value); // of what is folded
    void state(MarkKind kind, std::uint64_t number = 0);

    // --- by those who hear of it. The caller has checked that the news fit behind `version`.
    void take_series(std::uint64_t version, std::uint32_t global);
    void take_cell(std::uint64_t version, Slot slot, std::uint64_t value);
    void take_mark(std::uint64_t version, const Mark& mark);
    void advance(std::uint64_t version) { version_ = std::max(version_, version); }
    void take_as_of(Time as_of, Time now);

    // --- reading
    struct Value {
        std::uint64_t value = 0, version = 0;
    };
    Value at(Slot slot) const;
    std::uint64_t value(Slot slot) const { return at(slot).value; }
    std::size_t series_count() const { return globals_.size(); }
    std::uint32_t global(SeriesIndex series) const { return globals_[series]; }
    std::optional<SeriesIndex> series_of(std::uint32_t global) const;
    // Calls for what changed behind `from`, ascending, until the visitor says false.
    template <class Visitor> void changed_since(std::uint64_t from, Visitor&& visitor) const;
    std::size_t memory_bytes() const;

    enum class Kind : std::uint8_t { cell, series, mark };
    struct Change {
        Kind kind;
        std::uint64_t version;
        std::uint32_t index;     // slot, or number of the series
        std::uint64_t value = 0; // of a cell, or a mark's number
        MarkKind mark{};
    };

  private:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();
    // Cells, series and marks share one list. `what`: a slot, or one of the codes behind.
    struct Entry {
        std::uint64_t value = 0, version = 0;
        std::uint32_t before = none, after = none;
        std::uint32_t what = 0;
        Kind kind{};
    };

    std::uint32_t place(Slot slot); // of the cell, made where there is none
    std::uint32_t find(Slot slot) const;
    void touch(std::uint32_t at, std::uint64_t version);
    std::uint32_t add(Kind kind, std::uint32_t what, std::uint64_t version);

    Identity identity_;
    std::uint64_t key_, version_ = 0, sealed_ = 0, folded_ = 0, counted_ = 0;
    Time as_of_{0};
    Duration ahead_{0};
    bool ended_ = false;
    double recent_rate_ = 0;
    std::uint64_t counted_at_as_of_ = 0, counted_at_seal_ = 0;
    double allowance_ = 0; // of the declared bound, see `seal`
    std::vector<Entry> entries_;
    // By series and outcome, grown with the series; few lives have anything folded.
    std::vector<std::uint32_t> places_, folded_places_;
    std::vector<std::uint32_t> globals_;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> covers_; // version and number, ascending
    std::uint32_t folded_at_ = none;                              // the entry of the one `folded` mark
    std::uint32_t first_ = none, last_ = none;                    // of the list by version
};

template <class Visitor> void Life::changed_since(std::uint64_t from, Visitor&& visitor) const {
    // From the end back to the first change that is news: what is old costs nothing.
    std::uint32_t at = last_, start = none;
    while (at != none && entries_[at].version > from) {
        start = at;
        at = entries_[at].before;
    }
    for (at = start; at != none; at = entries_[at].after) {
        const Entry& entry = entries_[at];
        const bool mark = entry.kind == Kind::mark;
        if (!visitor(Change{entry.kind, entry.version, mark ? 0 : entry.what, entry.value,
                            mark ? static_cast<MarkKind>(entry.what) : MarkKind{}}))
            return;
    }
}

} // namespace willowrill::counts
