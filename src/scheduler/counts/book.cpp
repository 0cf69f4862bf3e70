#include "scheduler/counts/book.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace willowrill::counts {

// The changes of one section: its parts of the delta's lists.
struct CountStore::SectionUpdates {
    std::span<const CellUpdate> cells;
    std::span<const SeriesUpdate> series;
    std::span<const Mark> marks;
};

CountStore::CountStore(Limits limits, Identity self, Time now) : limits_(limits) {
    limits_.max_lives = std::max<std::size_t>(limits_.max_lives, 2);
    own_life_index_ = add_life(std::move(self));
    publish(now);
}

// ---------------------------------------------------------------------------------------------- counting

// Returns the store-wide index of a series, and adds the series if it is new. Names beyond the limits are
// replaced by `other_tenant` and `other_class`.
std::uint32_t CountStore::intern_series(std::string_view tenant, std::string_view job_class) {
    const auto limited = [&](auto& known, std::string_view name, std::size_t max_names,
                             std::string_view fallback) {
        std::string text(name);
        if (known.contains(text)) return text;
        if (known.size() >= max_names && name != fallback) {
            ++statistics_.over_limit;
            return std::string(fallback);
        }
        known.insert(text);
        return text;
    };
    const std::string tenant_name = limited(tenants_, tenant, limits_.max_tenants, other_tenant);
    const std::string class_name = limited(classes_, job_class, limits_.max_classes, other_class);
    const std::string series_key = tenant_name + '\0' + class_name;
    const auto [position, is_new] =
        series_by_name_.emplace(series_key, static_cast<std::uint32_t>(series_names_.size()));
    if (is_new) series_names_.push_back({tenant_name, class_name});
    return position->second;
}

SeriesIndex CountStore::series(std::string_view tenant, std::string_view job_class) {
    const std::uint32_t global_series = intern_series(tenant, job_class);
    Life& own = lives_[own_life_index_];
    if (const auto known = own.find_series(global_series)) return *known;
    return own.add_series(global_series);
}

void CountStore::publish(Time now) {
    published_at_ = std::max(now, published_at_);
    if (!lives_[own_life_index_].publish(published_at_)) ++statistics_.over_rate;
}

void CountStore::end_life(Time now) {
    lives_[own_life_index_].append_mark(MarkKind::ended);
    publish(now);
}

// ---------------------------------------------------------------------------------------------- exchange

std::vector<Digest> CountStore::make_digests(std::size_t max_entries) const {
    std::vector<Digest> digests;
    Digest part;
    for (const auto& [key, index] : lives_by_key_) {
        if (part.keys.size() == max_entries) {
            part.last = key - 1;
            const std::uint64_t first = key;
            digests.push_back(std::exchange(part, {}));
            part.first = first;
        }
        const Life& life = lives_[index];
        // Counts that are not published yet are not announced.
        part.keys.push_back(key);
        part.versions.push_back(life.version());
        part.as_of.push_back(life.as_of());
    }
    auto correction = fold_corrections_.begin(); // the first part carries them, as there are rarely any
    for (std::size_t i = 0; i < 16 && correction != fold_corrections_.end(); ++i, ++correction)
        (digests.empty() ? part : digests.front())
            .fold_corrections.push_back({correction->first.first, correction->second,
                                         series_names_[correction->first.second / outcome_count],
                                         static_cast<Outcome>(correction->first.second % outcome_count)});
    digests.push_back(std::move(part));
    return digests;
}

