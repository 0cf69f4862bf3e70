#include "scheduler/counts/book.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace willowrill::counts {

struct CountStore::News {
    std::span<const CellNews> cells;
    std::span<const SeriesNews> series;
    std::span<const Mark> marks;
};

CountStore::CountStore(Limits limits, Identity self, Time now) : limits_(limits) {
    limits_.max_lives = std::max<std::size_t>(limits_.max_lives, 2);
    own_ = add_life(std::move(self));
    publish(now);
}

// ---------------------------------------------------------------------------------------------- counting

std::uint32_t CountStore::intern(std::string_view tenant, std::string_view job_class) {
    const auto within = [&](auto& seen, std::string_view name, std::size_t most, std::string_view other) {
        std::string text(name);
        if (seen.contains(text)) return text;
        if (seen.size() >= most && name != other) {
            ++statistics_.over_limit;
            return std::string(other);
        }
        seen.insert(text);
        return text;
    };
    const std::string tenant_name = within(tenants_, tenant, limits_.max_tenants, other_tenant);
    const std::string class_name = within(classes_, job_class, limits_.max_classes, other_class);
    const std::string whole = tenant_name + '\0' + class_name;
    const auto [at, is_new] = globals_.emplace(whole, static_cast<std::uint32_t>(names_.size()));
    if (is_new) names_.push_back({tenant_name, class_name});
    return at->second;
}

SeriesIndex CountStore::series(std::string_view tenant, std::string_view job_class) {
    const std::uint32_t global = intern(tenant, job_class);
    Life& own = lives_[own_];
    if (const auto known = own.series_of(global)) return *known;
    return own.add_series(global);
}

void CountStore::publish(Time now) {
    sealed_at_ = std::max(now, sealed_at_);
    if (!lives_[own_].publish(sealed_at_)) ++statistics_.over_rate;
}

void CountStore::end(Time now) {
    lives_[own_].state(MarkKind::ended);
    publish(now);
}

// ---------------------------------------------------------------------------------------------- exchange

std::vector<Digest> CountStore::make_digests(std::size_t most_entries) const {
    std::vector<Digest> out;
    Digest part;
    for (const auto& [key, index] : by_key_) {
        if (part.keys.size() == most_entries) {
            part.last = key - 1;
            const std::uint64_t first = key;
            out.push_back(std::exchange(part, {}));
            part.first = first;
        }
        const Life& life = lives_[index];
        // What is counted but not sealed is told to nobody.
        part.keys.push_back(key);
        part.versions.push_back(life.version());
        part.as_of.push_back(life.as_of());
    }
    auto raise = raises_.begin(); // few, if any: they go with the first part
    for (std::size_t i = 0; i < 16 && raise != raises_.end(); ++i, ++raise)
        (out.empty() ? part : out.front())
            .fold_corrections.push_back({raise->first.first, raise->second,
                                         names_[raise->first.second / outcome_count],
                                         static_cast<Outcome>(raise->first.second % outcome_count)});
    out.push_back(std::move(part));
    return out;
}

