// The counters (cells) of one life of an instance, ordered by the version of their last change.
#pragma once

#include "scheduler/counts/wire.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace willowrill::counts {

using SeriesIndex = std::uint32_t; // index of a series within one life

// The grow-only counters of one life. The life itself counts into its own copy; other instances hold replicas
// that they update from deltas. Not thread-safe.
class Life {
  public:
    Life(Identity identity, std::uint64_t key) : identity_(std::move(identity)), key_(key) {}

    const Identity& identity() const { return identity_; }
    std::uint64_t key() const { return key_; }
    std::uint64_t version() const { return version_; } // all changes up to this version are known
    // Everything that the life counted before this time, by its own clock, is included here.
    Time as_of() const { return as_of_; }
    bool ended() const { return ended_; }
    // Lives up to this number are folded into this one, and all resulting cells are known here.
    std::uint64_t folded_up_to() const { return folded_up_to_; }
    // The highest life number included in a folded cell of the given version: that of the last `cover` mark
    // before it.
    std::uint64_t covered_up_to(std::uint64_t version) const;
    bool has_covers() const { return !covers_.empty(); }
    // The largest observed lead of the life's clock over the local clock. The actual lead may be larger.
    Duration clock_lead() const { return clock_lead_; }
    double recent_rate() const { return recent_rate_; } // per second, averaged over the last exchanges
    std::uint64_t counted() const { return counted_; }  // the sum of the life's own cells

    // --- updates by the life itself
    void count(SeriesIndex series, Outcome outcome) {
        std::uint32_t position = cell_entries_[series * outcome_count + static_cast<std::size_t>(outcome)];
        if (position == no_entry) position = find_or_add_cell(slot_of(series, outcome));
        ++entries_[position].value;
        ++counted_;
        // A published value gets a new version; one that is not yet published keeps its version.
        if (entries_[position].version <= published_version_) move_to_back(position, ++version_);
    }
    SeriesIndex add_series(std::uint32_t global_series);
    // Makes all counts so far visible to other instances. Returns false if the life has counted more than its
    // declared rate limit allows.
    bool publish(Time now);
    void raise_folded(Slot slot, std::uint64_t value); // sets a folded cell, if `value` is higher
    // Records a mark as a new change.
    void append_mark(MarkKind kind, std::uint64_t number = 0);

    // --- updates of a replica. The caller has checked that the changes follow `version()`.
    void apply_series(std::uint64_t version, std::uint32_t global_series);
    void apply_cell(std::uint64_t version, Slot slot, std::uint64_t value);
    void apply_mark(std::uint64_t version, const Mark& mark);
    void advance_version(std::uint64_t version) { version_ = std::max(version_, version); }
    void update_as_of(Time as_of, Time now);

    // --- reading
    struct Value {
        std::uint64_t value = 0, version = 0;
    };
    // The value of a cell and the version of its last change; zeros for a cell that does not exist.
    Value cell_at(Slot slot) const;
    std::uint64_t value(Slot slot) const { return cell_at(slot).value; }
    std::size_t series_count() const { return global_series_.size(); }
    // The store-wide index of a series.
    std::uint32_t global_series(SeriesIndex series) const { return global_series_[series]; }
    std::optional<SeriesIndex> find_series(std::uint32_t global_series) const;
    // Calls `visitor` for each change after version `from`, in ascending order, until it returns false.
    template <class Visitor> void changed_since(std::uint64_t from, Visitor&& visitor) const;
    std::size_t memory_bytes() const; // approximate

    enum class EntryKind : std::uint8_t { cell, series, mark };
    struct Change {
        EntryKind kind;
        std::uint64_t version;
        std::uint32_t index;     // the slot or the series index
        std::uint64_t value = 0; // the value of a cell, or the number of a mark
        MarkKind mark{};
    };

  private:
    static constexpr std::uint32_t no_entry = std::numeric_limits<std::uint32_t>::max();
    // An element of the doubly linked list that orders cells, series and marks by version. `index` is a
    // slot, a series index or a mark kind, depending on `kind`.
    struct Entry {
        std::uint64_t value = 0, version = 0;
        std::uint32_t previous = no_entry, next = no_entry;
        std::uint32_t index = 0;
        EntryKind kind{};
    };

    std::uint32_t find_or_add_cell(Slot slot); // the entry of the cell, added if missing
    std::uint32_t find_cell(Slot slot) const;  // `no_entry` if the cell does not exist
    // Gives the entry a new version and moves it to the end of the list.
    void move_to_back(std::uint32_t position, std::uint64_t version);
    std::uint32_t append_entry(EntryKind kind, std::uint32_t index, std::uint64_t version);

    Identity identity_;
    std::uint64_t key_, version_ = 0, published_version_ = 0, folded_up_to_ = 0, counted_ = 0;
    Time as_of_{0};
    Duration clock_lead_{0};
    bool ended_ = false;
    double recent_rate_ = 0;
    std::uint64_t counted_at_as_of_ = 0, counted_at_publish_ = 0;
    double allowance_ = 0; // tokens left in the bucket that `publish` checks
    std::vector<Entry> entries_;
    // Entries of the cells by series and outcome. The list for folded cells is allocated on first use, as few
    // lives have any.
    std::vector<std::uint32_t> cell_entries_, folded_cell_entries_;
    std::vector<std::uint32_t> global_series_; // store-wide index by series index
    // Version and number of the `cover` marks, ascending.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> covers_;
    std::uint32_t folded_mark_entry_ = no_entry;                   // entry of the only `folded` mark
    std::uint32_t first_entry_ = no_entry, last_entry_ = no_entry; // ends of the list
};

template <class Visitor> void Life::changed_since(std::uint64_t from, Visitor&& visitor) const {
    // Walks back from the end of the list, so that older entries cost nothing.
    std::uint32_t position = last_entry_, start = no_entry;
    while (position != no_entry && entries_[position].version > from) {
        start = position;
        position = entries_[position].previous;
    }
    for (position = start; position != no_entry; position = entries_[position].next) {
        const Entry& entry = entries_[position];
        const bool is_mark = entry.kind == EntryKind::mark;
        if (!visitor(Change{entry.kind, entry.version, is_mark ? 0 : entry.index, entry.value,
                            is_mark ? static_cast<MarkKind>(entry.index) : MarkKind{}}))
            return;
    }
}

} // namespace willowrill::counts