std::vector<KnownVersion> CountStore::process_digest(const Digest& digest,
                                                     std::vector<KnownVersion>& store_lacks, Time now) {
    const std::size_t count = std::min({digest.keys.size(), digest.versions.size(), digest.as_of.size()});
    std::vector<KnownVersion> sender_lacks;
    auto it = lives_by_key_.lower_bound(digest.first);
    const auto add_lives_before = [&](std::uint64_t end_key) {
        for (; it != lives_by_key_.end() && it->first < end_key; ++it)
            sender_lacks.push_back({it->first, 0, true});
    };
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t key = digest.keys[i], version = digest.versions[i];
        if (key < digest.first || key > digest.last || (i > 0 && key <= digest.keys[i - 1]))
            break; // malformed: keys must be ascending and within the range
        add_lives_before(key);
        if (it == lives_by_key_.end() || it->first != key) {
            store_lacks.push_back({key, 0, true});
            continue;
        }
        Life& life = lives_[it->second];
        const bool own = it->second == own_life_index_;
        ++it;
        if (version > life.version()) {
            if (!own) store_lacks.push_back({key, life.version(), false});
        } else if (version < life.version()) {
            sender_lacks.push_back({key, version, false});
        } else if (!own) {
            life.update_as_of(digest.as_of[i], now);
        }
    }
    for (; it != lives_by_key_.end() && it->first <= digest.last; ++it)
        sender_lacks.push_back({it->first, 0, true});
    for (const FoldCorrection& correction : digest.fold_corrections)
        apply_correction(correction);
    return sender_lacks;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<Delta> CountStore::make_deltas(const std::vector<KnownVersion>& known_versions,
                                           std::size_t max_bytes, std::size_t max_messages) const {
    std::vector<Delta> messages;
    Delta part;
    std::size_t message_bytes = max_encoded_bytes::message;
    for (const KnownVersion& known : known_versions) {
        const auto found = lives_by_key_.find(known.key);
        if (found == lives_by_key_.end()) continue;
        const Life& life = lives_[found->second];
        std::uint64_t from = known.version;
        bool introduced = !known.unknown;
        while (from < life.version() || !introduced) {
            std::size_t header_bytes = max_encoded_bytes::section;
            if (!introduced)
                header_bytes += max_encoded_bytes::introduction + life.identity().instance.size();
            constexpr std::size_t min_free_bytes = 256; // with less left, the section starts a new message
            if (message_bytes + header_bytes + min_free_bytes > max_bytes &&
                message_bytes > max_encoded_bytes::message) {
                messages.push_back(std::exchange(part, {}));
                message_bytes = max_encoded_bytes::message;
                if (messages.size() == max_messages) return messages;
            }
            if (!std::exchange(introduced, true)) part.introductions.push_back({life.identity()});
            Section section{.key = known.key, .from = from, .to = life.version(), .as_of = life.as_of()};
            message_bytes += header_bytes;
            bool truncated = false;
            std::uint64_t last = from;
            life.changed_since(from, [&](const Life::Change& change) {
                const Name* name = change.kind == Life::EntryKind::series
                                       ? &series_names_[life.global_series(change.index)]
                                       : nullptr;
                const std::size_t change_bytes =
                    name != nullptr ? max_encoded_bytes::series + name->tenant.size() + name->job_class.size()
                                    : max_encoded_bytes::cell;
                const std::uint64_t offset = change.version - from;
                if (message_bytes + change_bytes > max_bytes || offset > 0xffffffffU) {
                    truncated = true;
                    return false;
                }
                message_bytes += change_bytes;
                last = change.version;
                const auto version_offset = static_cast<std::uint32_t>(offset);
                if (change.kind == Life::EntryKind::cell) {
                    part.cells.push_back({change.value, change.index, version_offset});
                    ++section.cell_count;
                } else if (name != nullptr) {
                    part.series.push_back({version_offset, *name});
                    ++section.series_count;
                } else {
                    part.marks.push_back({change.value, change.mark, version_offset});
                    ++section.mark_count;
                }
                return true;
            });
            if (truncated) {
                section.to = last;
                section.as_of = Time(0);
            }
            part.sections.push_back(section);
            // A name that fits into no message; cannot happen, as the lengths of names are bounded.
            if (truncated && last == from) return messages;
            from = section.to;
        }
    }
    if (!part.sections.empty()) messages.push_back(std::move(part));
    return messages;
}

Life* CountStore::find_life(std::uint64_t key) {
    const auto found = lives_by_key_.find(key);
    return found == lives_by_key_.end() ? nullptr : &lives_[found->second];
}

// Invalidates references to elements of `lives_`.
CountStore::LifeIndex CountStore::add_life(Identity identity) {
    if (free_indexes_.empty()) {
        free_indexes_.push_back(static_cast<LifeIndex>(lives_.size()));
        lives_.emplace_back(Identity{}, 0);
    }
    const LifeIndex index = free_indexes_.back();
    free_indexes_.pop_back();
    const std::uint64_t key = identity.key();
    instances_[identity.instance].lives.emplace(identity.number, index);
    lives_[index] = Life(std::move(identity), key);
    lives_by_key_.emplace(key, index);
    return index;
}