std::vector<KnownVersion> CountStore::process_digest(const Digest& digest, std::vector<KnownVersion>& lacking,
                                                     Time now) {
    const std::size_t count = std::min({digest.keys.size(), digest.versions.size(), digest.as_of.size()});
    std::vector<KnownVersion> theirs; // what the other side has too little of
    auto mine = by_key_.lower_bound(digest.first);
    const auto more = [&](std::uint64_t before) {
        for (; mine != by_key_.end() && mine->first < before; ++mine)
            theirs.push_back({mine->first, 0, true});
    };
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t key = digest.keys[i], version = digest.versions[i];
        if (key < digest.first || key > digest.last || (i > 0 && key <= digest.keys[i - 1]))
            break; // no digest
        more(key);
        if (mine == by_key_.end() || mine->first != key) {
            lacking.push_back({key, 0, true});
            continue;
        }
        Life& life = lives_[mine->second];
        const bool own = mine->second == own_;
        ++mine;
        if (version > life.version()) {
            if (!own) lacking.push_back({key, life.version(), false});
        } else if (version < life.version()) {
            theirs.push_back({key, version, false});
        } else if (!own) {
            life.take_as_of(digest.as_of[i], now);
        }
    }
    for (; mine != by_key_.end() && mine->first <= digest.last; ++mine)
        theirs.push_back({mine->first, 0, true});
    for (const Raise& raise : digest.fold_corrections)
        take_raise(raise);
    return theirs;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<Delta> CountStore::make_deltas(const std::vector<KnownVersion>& wants, std::size_t max_bytes,
                                           std::size_t most) const {
    std::vector<Delta> out;
    Delta part;
    std::size_t size = max_encoded_bytes::message;
    for (const KnownVersion& want : wants) {
        const auto found = by_key_.find(want.key);
        if (found == by_key_.end()) continue;
        const Life& life = lives_[found->second];
        std::uint64_t from = want.version;
        bool introduced = !want.unknown;
        while (from < life.version() || !introduced) {
            std::size_t head = max_encoded_bytes::section;
            if (!introduced) head += max_encoded_bytes::introduction + life.identity().instance.size();
            constexpr std::size_t least =
                256; // a section with less room than that waits for the next message
            if (size + head + least > max_bytes && size > max_encoded_bytes::message) {
                out.push_back(std::exchange(part, {}));
                size = max_encoded_bytes::message;
                if (out.size() == most) return out;
            }
            if (!std::exchange(introduced, true)) part.introductions.push_back({life.identity()});
            Section section{.key = want.key, .from = from, .to = life.version(), .as_of = life.as_of()};
            size += head;
            bool cut = false;
            std::uint64_t last = from;
            life.changed_since(from, [&](const Life::Change& change) {
                const Name* name =
                    change.kind == Life::Kind::series ? &names_[life.global(change.index)] : nullptr;
                const std::size_t takes =
                    name != nullptr ? max_encoded_bytes::series + name->tenant.size() + name->job_class.size()
                                    : max_encoded_bytes::cell;
                const std::uint64_t after = change.version - from;
                if (size + takes > max_bytes || after > 0xffffffffU) {
                    cut = true;
                    return false;
                }
                size += takes;
                last = change.version;
                const auto behind = static_cast<std::uint32_t>(after);
                if (change.kind == Life::Kind::cell) {
                    part.cells.push_back({change.value, change.index, behind});
                    ++section.cells;
                } else if (name != nullptr) {
                    part.series.push_back({behind, *name});
                    ++section.series;
                } else {
                    part.marks.push_back({change.value, change.mark, behind});
                    ++section.marks;
                }
                return true;
            });
            if (cut) {
                section.to = last;
                section.as_of = Time(0);
            }
            part.sections.push_back(section);
            if (cut && last == from) return out; // a name that fits no message; names are bounded, so: never
            from = section.to;
        }
    }
    if (!part.sections.empty()) out.push_back(std::move(part));
    return out;
}

Life* CountStore::find(std::uint64_t key) {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &lives_[found->second];
}

// References to lives do not outlive it.
CountStore::LifeIndex CountStore::add_life(Identity identity) {
    if (free_.empty()) {
        free_.push_back(static_cast<LifeIndex>(lives_.size()));
        lives_.emplace_back(Identity{}, 0);
    }
    const LifeIndex index = free_.back();
    free_.pop_back();
    const std::uint64_t key = identity.key();
    chains_[identity.instance].lives.emplace(identity.number, index);
    lives_[index] = Life(std::move(identity), key);
    by_key_.emplace(key, index);
    return index;
}

Life* CountStore::introduce(const Introduction& introduction) {
    const Identity& identity = introduction.identity;
    const std::uint64_t key = identity.key();
    if (Life* known = find(key)) return known;
    if (identity.instance.empty() || identity.number == 0 || identity.rate > largest_rate ||
        identity.burst > largest_burst) {
        ++statistics_.sections_bad;
        return nullptr;
    }
    if (const auto chain = chains_.find(identity.instance);
        chain != chains_.end() && identity.number <= chain->second.gone) {
        ++statistics_.folded_returned; // what it brings is counted already; its bearer will let go of it too
        return nullptr;
    }
    if (by_key_.size() >= limits_.max_lives) {
        ++statistics_.over_limit;
        return nullptr;
    }
    const LifeIndex index = add_life(identity);
    if (identity.instance == self().instance) rival_ = std::max(rival_, identity.number);
    return &lives_[index];
}

