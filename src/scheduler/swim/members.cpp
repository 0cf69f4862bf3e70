#include "scheduler/swim/members.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace willowrill::swim {
namespace {

constexpr std::size_t worst_health = 8;
constexpr std::size_t confirmations = 3; // independent ones, with which a suspicion takes its shortest time
constexpr std::size_t most_relayed = 256;
constexpr std::size_t seed_periods = 5; // between two words to a seed that is not known
constexpr std::size_t longest_name = 64;

std::size_t cost(const Member& member) { return Settings::cost + member.id.name.size(); }

} // namespace

std::string_view name_of(State state) {
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    return names.at(static_cast<std::size_t>(state));
}

Swim::Swim(Settings settings, Id self, Address address, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), random_(seed), next_period_(now) {
    self_.id = std::move(self);
    self_.address = address;
    // Periods that begin at once everywhere would make one burst of probes of a fleet that starts together.
    next_period_ += Duration(static_cast<std::int64_t>(static_cast<double>(settings_.probe_period.count()) *
                                                       (static_cast<double>(random_()) / 4294967296.0)));
}

const Member* Swim::known(const Id& id) const {
    const auto found = view_.find(id);
    return found == view_.end() ? nullptr : &found->second;
}

std::size_t Swim::alive() const {
    return 1 + static_cast<std::size_t>(std::ranges::count_if(view_, [](const auto& one) {
               return one.second.state == State::alive || one.second.state == State::suspect;
           }));
}

bool Swim::someone_away() const {
    return std::ranges::any_of(view_, [&](const auto& one) {
        const Member& member = one.second;
        if (member.state == State::alive || member.state == State::left) return false;
        if (member.state == State::suspect) return true;
        if (member.id.name == self_.id.name && member.id.life < self_.id.life) return false;
        // The lives of a name stand together, ascending.
        for (auto later = view_.upper_bound(member.id);
             later != view_.end() && later->first.name == member.id.name; ++later)
            if (later->second.state == State::alive) return false;
        return true;
    });
}

template <class Wanted> std::vector<const Member*> Swim::choose(std::size_t count, Wanted&& wanted) {
    std::vector<const Member*> out;
    std::size_t seen = 0;
    for (const auto& [id, member] : view_) { // a sample of those wanted, each as likely as any other
        if (!wanted(member)) continue;
        ++seen;
        if (out.size() < count) {
            out.push_back(&member);
        } else if (const std::size_t at = random_(static_cast<std::uint32_t>(seen)); at < count) {
            out[at] = &member;
        }
    }
    return out;
}

std::optional<Address> Swim::random_alive() {
    const auto chosen = choose(1, [](const Member& member) { return member.state == State::alive; });
    return chosen.empty() ? std::nullopt : std::optional(chosen.front()->address);
}

// ------------------------------------------------------------------------------------------------ news

std::size_t Swim::most_told() const {
    return 4 * static_cast<std::size_t>(std::ceil(std::log10(static_cast<double>(view_.size() + 2))));
}

void Swim::spread(const Id& id) {
    std::erase_if(rumours_, [&](const Rumour& rumour) { return rumour.id == id; });
    rumours_.push_back({id, 0});
}

// The news told least often go first, as many as there is room for.
void Swim::add_news(Message& message) {
    std::ranges::stable_sort(rumours_, {}, &Rumour::told);
    std::size_t room = settings_.news_bytes;
    for (const Member& there : message.updates)
        room -= std::min(room, cost(there));
    for (Rumour& rumour : rumours_) {
        const Member* member = rumour.id == self_.id ? &self_ : known(rumour.id);
        if (member == nullptr) {
            rumour.told = ~std::size_t{0};
            continue;
        }
        if (cost(*member) > room) break;
        room -= cost(*member);
        message.updates.push_back(*member);
        ++rumour.told;
    }
    const std::size_t most = most_told();
    std::erase_if(rumours_, [&](const Rumour& rumour) { return rumour.told >= most; });
}

void Swim::send(Address to, Message message, Actions& out) {
    add_news(message);
    out.sends.push_back({to, std::move(message)});
}

Duration Swim::suspicion_time() const {
    const double size = std::max(1.0, std::log10(static_cast<double>(view_.size() + 1)));
    return Duration(static_cast<std::int64_t>(static_cast<double>(settings_.probe_period.count()) *
                                              static_cast<double>(settings_.suspicion) * size));
}

void Swim::set_state(Time now, Member& member, State state, std::uint32_t incarnation, Actions& out) {
    const State was = std::exchange(member.state, state);
    member.incarnation = incarnation;
    spread(member.id);
    if (was == state) return;
    Details& details = details_[member.id];
    details.since = now;
    details.confirmed_by.clear();
    if (state == State::suspect) ++statistics_.suspected;
    if (state == State::dead) ++statistics_.died;
    out.changes.push_back({member, was});
}