// Returns the introduced life, added if it is new, or nullptr if it is rejected.
Life* CountStore::apply_introduction(const Introduction& introduction) {
    const Identity& identity = introduction.identity;
    const std::uint64_t key = identity.key();
    if (Life* known = find_life(key)) return known;
    if (identity.instance.empty() || identity.number == 0 || identity.rate > max_rate ||
        identity.burst > max_burst) {
        ++statistics_.sections_invalid;
        return nullptr;
    }
    if (const auto instance_lives = instances_.find(identity.instance);
        instance_lives != instances_.end() && identity.number <= instance_lives->second.removed_up_to) {
        ++statistics_
              .folded_lives_rejected; // its counts are included already; the sender will remove it, too
        return nullptr;
    }
    if (lives_by_key_.size() >= limits_.max_lives) {
        ++statistics_.over_limit;
        return nullptr;
    }
    const LifeIndex index = add_life(identity);
    if (identity.instance == self().instance)
        highest_other_life_ = std::max(highest_other_life_, identity.number);
    return &lives_[index];
}

void CountStore::apply(const Delta& delta, Time now) {
    std::size_t cells = 0, series = 0, marks = 0;
    for (const Section& section : delta.sections) {
        cells += section.cell_count;
        series += section.series_count;
        marks += section.mark_count;
    }
    if (cells != delta.cells.size() || series != delta.series.size() || marks != delta.marks.size()) {
        ++statistics_.sections_invalid;
        return;
    }
    for (const Introduction& introduction : delta.introductions)
        apply_introduction(introduction);
    std::size_t next_cell = 0, next_series = 0, next_mark = 0; // next element of each of the delta's lists
    for (const Section& section : delta.sections) {
        const SectionUpdates updates{
            std::span(delta.cells)
                .subspan(std::exchange(next_cell, next_cell + section.cell_count), section.cell_count),
            std::span(delta.series)
                .subspan(std::exchange(next_series, next_series + section.series_count),
                         section.series_count),
            std::span(delta.marks)
                .subspan(std::exchange(next_mark, next_mark + section.mark_count), section.mark_count)};
        Life* life = find_life(section.key);
        if (life == nullptr) {
            ++statistics_.sections_unknown;
            continue;
        }
        if (life == &lives_[own_life_index_]) continue; // other instances cannot know more about it
        const std::uint64_t folded = life->folded_up_to();
        if (!apply(updates, section, *life, now)) continue;
        if (!fold_corrections_.empty()) remove_settled_corrections(*life);
        if (life->folded_up_to() > folded) remove_folded(std::string(life->identity().instance), now);
    }
}