void CountStore::apply(const Delta& delta, Time now) {
    std::size_t cells = 0, series = 0, marks = 0;
    for (const Section& section : delta.sections) {
        cells += section.cells;
        series += section.series;
        marks += section.marks;
    }
    if (cells != delta.cells.size() || series != delta.series.size() || marks != delta.marks.size()) {
        ++statistics_.sections_bad;
        return;
    }
    for (const Introduction& introduction : delta.introductions)
        introduce(introduction);
    std::size_t cell = 0, name = 0, mark = 0; // sections take theirs from the lists in order
    for (const Section& section : delta.sections) {
        const News news{
            std::span(delta.cells).subspan(std::exchange(cell, cell + section.cells), section.cells),
            std::span(delta.series).subspan(std::exchange(name, name + section.series), section.series),
            std::span(delta.marks).subspan(std::exchange(mark, mark + section.marks), section.marks)};
        Life* life = find(section.key);
        if (life == nullptr) {
            ++statistics_.sections_unknown;
            continue;
        }
        if (life == &lives_[own_]) continue; // nobody knows of it what it does not know itself
        const std::uint64_t folded = life->folded();
        if (!apply(news, section, *life, now)) continue;
        if (!raises_.empty()) settle_raises(*life);
        if (life->folded() > folded) drop_folded(std::string(life->identity().instance), now);
    }
}

// The changes of one section, all or none. The three lists are merged by their versions.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
bool CountStore::apply(const News& news, const Section& section, Life& life, Time now) {
    if (section.to < section.from || section.from > life.version()) {
        ++(section.to < section.from ? statistics_.sections_bad : statistics_.sections_gap);
        return false;
    }
    // First a look at all of it, so that what is wrong changes nothing.
    std::size_t known_series = life.series_count();
    std::size_t cell = 0, name = 0, mark = 0;
    std::uint64_t last = section.from;
    struct Step {
        Life::Kind kind;
        std::uint64_t version;
    };
    const auto next = [&]() -> std::optional<Step> {
        std::optional<Step> out;
        const auto offer = [&](Life::Kind kind, const auto& list, std::size_t at) {
            if (at < list.size() && (!out || section.from + list[at].after < out->version))
                out = Step{kind, section.from + list[at].after};
        };
        offer(Life::Kind::series, news.series, name);
        offer(Life::Kind::cell, news.cells, cell);
        offer(Life::Kind::mark, news.marks, mark);
        return out;
    };
    const auto walk = [&](auto&& visit) {
        cell = name = mark = 0;
        last = section.from;
        while (const auto step = next()) {
            if (step->version <= last || step->version > section.to || !visit(*step)) return false;
            last = step->version;
            ++(step->kind == Life::Kind::cell ? cell : step->kind == Life::Kind::series ? name : mark);
        }
        return true;
    };
    const std::size_t most_series = (limits_.max_tenants + 1) * (limits_.max_classes + 1);
    const bool good = walk([&](const Step& step) {
        if (step.kind == Life::Kind::series && step.version > life.version()) {
            const Name& one = news.series[name].name;
            return !one.tenant.empty() && !one.job_class.empty() && ++known_series <= most_series;
        }
        if (step.kind == Life::Kind::cell) {
            return news.cells[cell].slot < known_series * slots_per_series &&
                   news.cells[cell].value <= largest_cell;
        }
        if (step.kind != Life::Kind::mark) return true;
        const Mark& one = news.marks[mark];
        return one.kind == MarkKind::ended ||
               ((one.kind == MarkKind::cover || one.kind == MarkKind::folded) &&
                one.number < life.identity().number);
    });
    if (!good) {
        ++statistics_.sections_bad;
        return false;
    }
    walk([&](const Step& step) {
        if (step.version <= life.version()) {
            ++statistics_.cells_known;
            return true;
        }
        if (step.kind == Life::Kind::series) {
            const Name& one = news.series[name].name;
            life.take_series(step.version, intern(one.tenant, one.job_class));
        } else if (step.kind == Life::Kind::cell) {
            life.take_cell(step.version, news.cells[cell].slot, news.cells[cell].value);
            ++statistics_.cells_applied;
        } else {
            life.take_mark(step.version, news.marks[mark]);
        }
        return true;
    });
    // `version` is compared within the walk, so it moves only now.
    const bool whole = section.to >= life.version();
    life.advance(section.to);
    if (!whole) return true;
    const bool was_skewed = life.ahead() > limits_.max_skew;
    life.take_as_of(section.as_of, now);
    if (!was_skewed && life.ahead() > limits_.max_skew) ++statistics_.skewed;
    return true;
}

