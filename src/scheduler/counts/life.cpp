#include "scheduler/counts/life.h"

#include <algorithm>
#include <utility>

namespace willowrill::counts {

// Appends an entry to the list and returns its position.
std::uint32_t Life::append_entry(EntryKind kind, std::uint32_t index, std::uint64_t version) {
    const auto position = static_cast<std::uint32_t>(entries_.size());
    entries_.push_back({.version = version, .previous = last_entry_, .index = index, .kind = kind});
    (last_entry_ == no_entry ? first_entry_ : entries_[last_entry_].next) = position;
    last_entry_ = position;
    return position;
}

std::uint32_t Life::find_or_add_cell(Slot slot) {
    const bool folded = slot % slots_per_series >= outcome_count;
    const std::size_t cell = slot / slots_per_series * outcome_count + slot % outcome_count;
    if (folded && folded_cell_entries_.size() <= cell)
        folded_cell_entries_.resize(global_series_.size() * outcome_count, no_entry);
    std::uint32_t& position = (folded ? folded_cell_entries_ : cell_entries_)[cell];
    if (position == no_entry) position = append_entry(EntryKind::cell, slot, 0);
    return position;
}

std::uint32_t Life::find_cell(Slot slot) const {
    const auto& positions = slot % slots_per_series >= outcome_count ? folded_cell_entries_ : cell_entries_;
    const std::size_t cell = slot / slots_per_series * outcome_count + slot % outcome_count;
    return cell < positions.size() ? positions[cell] : no_entry;
}

void Life::move_to_back(std::uint32_t position, std::uint64_t version) {
    Entry& entry = entries_[position];
    entry.version = version;
    if (position == last_entry_) return;
    (entry.previous == no_entry ? first_entry_ : entries_[entry.previous].next) = entry.next;
    entries_[entry.next].previous = entry.previous;
    entry.previous = std::exchange(last_entry_, position);
    entry.next = no_entry;
    entries_[entry.previous].next = position;
}

SeriesIndex Life::add_series(std::uint32_t global_series) {
    apply_series(version_ + 1, global_series);
    ++version_;
    // Reserves entries for all cells of all series, so that counting does not allocate.
    const std::size_t wanted = entries_.size() + global_series_.size() * outcome_count;
    if (entries_.capacity() < wanted) entries_.reserve(2 * wanted);
    return static_cast<SeriesIndex>(global_series_.size() - 1);
}

bool Life::publish(Time now) {
    // A token bucket: the counts since the last call may use the remaining tokens and those added since then.
    const double burst = static_cast<double>(identity_.burst);
    double allowed = burst;
    if (as_of_ != Time(0)) {
        const double elapsed_s = std::chrono::duration<double>(std::max(now - as_of_, Duration(0))).count();
        allowed = allowance_ + static_cast<double>(identity_.rate) * elapsed_s;
    }
    const double remaining = allowed - static_cast<double>(counted_ - counted_at_publish_);
    counted_at_publish_ = counted_;
    allowance_ = std::clamp(remaining, 0.0, burst);
    published_version_ = version_;
    update_as_of(now, now);
    return remaining >= 0;
}

void Life::raise_folded(Slot slot, std::uint64_t value) {
    const std::uint32_t position = find_or_add_cell(slot);
    if (entries_[position].value >= value) return;
    entries_[position].value = value;
    move_to_back(position, ++version_);
}

void Life::append_mark(MarkKind kind, std::uint64_t number) {
    if (kind == MarkKind::ended && ended_) return;
    apply_mark(version_ + 1, {.number = number, .kind = kind});
    ++version_;
}

void Life::apply_series(std::uint64_t version, std::uint32_t global_series) {
    append_entry(EntryKind::series, static_cast<std::uint32_t>(global_series_.size()), version);
    global_series_.push_back(global_series);
    cell_entries_.resize(global_series_.size() * outcome_count, no_entry);
}

void Life::apply_cell(std::uint64_t version, Slot slot, std::uint64_t value) {
    const std::uint32_t position = find_or_add_cell(slot);
    Entry& entry = entries_[position];
    if (value > entry.value) {
        if (slot % slots_per_series < outcome_count) counted_ += value - entry.value;
        entry.value = value;
    }
    move_to_back(position, version);
}

void Life::apply_mark(std::uint64_t version, const Mark& mark) {
    std::uint32_t position = mark.kind == MarkKind::folded ? folded_mark_entry_ : no_entry;
    if (position == no_entry) {
        position = append_entry(EntryKind::mark, static_cast<std::uint32_t>(mark.kind), version);
    } else {
        // Replaces the previous mark, as folded cells have changed after its version.
        move_to_back(position, version);
    }
    entries_[position].value = mark.number;
    if (mark.kind == MarkKind::cover) covers_.emplace_back(version, mark.number);
    if (mark.kind == MarkKind::ended) ended_ = true;
    if (mark.kind != MarkKind::folded) return;
    folded_mark_entry_ = position;
    folded_up_to_ = std::max(folded_up_to_, mark.number);
}

std::uint64_t Life::covered_up_to(std::uint64_t version) const {
    std::uint64_t number = 0;
    for (const auto& [mark_version, up_to] : covers_)
        if (mark_version <= version) number = up_to;
    return number;
}

void Life::update_as_of(Time as_of, Time now) {
    if (as_of <= as_of_) return;
    // A timestamp in the future proves that the life's clock is ahead by at least this much.
    clock_lead_ = std::max(clock_lead_, as_of - now);
    if (as_of_ != Time(0)) {
        const double elapsed_s = std::chrono::duration<double>(as_of - as_of_).count();
        const double rate = static_cast<double>(counted_ - counted_at_as_of_) / std::max(elapsed_s, 0.01);
        // A moving average with a time constant of about 2 s.
        const double weight = std::min(1.0, elapsed_s / 2);
        recent_rate_ += (rate - recent_rate_) * weight;
    }
    counted_at_as_of_ = counted_;
    as_of_ = as_of;
}

Life::Value Life::cell_at(Slot slot) const {
    const std::uint32_t position = find_cell(slot);
    if (position == no_entry) return {};
    const Entry& entry = entries_[position];
    return {entry.value, entry.version};
}

std::optional<SeriesIndex> Life::find_series(std::uint32_t global_series) const {
    const auto found = std::ranges::find(global_series_, global_series);
    if (found == global_series_.end()) return std::nullopt;
    return static_cast<SeriesIndex>(found - global_series_.begin());
}

std::size_t Life::memory_bytes() const {
    return sizeof *this + identity_.instance.capacity() + entries_.capacity() * sizeof(Entry) +
           (cell_entries_.capacity() + folded_cell_entries_.capacity() + global_series_.capacity()) *
               sizeof(std::uint32_t);
}

} // namespace willowrill::counts