// Applies the changes of one section, or none of them if the section is invalid. The three lists are merged
// in the order of their versions.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
bool CountStore::apply(const SectionUpdates& updates, const Section& section, Life& life, Time now) {
    if (section.to < section.from || section.from > life.version()) {
        ++(section.to < section.from ? statistics_.sections_invalid : statistics_.sections_gap);
        return false;
    }
    // The first pass validates the section, the second one applies it.
    std::size_t known_series = life.series_count();
    std::size_t next_cell = 0, next_series = 0, next_mark = 0;
    std::uint64_t last = section.from;
    struct Step {
        Life::EntryKind kind;
        std::uint64_t version;
    };
    const auto next = [&]() -> std::optional<Step> {
        std::optional<Step> earliest;
        const auto consider = [&](Life::EntryKind kind, const auto& list, std::size_t index) {
            if (index < list.size() &&
                (!earliest || section.from + list[index].version_offset < earliest->version))
                earliest = Step{kind, section.from + list[index].version_offset};
        };
        consider(Life::EntryKind::series, updates.series, next_series);
        consider(Life::EntryKind::cell, updates.cells, next_cell);
        consider(Life::EntryKind::mark, updates.marks, next_mark);
        return earliest;
    };
    const auto walk = [&](auto&& visit) {
        next_cell = next_series = next_mark = 0;
        last = section.from;
        while (const auto step = next()) {
            if (step->version <= last || step->version > section.to || !visit(*step)) return false;
            last = step->version;
            ++(step->kind == Life::EntryKind::cell     ? next_cell
               : step->kind == Life::EntryKind::series ? next_series
                                                       : next_mark);
        }
        return true;
    };
    const std::size_t max_series = (limits_.max_tenants + 1) * (limits_.max_classes + 1);
    const bool valid = walk([&](const Step& step) {
        if (step.kind == Life::EntryKind::series && step.version > life.version()) {
            const Name& name = updates.series[next_series].name;
            return !name.tenant.empty() && !name.job_class.empty() && ++known_series <= max_series;
        }
        if (step.kind == Life::EntryKind::cell) {
            return updates.cells[next_cell].slot < known_series * slots_per_series &&
                   updates.cells[next_cell].value <= max_cell_value;
        }
        if (step.kind != Life::EntryKind::mark) return true;
        const Mark& mark = updates.marks[next_mark];
        return mark.kind == MarkKind::ended ||
               ((mark.kind == MarkKind::cover || mark.kind == MarkKind::folded) &&
                mark.number < life.identity().number);
    });
    if (!valid) {
        ++statistics_.sections_invalid;
        return false;
    }
    walk([&](const Step& step) {
        if (step.version <= life.version()) {
            ++statistics_.cells_known;
            return true;
        }
        if (step.kind == Life::EntryKind::series) {
            const Name& name = updates.series[next_series].name;
            life.apply_series(step.version, intern_series(name.tenant, name.job_class));
        } else if (step.kind == Life::EntryKind::cell) {
            life.apply_cell(step.version, updates.cells[next_cell].slot, updates.cells[next_cell].value);
            ++statistics_.cells_applied;
        } else {
            life.apply_mark(step.version, updates.marks[next_mark]);
        }
        return true;
    });
    // The passes above compare versions with `life.version()`, so it advances only now.
    const bool is_current = section.to >= life.version();
    life.advance_version(section.to);
    if (!is_current) return true;
    const bool was_skewed = life.clock_lead() > limits_.max_skew;
    life.update_as_of(section.as_of, now);
    if (!was_skewed && life.clock_lead() > limits_.max_skew) ++statistics_.skewed_clocks;
    return true;
}

// ------------------------------------------------------------------------------------------------ lives

void CountStore::fold(Time now, bool has_unreachable_member) {
    if (has_unreachable_member) return;
    InstanceLives& instance_lives = instances_[self().instance];
    std::uint64_t last = 0;
    for (const auto& [number, index] : instance_lives.lives) {
        // Lives are folded in order, so one that may still count holds back the later ones.
        if (number >= self().number || may_still_count(lives_[index], now)) break;
        last = number;
    }
    if (last <= std::max(lives_[own_life_index_].folded_up_to(), instance_lives.removed_up_to)) return;
    const std::vector<std::uint64_t> sums = sum_lives(instance_lives, last);
    Life& own = lives_[own_life_index_];
    own.append_mark(MarkKind::cover, last);
    for (std::uint32_t global_series = 0; global_series < series_names_.size(); ++global_series) {
        const auto* values = &sums[global_series * outcome_count];
        if (std::all_of(values, values + outcome_count, [](std::uint64_t value) { return value == 0; }))
            continue;
        const auto known = own.find_series(global_series);
        const SeriesIndex series = known ? *known : own.add_series(global_series);
        for (std::size_t o = 0; o < outcome_count; ++o)
            if (values[o] > 0) own.raise_folded(slot_of(series, static_cast<Outcome>(o), true), values[o]);
    }
    own.append_mark(MarkKind::folded, last);
    ++statistics_.folds;
    remove_folded(std::string(self().instance), now);
}

void CountStore::begin_life(std::uint64_t number, Time now) {
    Identity identity = self();
    if (number <= identity.number) return;
    identity.number = number;
    Life& old = lives_[own_life_index_];
    old.append_mark(MarkKind::ended);
    old.publish(now);
    std::vector<std::uint32_t> global_series_indexes;
    for (SeriesIndex series = 0; series < old.series_count(); ++series)
        global_series_indexes.push_back(old.global_series(series));
    own_life_index_ = add_life(std::move(identity));
    // In the same order, so that the series indexes that callers hold remain valid.
    for (const std::uint32_t global_series : global_series_indexes)
        lives_[own_life_index_].add_series(global_series);
    ++statistics_.lives_begun;
    publish(now);
}