// ------------------------------------------------------------------------------------------------ lives

void CountStore::fold(Time now, bool someone_away) {
    if (someone_away) return;
    Chain& chain = chains_[self().instance];
    std::uint64_t last = 0;
    for (const auto& [number, index] : chain.lives) {
        if (number >= self().number || may_count(lives_[index], now)) break; // a later one waits for it too
        last = number;
    }
    if (last <= std::max(lives_[own_].folded(), chain.gone)) return;
    const std::vector<std::uint64_t> sums = chain_sums(chain, last);
    Life& own = lives_[own_];
    own.state(MarkKind::cover, last);
    for (std::uint32_t global = 0; global < names_.size(); ++global) {
        const auto* values = &sums[global * outcome_count];
        if (std::all_of(values, values + outcome_count, [](std::uint64_t value) { return value == 0; }))
            continue;
        const auto known = own.series_of(global);
        const SeriesIndex series = known ? *known : own.add_series(global);
        for (std::size_t o = 0; o < outcome_count; ++o)
            if (values[o] > 0) own.raise(slot_of(series, static_cast<Outcome>(o), true), values[o]);
    }
    own.state(MarkKind::folded, last);
    ++statistics_.folds;
    drop_folded(std::string(self().instance), now);
}

void CountStore::begin_life(std::uint64_t number, Time now) {
    Identity identity = self();
    if (number <= identity.number) return;
    identity.number = number;
    Life& old = lives_[own_];
    old.state(MarkKind::ended);
    old.publish(now);
    std::vector<std::uint32_t> globals;
    for (SeriesIndex series = 0; series < old.series_count(); ++series)
        globals.push_back(old.global(series));
    own_ = add_life(std::move(identity));
    for (const std::uint32_t global : globals) // in the same order: what callers hold goes on to be right
        lives_[own_].add_series(global);
    ++statistics_.lives_begun;
    publish(now);
}

// Lets go of what is folded. Nothing that was counted may be lost by it: where the lives here come to more
// than the folding life says, that is told on as a raise.
void CountStore::drop_folded(const std::string& instance, Time now) {
    Chain& chain = chains_[instance];
    const Life* by = nullptr;
    for (const auto& [number, index] : chain.lives)
        if (lives_[index].folded() > (by == nullptr ? chain.gone : by->folded())) by = &lives_[index];
    if (by == nullptr) return;
    const std::uint64_t last = by->folded(), key = by->key();
    if (instance == self().instance && self().number <= last) {
        // A second instance of this name took this one for dead. What it has counted so far is in the raises
        // below, what it counts from here on in a new life.
        const std::uint64_t above = std::max({last, rival_, chain.lives.rbegin()->first});
        begin_life(next_number(now, static_cast<std::uint32_t>(key), above), now);
        by = find(key);
    }
    const std::vector<std::uint64_t> here = chain_sums(chain, last);
    std::vector<std::uint64_t> stated(here.size(), 0);
    add_folded(*by, stated);
    std::vector<std::size_t> more;
    for (std::size_t i = 0; i < here.size(); ++i)
        if (here[i] > stated[i]) more.push_back(i);
    if (raises_.size() + more.size() > limits_.max_fold_corrections) {
        ++statistics_.over_limit; // the lives stay, then: nothing is lost
        return;
    }
    for (const std::size_t i : more)
        take_raise({key, here[i], names_[i / outcome_count], static_cast<Outcome>(i % outcome_count)});
    for (auto at = chain.lives.begin(); at != chain.lives.end() && at->first <= last;
         at = chain.lives.erase(at)) {
        by_key_.erase(lives_[at->second].key());
        lives_[at->second] = Life({}, 0);
        free_.push_back(at->second);
    }
    chain.gone = last;
}