void Swim::suspect(Time now, Member& member, std::uint64_t by, Actions& out) {
    Details& details = details_[member.id];
    if (member.state == State::alive) {
        set_state(now, member, State::suspect, member.incarnation, out);
        details.suspected = now;
        details.dead_at = now + suspicion_time() * 3;
    }
    if (member.state != State::suspect || details.confirmed_by.size() > confirmations) return;
    if (std::ranges::find(details.confirmed_by, by) != details.confirmed_by.end()) return;
    details.confirmed_by.push_back(by);
    // From three times the usual time down to it, as others come to suspect the same on their own.
    const double share =
        std::log(static_cast<double>(details.confirmed_by.size())) / std::log(confirmations + 1.0);
    const double usual = static_cast<double>(suspicion_time().count());
    details.dead_at = details.suspected + Duration(static_cast<std::int64_t>(usual * (3 - 2 * share)));
    spread(member.id);
}

void Swim::hear_of_self(const Member& news) {
    if (news.state == State::alive || leaving_ || news.incarnation < self_.incarnation) return;
    self_.incarnation = news.incarnation + 1;
    ++statistics_.refuted;
    health_ = std::min(health_ + 1, worst_health);
    spread(self_.id);
}

void Swim::take_in(Time now, const Member& news, Actions& out) {
    if (view_.size() + 1 >= settings_.max_members) {
        ++statistics_.over_limit;
        return;
    }
    view_.emplace(news.id, news);
    details_[news.id] = {.since = now};
    spread(news.id);
    out.changes.push_back({news, std::nullopt});
    if (news.state == State::suspect) { // in time, however few know of it here
        details_[news.id].suspected = now;
        details_[news.id].dead_at = now + suspicion_time() * 3;
    }
    // Its place in this round of probes is random, as is everyone's.
    if (news.state != State::dead && news.state != State::left)
        round_.insert(round_.begin() + random_(static_cast<std::uint32_t>(round_.size() + 1)), news.id);
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Swim::hear(Time now, const Member& news, std::uint64_t from_life, Actions& out) {
    if (news.id.name.empty() || news.id.name.size() > longest_name || news.id.life == 0 ||
        news.address.port == 0 || news.state > State::left)
        return;
    if (news.id == self_.id) return hear_of_self(news);
    const auto found = view_.find(news.id);
    if (found == view_.end()) {
        // What is long gone is not taken in again as news: it would go round for good among those who forget
        // it at different times.
        if (news.state == State::dead || news.state == State::left) return;
        take_in(now, news, out);
    } else {
        Member& member = found->second;
        if (member.state == State::left) return;
        const bool newer = news.incarnation > member.incarnation;
        const bool same = news.incarnation == member.incarnation;
        switch (news.state) {
        case State::alive:
            if (newer) {
                member.address = news.address;
                set_state(now, member, State::alive, news.incarnation, out);
            }
            break;
        case State::suspect:
            if (newer && member.state != State::alive)
                set_state(now, member, State::alive, news.incarnation, out);
            if (newer) member.incarnation = news.incarnation;
            if ((newer || same) && member.state != State::dead) suspect(now, member, from_life, out);
            break;
        case State::dead:
        case State::left:
            if ((newer || same) && (member.state != State::dead || news.state == State::left))
                set_state(now, member, news.state, news.incarnation, out);
            break;
        }
    }
    // One process has one address: a later life there, of that name, means that the former one is over.
    if (news.state == State::dead || news.state == State::left) return;
    if (news.id.name == self_.id.name) {
        if (news.id.life != self_.id.life && news.address != self_.address) ++statistics_.conflicts;
        if (news.id.life < self_.id.life && news.address == self_.address) {
            Member* former = &view_.find(news.id)->second;
            set_state(now, *former, State::dead, former->incarnation, out);
        }
        return;
    }
    for (auto at = view_.lower_bound({news.id.name, 0}); at != view_.end() && at->first.name == news.id.name;
         ++at) {
        Member& other = at->second;
        if (other.id.life >= news.id.life || other.state == State::dead || other.state == State::left)
            continue;
        if (other.address == news.address) {
            set_state(now, other, State::dead, other.incarnation, out);
        } else {
            ++statistics_.conflicts;
        }
    }
}

// ----------------------------------------------------------------------------------------------- probes

std::optional<Id> Swim::next_target() {
    for (bool again : {false, true}) {
        while (!round_.empty()) {
            Id id = std::move(round_.back());
            round_.pop_back();
            const Member* member = known(id);
            if (member != nullptr && member->state != State::dead && member->state != State::left) return id;
        }
        if (again) break;
        for (const auto& [id, member] : view_)
            if (member.state != State::dead && member.state != State::left) round_.push_back(id);
        for (std::size_t i = round_.size(); i > 1; --i)
            std::swap(round_[i - 1], round_[random_(static_cast<std::uint32_t>(i))]);
    }
    return std::nullopt;
}

void Swim::probe(Time now, Actions& out) {
    auto target = next_target();
    if (!target) return;
    const Member& member = view_.at(*target);
    ++statistics_.probes;
    probe_ = {.target = *target, .sequence = ++sequence_, .open = true};
    // One that doubts itself waits longer before it says anything about another.
    probe_.asked_others = now + settings_.probe_timeout * static_cast<std::int64_t>(1 + health_);
    Message ping{.kind = MessageKind::ping, .sequence = probe_.sequence, .life = member.id.life};
    if (member.state == State::suspect) ping.updates.push_back(member); // it must hear of that to refute it
    send(member.address, std::move(ping), out);
}

void Swim::end_probe(Time now, Actions& out) {
    if (!std::exchange(probe_.open, false)) return;
    const auto found = view_.find(probe_.target);
    if (found == view_.end()) return;
    ++statistics_.probes_failed;
    // Others were asked and did not even say that they had no answer: it may be this instance that is cut
    // off.
    if (probe_.nacks < probe_.nacks_expected) health_ = std::min(health_ + 1, worst_health);
    if (found->second.state == State::alive || found->second.state == State::suspect)
        suspect(now, found->second, self_.id.life, out);
}

void Swim::tick(Time now, Actions& out) {
    if (leaving_) return;
    if (probe_.open && !probe_.indirect && now >= probe_.asked_others) {
        probe_.indirect = true;
        const Member* target = known(probe_.target);
        const auto helpers = choose(settings_.indirect, [&](const Member& member) {
            return member.state == State::alive && member.id != probe_.target;
        });
        std::vector<Address> addresses;
        addresses.reserve(helpers.size());
        for (const Member* helper : helpers)
            addresses.push_back(helper->address);
        for (const Address& address : addresses) {
            if (target == nullptr) break;
            ++statistics_.indirect_probes;
            ++probe_.nacks_expected;
            send(address,
                 {.kind = MessageKind::ping_request,
                  .sequence = probe_.sequence,
                  .life = target->id.life,
                  .subject = target->address},
                 out);
        }
    }
    for (Relayed& relayed : relayed_) {
        if (now < relayed.until || std::exchange(relayed.nacked, true)) continue;
        send(relayed.asker, {.kind = MessageKind::nack, .sequence = relayed.sequence}, out);
    }
    std::erase_if(relayed_, [&](const Relayed& one) { return now >= one.until + settings_.probe_period; });
    std::vector<Id> over;
    for (const auto& [id, member] : view_)
        if (member.state == State::suspect && now >= details_[id].dead_at) over.push_back(id);
    for (const Id& id : over)
        set_state(now, view_.at(id), State::dead, view_.at(id).incarnation, out);
    if (now < next_period_) return;
    end_probe(now, out);
    forget(now);
    ++periods_;
    next_period_ = std::max(next_period_ + settings_.probe_period, now + settings_.probe_period / 2);
    probe(now, out);
    reach_out(out);
    if (periods_ % settings_.sync_periods == 0) {
        if (const auto peer = random_alive())
            send(*peer, {.kind = MessageKind::sync_request, .sequence = ++sequence_}, out);
    }
}

Time Swim::next_tick() const {
    Time out = next_period_;
    if (probe_.open && !probe_.indirect) out = std::min(out, probe_.asked_others);
    for (const Relayed& relayed : relayed_)
        if (!relayed.nacked) out = std::min(out, relayed.until);
    return out;
}

// A word to one that is taken for dead, so that one that was cut off, or the halves of a fleet, are back
// within a few periods; and now and then to a seed of which no member is known, as it may have been down when
// this instance started.
void Swim::reach_out(Actions& out) {
    const auto dead = choose(1, [&](const Member& member) {
        return member.state == State::dead && member.id.name != self_.id.name;
    });
    if (!dead.empty()) {
        Message ping{.kind = MessageKind::ping, .sequence = ++sequence_, .life = 0};
        ping.updates.push_back(*dead.front());
        const Address to = dead.front()->address;
        send(to, std::move(ping), out);
    }
    // One that knows nobody has nothing else to do: its first word may have been lost.
    if (periods_ % seed_periods != 1 && alive() > 1) return;
    std::vector<Address> unknown;
    for (const Address& seed : settings_.seeds) {
        const bool is_known = seed == self_.address || std::ranges::any_of(view_, [&](const auto& one) {
                                  return one.second.address == seed && one.second.state == State::alive;
                              });
        if (!is_known) unknown.push_back(seed);
    }
    if (unknown.empty()) return;
    const Address to = unknown[random_(static_cast<std::uint32_t>(unknown.size()))];
    Message ask{.kind = MessageKind::sync_request, .sequence = ++sequence_};
    ask.updates.push_back(self_);
    send(to, std::move(ask), out);
}

void Swim::forget(Time now) {
    std::vector<Id> over;
    for (const auto& [id, member] : view_) {
        if ((member.state == State::dead || member.state == State::left) &&
            now - details_[id].since > settings_.forget_after)
            over.push_back(id);
    }
    for (const Id& id : over) {
        view_.erase(id);
        details_.erase(id);
    }
}

// --------------------------------------------------------------------------------------------- messages

void Swim::start(Time, Actions& out) {
    spread(self_.id);
    for (const Address& seed : settings_.seeds) {
        if (seed == self_.address) continue;
        Message ask{.kind = MessageKind::sync_request, .sequence = ++sequence_};
        ask.updates.push_back(self_);
        out.sends.push_back({seed, std::move(ask)});
    }
}

void Swim::sync_to(Address to, Actions& out) {
    std::vector<Member> all{self_};
    for (const auto& [id, member] : view_)
        all.push_back(member);
    Message part{.kind = MessageKind::sync};
    std::size_t room = settings_.news_bytes;
    for (Member& member : all) {
        if (cost(member) > room) {
            out.sends.push_back({to, std::exchange(part, {.kind = MessageKind::sync})});
            room = settings_.news_bytes;
        }
        room -= cost(member);
        part.updates.push_back(std::move(member));
    }
    out.sends.push_back({to, std::move(part)});
}

void Swim::receive(Time now, Address from, const Message& message, Actions& out) {
    std::uint64_t from_life = (std::uint64_t{from.host} << 16U) | from.port; // whose word it is
    for (const Member& news : message.updates)
        hear(now, news, from_life, out);
    if (leaving_ && message.kind != MessageKind::ping) return;
    switch (message.kind) {
    case MessageKind::ping:
        if (message.life == 0 || message.life == self_.id.life) {
            send(from, {.kind = MessageKind::ack, .sequence = message.sequence}, out);
        } else { // it means a former life that was here, or one whose address this instance has now
            Message answer{.kind = MessageKind::nack, .sequence = message.sequence};
            answer.updates.push_back(self_);
            send(from, std::move(answer), out);
        }
        break;
    case MessageKind::ack: {
        if (probe_.open && message.sequence == probe_.sequence) {
            probe_.open = false;
            if (health_ > 0) --health_;
        }
        const auto relayed = std::ranges::find(relayed_, message.sequence, &Relayed::own_sequence);
        if (relayed != relayed_.end()) {
            const Address asker = relayed->asker;
            const std::uint32_t sequence = relayed->sequence;
            relayed_.erase(relayed);
            send(asker, {.kind = MessageKind::ack, .sequence = sequence}, out);
        }
        break;
    }
    case MessageKind::nack:
        if (!probe_.open || message.sequence != probe_.sequence) break;
        ++probe_.nacks;
        // Another life answers where the one probed was: that one is over, also where a clock that went back
        // gave its successor the lower number.
        if (const auto found = view_.find(probe_.target);
            found != view_.end() && found->second.state != State::left && found->second.address == from &&
            std::ranges::any_of(message.updates, [&](const Member& there) {
                return there.address == from && there.id != probe_.target;
            })) {
            probe_.open = false;
            set_state(now, found->second, State::dead, found->second.incarnation, out);
        }
        break;
    case MessageKind::ping_request: {
        if (relayed_.size() >= most_relayed) break;
        relayed_.push_back({from, message.sequence, ++sequence_, now + settings_.probe_timeout});
        send(message.subject, {.kind = MessageKind::ping, .sequence = sequence_, .life = message.life}, out);
        break;
    }
    case MessageKind::sync_request:
        sync_to(from, out);
        break;
    case MessageKind::sync:
        break;
    }
}

void Swim::leave(Time, Actions& out) {
    if (std::exchange(leaving_, true)) return;
    self_.state = State::left;
    Message last{.kind = MessageKind::sync};
    last.updates.push_back(self_);
    constexpr std::size_t told = 8;
    for (const Member* member : choose(told, [](const Member& one) {
             return one.state == State::alive || one.state == State::suspect;
         }))
        out.sends.push_back({member->address, last});
}

void Swim::begin_life(std::uint64_t life, Time now, Actions& out) {
    Member former = self_;
    former.state = State::left;
    self_.id.life = life;
    self_.incarnation = 0;
    view_.insert_or_assign(former.id, former);
    details_[former.id] = {.since = now};
    spread(former.id);
    spread(self_.id);
    out.changes.push_back({former, State::alive});
}

} // namespace willowrill::swim