// Removes the folded lives of an instance. No counts may be lost: where the lives known here add up to more
// than the folded cells, the difference is kept as a fold correction.
void CountStore::remove_folded(const std::string& instance, Time now) {
    InstanceLives& instance_lives = instances_[instance];
    const Life* folding_life = nullptr;
    for (const auto& [number, index] : instance_lives.lives)
        if (lives_[index].folded_up_to() >
            (folding_life == nullptr ? instance_lives.removed_up_to : folding_life->folded_up_to()))
            folding_life = &lives_[index];
    if (folding_life == nullptr) return;
    const std::uint64_t last = folding_life->folded_up_to(), key = folding_life->key();
    if (instance == self().instance && self().number <= last) {
        // A second instance of this name has folded the current life, which it considered dead. The
        // corrections below keep the counts so far, and a new life takes the counts from now on.
        const std::uint64_t above =
            std::max({last, highest_other_life_, instance_lives.lives.rbegin()->first});
        begin_life(next_life_number(now, static_cast<std::uint32_t>(key), above), now);
        folding_life = find_life(key);
    }
    const std::vector<std::uint64_t> known = sum_lives(instance_lives, last);
    std::vector<std::uint64_t> published(known.size(), 0);
    merge_folded(*folding_life, published);
    std::vector<std::size_t> too_low;
    for (std::size_t i = 0; i < known.size(); ++i)
        if (known[i] > published[i]) too_low.push_back(i);
    if (fold_corrections_.size() + too_low.size() > limits_.max_fold_corrections) {
        ++statistics_.over_limit; // the lives are kept, so that no counts are lost
        return;
    }
    for (const std::size_t i : too_low)
        apply_correction(
            {key, known[i], series_names_[i / outcome_count], static_cast<Outcome>(i % outcome_count)});
    for (auto it = instance_lives.lives.begin(); it != instance_lives.lives.end() && it->first <= last;
         it = instance_lives.lives.erase(it)) {
        lives_by_key_.erase(lives_[it->second].key());
        lives_[it->second] = Life({}, 0);
        free_indexes_.push_back(it->second);
    }
    instance_lives.removed_up_to = last;
}

// Applies a correction to the folded cells of this instance's current life. A correction for another life is
// kept until that life publishes the value.
void CountStore::apply_correction(const FoldCorrection& correction) {
    Life* life = find_life(correction.key);
    if (life == nullptr || !life->has_covers() ||
        static_cast<std::size_t>(correction.outcome) >= outcome_count || correction.value > max_cell_value ||
        correction.name.tenant.empty() || correction.name.job_class.empty())
        return;
    const std::uint32_t global_series = intern_series(correction.name.tenant, correction.name.job_class);
    const auto series = life->find_series(global_series);
    if (series && life->value(slot_of(*series, correction.outcome, true)) >= correction.value) return;
    if (life == &lives_[own_life_index_]) {
        life->raise_folded(
            slot_of(series ? *series : life->add_series(global_series), correction.outcome, true),
            correction.value);
        ++statistics_.cells_corrected;
        return;
    }
    const auto key = std::pair{correction.key,
                               global_series * outcome_count + static_cast<std::size_t>(correction.outcome)};
    if (!fold_corrections_.contains(key) && fold_corrections_.size() >= limits_.max_fold_corrections) {
        ++statistics_.over_limit;
        return;
    }
    std::uint64_t& value = fold_corrections_[key];
    value = std::max(value, correction.value);
}

// Removes the corrections that the folding life has published.
void CountStore::remove_settled_corrections(const Life& life) {
    auto it = fold_corrections_.lower_bound({life.key(), 0});
    while (it != fold_corrections_.end() && it->first.first == life.key()) {
        const auto series = life.find_series(static_cast<std::uint32_t>(it->first.second / outcome_count));
        const auto outcome = static_cast<Outcome>(it->first.second % outcome_count);
        const bool settled = series && life.value(slot_of(*series, outcome, true)) >= it->second;
        it = settled ? fold_corrections_.erase(it) : std::next(it);
    }
}