void CountStore::take_raise(const Raise& raise) {
    Life* life = find(raise.key);
    if (life == nullptr || !life->covers() || static_cast<std::size_t>(raise.outcome) >= outcome_count ||
        raise.value > largest_cell || raise.name.tenant.empty() || raise.name.job_class.empty())
        return;
    const std::uint32_t global = intern(raise.name.tenant, raise.name.job_class);
    const auto series = life->series_of(global);
    if (series && life->value(slot_of(*series, raise.outcome, true)) >= raise.value) return;
    if (life == &lives_[own_]) {
        life->raise(slot_of(series ? *series : life->add_series(global), raise.outcome, true), raise.value);
        ++statistics_.raised;
        return;
    }
    const auto key = std::pair{raise.key, global * outcome_count + static_cast<std::size_t>(raise.outcome)};
    if (!raises_.contains(key) && raises_.size() >= limits_.max_fold_corrections) {
        ++statistics_.over_limit;
        return;
    }
    std::uint64_t& value = raises_[key];
    value = std::max(value, raise.value);
}

void CountStore::settle_raises(const Life& life) {
    auto at = raises_.lower_bound({life.key(), 0});
    while (at != raises_.end() && at->first.first == life.key()) {
        const auto series = life.series_of(static_cast<std::uint32_t>(at->first.second / outcome_count));
        const auto outcome = static_cast<Outcome>(at->first.second % outcome_count);
        const bool settled = series && life.value(slot_of(*series, outcome, true)) >= at->second;
        at = settled ? raises_.erase(at) : std::next(at);
    }
}

// ---------------------------------------------------------------------------------------------- reading

// What a life states of those folded into it, raised by what is known to be more; larger values stay.
void CountStore::add_folded(const Life& life, std::vector<std::uint64_t>& into) const {
    for (SeriesIndex series = 0; series < life.series_count(); ++series) {
        for (std::size_t o = 0; o < outcome_count; ++o) {
            std::uint64_t& value = into[life.global(series) * outcome_count + o];
            value = std::max(value, life.value(slot_of(series, static_cast<Outcome>(o), true)));
        }
    }
}

// Each life's own cells add up. What a later life says of all lives up to a number is another bound on that
// sum, and the larger of two lower bounds is one: nothing is counted twice, whatever is folded where, and
// however much of it has arrived.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::vector<std::uint64_t> CountStore::chain_sums(const Chain& chain, std::uint64_t last) const {
    std::vector<std::uint64_t> sums(names_.size() * outcome_count, 0);
    struct Bound {
        std::uint64_t number; // holds for lives up to here
        std::size_t at;
        std::uint64_t value;
    };
    std::vector<Bound> bounds;
    for (const auto& [number, index] : chain.lives) {
        const Life& life = lives_[index];
        if (!life.covers()) continue;
        for (SeriesIndex series = 0; series < life.series_count(); ++series) {
            for (std::size_t o = 0; o < outcome_count; ++o) {
                const Life::Value cell = life.at(slot_of(series, static_cast<Outcome>(o), true));
                if (cell.value > 0)
                    bounds.push_back(
                        {life.cover_of(cell.version), life.global(series) * outcome_count + o, cell.value});
            }
        }
        for (auto raise = raises_.lower_bound({life.key(), 0});
             raise != raises_.end() && raise->first.first == life.key(); ++raise)
            bounds.push_back({life.cover_of(life.version()), raise->first.second, raise->second});
    }
    std::ranges::stable_sort(bounds, {}, &Bound::number);
    auto bound = bounds.begin();
    const auto hold_up_to = [&](std::uint64_t number) { // lives up to `number` are in the sums
        for (; bound != bounds.end() && bound->number <= number; ++bound)
            sums[bound->at] = std::max(sums[bound->at], bound->value);
    };
    for (const auto& [number, index] : chain.lives) {
        if (number > last) break;
        hold_up_to(number - 1);
        const Life& life = lives_[index];
        for (SeriesIndex series = 0; series < life.series_count(); ++series)
            for (std::size_t o = 0; o < outcome_count; ++o)
                sums[life.global(series) * outcome_count + o] +=
                    life.value(slot_of(series, static_cast<Outcome>(o)));
    }
    hold_up_to(last);
    return sums;
}

std::vector<std::uint64_t> CountStore::fleet_sums() const {
    std::vector<std::uint64_t> out(names_.size() * outcome_count, 0);
    for (const auto& [instance, chain] : chains_) {
        const bool one = chain.lives.size() == 1 && !lives_[chain.lives.begin()->second].covers();
        if (!one) {
            const std::vector<std::uint64_t> sums = chain_sums(chain);
            for (std::size_t i = 0; i < out.size(); ++i)
                out[i] += sums[i];
            continue;
        }
        const Life& life = lives_[chain.lives.begin()->second]; // the usual case, without a list of its own
        for (SeriesIndex series = 0; series < life.series_count(); ++series)
            for (std::size_t o = 0; o < outcome_count; ++o)
                out[life.global(series) * outcome_count + o] +=
                    life.value(slot_of(series, static_cast<Outcome>(o)));
    }
    return out;
}

