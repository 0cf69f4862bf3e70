#include "scheduler/counts/life.h"

#include <algorithm>
#include <utility>

namespace willowrill::counts {

std::uint32_t Life::add(Kind kind, std::uint32_t what, std::uint64_t version) {
    const auto at = static_cast<std::uint32_t>(entries_.size());
    entries_.push_back({.version = version, .before = last_, .what = what, .kind = kind});
    (last_ == none ? first_ : entries_[last_].after) = at;
    last_ = at;
    return at;
}

std::uint32_t Life::place(Slot slot) {
    const bool folded = slot % slots_per_series >= outcome_count;
    const std::size_t at = slot / slots_per_series * outcome_count + slot % outcome_count;
    if (folded && folded_places_.size() <= at) folded_places_.resize(globals_.size() * outcome_count, none);
    std::uint32_t& place = (folded ? folded_places_ : places_)[at];
    if (place == none) place = add(Kind::cell, slot, 0);
    return place;
}

std::uint32_t Life::find(Slot slot) const {
    const auto& places = slot % slots_per_series >= outcome_count ? folded_places_ : places_;
    const std::size_t at = slot / slots_per_series * outcome_count + slot % outcome_count;
    return at < places.size() ? places[at] : none;
}

void Life::touch(std::uint32_t at, std::uint64_t version) {
    Entry& entry = entries_[at];
    entry.version = version;
    if (at == last_) return;
    (entry.before == none ? first_ : entries_[entry.before].after) = entry.after;
    entries_[entry.after].before = entry.before;
    entry.before = std::exchange(last_, at);
    entry.after = none;
    entries_[entry.before].after = at;
}

SeriesIndex Life::add_series(std::uint32_t global) {
    take_series(version_ + 1, global);
    ++version_;
    // Room for all that may be counted, so that counting does not allocate.
    const std::size_t wanted = entries_.size() + globals_.size() * outcome_count;
    if (entries_.capacity() < wanted) entries_.reserve(2 * wanted);
    return static_cast<SeriesIndex>(globals_.size() - 1);
}

bool Life::publish(Time now) {
    // A bucket: what may be counted since the last look is what was in it then and what has come in since.
    const double burst = static_cast<double>(identity_.burst);
    double allowed = burst;
    if (as_of_ != Time(0)) {
        const double passed = std::chrono::duration<double>(std::max(now - as_of_, Duration(0))).count();
        allowed = allowance_ + static_cast<double>(identity_.rate) * passed;
    }
    const double left = allowed - static_cast<double>(counted_ - counted_at_seal_);
    counted_at_seal_ = counted_;
    allowance_ = std::clamp(left, 0.0, burst);
    sealed_ = version_;
    take_as_of(now, now);
    return left >= 0;
}

void Life::raise(Slot slot, std::uint64_t value) {
    const std::uint32_t at = place(slot);
    if (entries_[at].value >= value) return;
    entries_[at].value = value;
    touch(at, ++version_);
}

void Life::state(MarkKind kind, std::uint64_t number) {
    if (kind == MarkKind::ended && ended_) return;
    take_mark(version_ + 1, {.number = number, .kind = kind});
    ++version_;
}

void Life::take_series(std::uint64_t version, std::uint32_t global) {
    add(Kind::series, static_cast<std::uint32_t>(globals_.size()), version);
    globals_.push_back(global);
    places_.resize(globals_.size() * outcome_count, none);
}

void Life::take_cell(std::uint64_t version, Slot slot, std::uint64_t value) {
    const std::uint32_t at = place(slot);
    Entry& entry = entries_[at];
    if (value > entry.value) {
        if (slot % slots_per_series < outcome_count) counted_ += value - entry.value;
        entry.value = value;
    }
    touch(at, version);
}

void Life::take_mark(std::uint64_t version, const Mark& mark) {
    std::uint32_t at = mark.kind == MarkKind::folded ? folded_at_ : none;
    if (at == none) {
        at = add(Kind::mark, static_cast<std::uint32_t>(mark.kind), version);
    } else {
        touch(at, version); // the former one goes: it came before cells that have been stated anew
    }
    entries_[at].value = mark.number;
    if (mark.kind == MarkKind::cover) covers_.emplace_back(version, mark.number);
    if (mark.kind == MarkKind::ended) ended_ = true;
    if (mark.kind != MarkKind::folded) return;
    folded_at_ = at;
    folded_ = std::max(folded_, mark.number);
}

std::uint64_t Life::cover_of(std::uint64_t version) const {
    std::uint64_t number = 0;
    for (const auto& [stated, up_to] : covers_)
        if (stated <= version) number = up_to;
    return number;
}

void Life::take_as_of(Time as_of, Time now) {
    if (as_of <= as_of_) return;
    ahead_ = std::max(ahead_, as_of - now); // what comes cannot have been stated later than now
    if (as_of_ != Time(0)) {
        const double passed = std::chrono::duration<double>(as_of - as_of_).count();
        const double rate = static_cast<double>(counted_ - counted_at_as_of_) / std::max(passed, 0.01);
        const double weight = std::min(1.0, passed / 2); // a mean over some two seconds
        recent_rate_ += (rate - recent_rate_) * weight;
    }
    counted_at_as_of_ = counted_;
    as_of_ = as_of;
}

Life::Value Life::at(Slot slot) const {
    const std::uint32_t at = find(slot);
    if (at == none) return {};
    const Entry& entry = entries_[at];
    return {entry.value, entry.version};
}

std::optional<SeriesIndex> Life::series_of(std::uint32_t global) const {
    const auto found = std::ranges::find(globals_, global);
    if (found == globals_.end()) return std::nullopt;
    return static_cast<SeriesIndex>(found - globals_.begin());
}

std::size_t Life::memory_bytes() const {
    return sizeof *this + identity_.instance.capacity() + entries_.capacity() * sizeof(Entry) +
           (places_.capacity() + folded_places_.capacity() + globals_.capacity()) * sizeof(std::uint32_t);
}

} // namespace willowrill::counts