// ---------------------------------------------------------------------------------------------- reading

// Merges the folded cells of a life into `sums` by maximum.
void CountStore::merge_folded(const Life& life, std::vector<std::uint64_t>& sums) const {
    for (SeriesIndex series = 0; series < life.series_count(); ++series) {
        for (std::size_t o = 0; o < outcome_count; ++o) {
            std::uint64_t& value = sums[life.global_series(series) * outcome_count + o];
            value = std::max(value, life.value(slot_of(series, static_cast<Outcome>(o), true)));
        }
    }
}

// Adds up the lives' own cells in the order of their numbers. A folded cell of a later life is another lower
// bound of the sum over all lives up to a number, and the larger of two lower bounds is used. This counts
// nothing twice, whichever lives are folded and however many of the folded cells have arrived.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<std::uint64_t> CountStore::sum_lives(const InstanceLives& instance_lives,
                                                 std::uint64_t last) const {
    std::vector<std::uint64_t> sums(series_names_.size() * outcome_count, 0);
    struct Bound {
        std::uint64_t number; // the bound applies to the lives up to this number
        std::size_t index;    // of the sum
        std::uint64_t value;
    };
    std::vector<Bound> bounds;
    for (const auto& [number, index] : instance_lives.lives) {
        const Life& life = lives_[index];
        if (!life.has_covers()) continue;
        for (SeriesIndex series = 0; series < life.series_count(); ++series) {
            for (std::size_t o = 0; o < outcome_count; ++o) {
                const Life::Value cell = life.cell_at(slot_of(series, static_cast<Outcome>(o), true));
                if (cell.value > 0)
                    bounds.push_back({life.covered_up_to(cell.version),
                                      life.global_series(series) * outcome_count + o, cell.value});
            }
        }
        for (auto correction = fold_corrections_.lower_bound({life.key(), 0});
             correction != fold_corrections_.end() && correction->first.first == life.key(); ++correction)
            bounds.push_back(
                {life.covered_up_to(life.version()), correction->first.second, correction->second});
    }
    std::ranges::stable_sort(bounds, {}, &Bound::number);
    auto bound = bounds.begin();
    const auto apply_bounds = [&](std::uint64_t number) { // the sums include the lives up to `number`
        for (; bound != bounds.end() && bound->number <= number; ++bound)
            sums[bound->index] = std::max(sums[bound->index], bound->value);
    };
    for (const auto& [number, index] : instance_lives.lives) {
        if (number > last) break;
        apply_bounds(number - 1);
        const Life& life = lives_[index];
        for (SeriesIndex series = 0; series < life.series_count(); ++series)
            for (std::size_t o = 0; o < outcome_count; ++o)
                sums[life.global_series(series) * outcome_count + o] +=
                    life.value(slot_of(series, static_cast<Outcome>(o)));
    }
    apply_bounds(last);
    return sums;
}

// Lower bounds of the fleet's totals, by series and outcome.
std::vector<std::uint64_t> CountStore::fleet_sums() const {
    std::vector<std::uint64_t> totals(series_names_.size() * outcome_count, 0);
    for (const auto& [instance, instance_lives] : instances_) {
        const bool is_single_life =
            instance_lives.lives.size() == 1 && !lives_[instance_lives.lives.begin()->second].has_covers();
        if (!is_single_life) {
            const std::vector<std::uint64_t> sums = sum_lives(instance_lives);
            for (std::size_t i = 0; i < totals.size(); ++i)
                totals[i] += sums[i];
            continue;
        }
        // The common case needs no temporary vector.
        const Life& life = lives_[instance_lives.lives.begin()->second];
        for (SeriesIndex series = 0; series < life.series_count(); ++series)
            for (std::size_t o = 0; o < outcome_count; ++o)
                totals[life.global_series(series) * outcome_count + o] +=
                    life.value(slot_of(series, static_cast<Outcome>(o)));
    }
    return totals;
}

// The age of the last update of a life, corrected by the observed lead of the life's clock.
Duration CountStore::age(const Life& life, Time now) const {
    return std::max(now - life.as_of() + life.clock_lead(), Duration(0));
}