// How long ago the life stated what is known, by its own clock set right as far as it was seen to be ahead.
Duration CountStore::age(const Life& life, Time now) const {
    return std::max(now - life.as_of() + life.ahead(), Duration(0));
}

bool CountStore::may_count(const Life& life, Time now) const {
    return &life != &lives_[own_] && !life.ended() && age(life, now) < limits_.fold_after;
}

Totals CountStore::totals_summary(Time now) const {
    Totals out;
    out.instances = chains_.size();
    for (const auto& [key, index] : by_key_) {
        const Life& life = lives_[index];
        out.counted += life.counted();
        ++out.lives;
        if (!may_count(life, now)) continue;
        const auto seconds = [](Duration span) { return std::chrono::duration<double>(span).count(); };
        const Duration since = age(life, now);
        out.slack += life.identity().burst + 1 +
                     static_cast<std::uint64_t>(static_cast<double>(life.identity().rate) *
                                                seconds(since + limits_.max_skew));
        out.age = std::max(out.age, since);
        out.expected += life.recent_rate() * seconds(since);
    }
    return out;
}

Totals CountStore::totals(Time now) const {
    Totals out = totals_summary(now);
    const std::vector<std::uint64_t> sums = fleet_sums();
    for (std::size_t i = 0; i < sums.size(); ++i) {
        if (sums[i] == 0) continue;
        // What is expected of all lives, by this cell's share of what they have counted.
        const double share =
            static_cast<double>(sums[i]) / static_cast<double>(std::max(out.counted, sums[i]));
        const auto more = std::min(static_cast<std::uint64_t>(share * out.expected), out.slack);
        const Name& name = names_[i / outcome_count];
        out.rows.push_back({name.tenant, name.job_class, static_cast<Outcome>(i % outcome_count), sums[i],
                            sums[i] + more, sums[i] + out.slack});
    }
    std::ranges::sort(out.rows, {}, [](const Total& total) {
        return std::tie(total.tenant, total.job_class, total.outcome);
    });
    return out;
}

std::uint64_t CountStore::low_total(std::string_view tenant, std::string_view job_class,
                                    Outcome outcome) const {
    const auto global = globals_.find(std::string(tenant) + '\0' + std::string(job_class));
    return global == globals_.end()
               ? 0
               : fleet_sums()[global->second * outcome_count + static_cast<std::size_t>(outcome)];
}

bool CountStore::has_versions(const std::vector<KnownVersion>& versions) const {
    auto mine = by_key_.begin();
    for (const KnownVersion& want : versions) {
        while (mine != by_key_.end() && mine->first < want.key)
            ++mine;
        if (mine == by_key_.end() || mine->first != want.key || lives_[mine->second].version() < want.version)
            return false;
    }
    return true;
}

std::uint64_t CountStore::fingerprint() const {
    std::uint64_t out = 0; // a sum, as the order of the series differs from book to book
    const std::vector<std::uint64_t> sums = fleet_sums();
    for (std::size_t i = 0; i < sums.size(); ++i) {
        if (sums[i] == 0) continue;
        const std::string text =
            names_[i / outcome_count].tenant + '\0' + names_[i / outcome_count].job_class;
        out += XXH3_64bits_withSeed(text.data(), text.size(), sums[i] * outcome_count + i % outcome_count);
    }
    return out;
}

std::size_t CountStore::memory_bytes() const {
    std::size_t out = sizeof *this + by_key_.size() * 64 + raises_.size() * 80;
    for (const Life& life : lives_)
        out += life.memory_bytes();
    for (const Name& name : names_)
        out += 2 * (sizeof name + name.tenant.capacity() + name.job_class.capacity()) + 96;
    return out;
}

std::vector<Delta> CountStore::save(std::size_t max_bytes) const {
    std::vector<KnownVersion> all;
    all.reserve(by_key_.size());
    for (const auto& [key, index] : by_key_)
        all.push_back({key, 0, true});
    return make_deltas(all, max_bytes, ~std::size_t{0});
}

} // namespace willowrill::counts