// Whether another life may have counted more than is known here.
bool CountStore::may_still_count(const Life& life, Time now) const {
    return &life != &lives_[own_life_index_] && !life.ended() && age(life, now) < limits_.fold_after;
}

Totals CountStore::totals_summary(Time now) const {
    Totals totals;
    totals.instances = instances_.size();
    for (const auto& [key, index] : lives_by_key_) {
        const Life& life = lives_[index];
        totals.counted += life.counted();
        ++totals.lives;
        if (!may_still_count(life, now)) continue;
        const auto seconds = [](Duration span) { return std::chrono::duration<double>(span).count(); };
        const Duration update_age = age(life, now);
        totals.slack += life.identity().burst + 1 +
                        static_cast<std::uint64_t>(static_cast<double>(life.identity().rate) *
                                                   seconds(update_age + limits_.max_skew));
        totals.age = std::max(totals.age, update_age);
        totals.expected += life.recent_rate() * seconds(update_age);
    }
    return totals;
}

Totals CountStore::totals(Time now) const {
    Totals result = totals_summary(now);
    const std::vector<std::uint64_t> sums = fleet_sums();
    for (std::size_t i = 0; i < sums.size(); ++i) {
        if (sums[i] == 0) continue;
        // The expected further counts are distributed in proportion to the counts so far.
        const double share =
            static_cast<double>(sums[i]) / static_cast<double>(std::max(result.counted, sums[i]));
        const auto expected = std::min(static_cast<std::uint64_t>(share * result.expected), result.slack);
        const Name& name = series_names_[i / outcome_count];
        result.rows.push_back({name.tenant, name.job_class, static_cast<Outcome>(i % outcome_count), sums[i],
                               sums[i] + expected, sums[i] + result.slack});
    }
    std::ranges::sort(result.rows, {}, [](const Total& total) {
        return std::tie(total.tenant, total.job_class, total.outcome);
    });
    return result;
}

std::uint64_t CountStore::low_total(std::string_view tenant, std::string_view job_class,
                                    Outcome outcome) const {
    const auto global_series = series_by_name_.find(std::string(tenant) + '\0' + std::string(job_class));
    return global_series == series_by_name_.end()
               ? 0
               : fleet_sums()[global_series->second * outcome_count + static_cast<std::size_t>(outcome)];
}

bool CountStore::has_versions(const std::vector<KnownVersion>& versions) const {
    auto it = lives_by_key_.begin();
    for (const KnownVersion& required : versions) {
        while (it != lives_by_key_.end() && it->first < required.key)
            ++it;
        if (it == lives_by_key_.end() || it->first != required.key ||
            lives_[it->second].version() < required.version)
            return false;
    }
    return true;
}

std::uint64_t CountStore::fingerprint() const {
    std::uint64_t hash = 0; // a sum of hashes, as the order of the series differs between stores
    const std::vector<std::uint64_t> sums = fleet_sums();
    for (std::size_t i = 0; i < sums.size(); ++i) {
        if (sums[i] == 0) continue;
        const std::string text =
            series_names_[i / outcome_count].tenant + '\0' + series_names_[i / outcome_count].job_class;
        hash += XXH3_64bits_withSeed(text.data(), text.size(), sums[i] * outcome_count + i % outcome_count);
    }
    return hash;
}

std::size_t CountStore::memory_bytes() const {
    std::size_t bytes = sizeof *this + lives_by_key_.size() * 64 + fold_corrections_.size() * 80;
    for (const Life& life : lives_)
        bytes += life.memory_bytes();
    for (const Name& name : series_names_)
        bytes += 2 * (sizeof name + name.tenant.capacity() + name.job_class.capacity()) + 96;
    return bytes;
}

std::vector<Delta> CountStore::save(std::size_t max_bytes) const {
    std::vector<KnownVersion> nothing_known;
    nothing_known.reserve(lives_by_key_.size());
    for (const auto& [key, index] : lives_by_key_)
        nothing_known.push_back({key, 0, true});
    return make_deltas(nothing_known, max_bytes, ~std::size_t{0});
}

} // namespace willowrill::counts
