#include "scheduler/swim/members.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace willowrill::swim {
namespace {

constexpr std::size_t max_local_health = 8; // upper bound of Lifeguard's local health multiplier
// Independent confirmations after which the suspicion timeout is shortest.
constexpr std::size_t expected_confirmations = 3;
constexpr std::size_t max_relayed_probes = 256;
constexpr std::size_t seed_contact_interval_periods = 5; // between two requests to seeds that are not members
constexpr std::size_t max_name_bytes = 64;

// The encoded size of an update about `member`, in bytes.
std::size_t encoded_size(const Member& member) {
    return Settings::update_overhead_bytes + member.id.name.size();
}

} // namespace

std::string_view name_of(State state) {
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    return names.at(static_cast<std::size_t>(state));
}

Swim::Swim(Settings settings, MemberId self, Address address, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), random_(seed), next_period_at_(now) {
    self_.id = std::move(self);
    self_.address = address;
    // A random phase spreads the probes of instances that start at the same time.
    next_period_at_ +=
        Duration(static_cast<std::int64_t>(static_cast<double>(settings_.probe_period.count()) *
                                           (static_cast<double>(random_()) / 4294967296.0)));
}

const Member* Swim::find_member(const MemberId& id) const {
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::size_t Swim::alive_count() const {
    return 1 + static_cast<std::size_t>(std::ranges::count_if(members_, [](const auto& entry) {
               return entry.second.state == State::alive || entry.second.state == State::suspect;
           }));
}

bool Swim::has_unreachable_member() const {
    return std::ranges::any_of(members_, [&](const auto& entry) {
        const Member& member = entry.second;
        if (member.state == State::alive || member.state == State::left) return false;
        if (member.state == State::suspect) return true;
        if (member.id.name == self_.id.name && member.id.life < self_.id.life) return false;
        // The lives of one name are adjacent in the map, in ascending order.
        for (auto later = members_.upper_bound(member.id);
             later != members_.end() && later->first.name == member.id.name; ++later)
            if (later->second.state == State::alive) return false;
        return true;
    });
}

// Returns up to `count` members that satisfy `predicate`, chosen uniformly by reservoir sampling.
template <class Predicate>
std::vector<const Member*> Swim::sample_members(std::size_t count, Predicate&& predicate) {
    std::vector<const Member*> sample;
    std::size_t seen = 0;
    for (const auto& [id, member] : members_) {
        if (!predicate(member)) continue;
        ++seen;
        if (sample.size() < count) {
            sample.push_back(&member);
        } else if (const std::size_t index = random_(static_cast<std::uint32_t>(seen)); index < count) {
            sample[index] = &member;
        }
    }
    return sample;
}

std::optional<Address> Swim::random_alive_address() {
    const auto chosen = sample_members(1, [](const Member& member) { return member.state == State::alive; });
    return chosen.empty() ? std::nullopt : std::optional(chosen.front()->address);
}

// --------------------------------------------------------------------------------------------- updates

// How often an update is sent: proportional to the logarithm of the number of members, as in SWIM.
std::size_t Swim::max_transmissions() const {
    return 4 * static_cast<std::size_t>(std::ceil(std::log10(static_cast<double>(members_.size() + 2))));
}

// Queues the current state of a member for dissemination, with a fresh transmission count.
void Swim::queue_update(const MemberId& id) {
    std::erase_if(pending_updates_, [&](const PendingUpdate& queued) { return queued.id == id; });
    pending_updates_.push_back({id, 0});
}

// Adds queued updates to the message, the least often sent first, within the byte budget.
void Swim::piggyback_updates(Message& message) {
    std::ranges::stable_sort(pending_updates_, {}, &PendingUpdate::transmissions);
    std::size_t remaining_bytes = settings_.max_update_bytes;
    for (const Member& update : message.updates)
        remaining_bytes -= std::min(remaining_bytes, encoded_size(update));
    for (PendingUpdate& queued : pending_updates_) {
        const Member* member = queued.id == self_.id ? &self_ : find_member(queued.id);
        if (member == nullptr) {
            queued.transmissions = ~std::size_t{0};
            continue;
        }
        if (encoded_size(*member) > remaining_bytes) break;
        remaining_bytes -= encoded_size(*member);
        message.updates.push_back(*member);
        ++queued.transmissions;
    }
    const std::size_t transmission_limit = max_transmissions();
    std::erase_if(pending_updates_,
                  [&](const PendingUpdate& queued) { return queued.transmissions >= transmission_limit; });
}

void Swim::send(Address to, Message message, Actions& actions) {
    piggyback_updates(message);
    actions.sends.push_back({to, std::move(message)});
}

// The shortest suspicion timeout; without confirmations it is three times as long.
Duration Swim::min_suspicion_timeout() const {
    const double scale = std::max(1.0, std::log10(static_cast<double>(members_.size() + 1)));
    return Duration(static_cast<std::int64_t>(static_cast<double>(settings_.probe_period.count()) *
                                              static_cast<double>(settings_.suspicion_multiplier) * scale));
}

void Swim::set_state(Time now, Member& member, State state, std::uint32_t incarnation, Actions& actions) {
    const State previous_state = std::exchange(member.state, state);
    member.incarnation = incarnation;
    queue_update(member.id);
    if (previous_state == state) return;
    Details& details = details_[member.id];
    details.state_since = now;
    details.confirmed_by.clear();
    if (state == State::suspect) ++statistics_.suspected;
    if (state == State::dead) ++statistics_.declared_dead;
    actions.changes.push_back({member, previous_state});
}

// Marks the member as suspect, or adds `source` as an independent confirmation of the suspicion.
void Swim::suspect_member(Time now, Member& member, std::uint64_t source, Actions& actions) {
    Details& details = details_[member.id];
    if (member.state == State::alive) {
        set_state(now, member, State::suspect, member.incarnation, actions);
        details.suspected_since = now;
        details.suspicion_deadline = now + min_suspicion_timeout() * 3;
    }
    if (member.state != State::suspect || details.confirmed_by.size() > expected_confirmations) return;
    if (std::ranges::find(details.confirmed_by, source) != details.confirmed_by.end()) return;
    details.confirmed_by.push_back(source);
    // Lifeguard: each confirmation shortens the timeout, from three times the shortest one down to it.
    const double confirmation_ratio =
        std::log(static_cast<double>(details.confirmed_by.size())) / std::log(expected_confirmations + 1.0);
    const double min_timeout = static_cast<double>(min_suspicion_timeout().count());
    details.suspicion_deadline =
        details.suspected_since +
        Duration(static_cast<std::int64_t>(min_timeout * (3 - 2 * confirmation_ratio)));
    queue_update(member.id);
}

// Handles an update about this instance: refutes a suspicion or death report by raising the incarnation
// number.
void Swim::handle_update_about_self(const Member& update) {
    if (update.state == State::alive || leaving_ || update.incarnation < self_.incarnation) return;
    self_.incarnation = update.incarnation + 1;
    ++statistics_.refuted;
    local_health_ = std::min(local_health_ + 1, max_local_health);
    queue_update(self_.id);
}

void Swim::add_member(Time now, const Member& update, Actions& actions) {
    if (members_.size() + 1 >= settings_.max_members) {
        ++statistics_.over_limit;
        return;
    }
    members_.emplace(update.id, update);
    details_[update.id] = {.state_since = now};
    queue_update(update.id);
    actions.changes.push_back({update, std::nullopt});
    if (update.state == State::suspect) { // the timeout runs even if no further confirmation arrives
        details_[update.id].suspected_since = now;
        details_[update.id].suspicion_deadline = now + min_suspicion_timeout() * 3;
    }
    // The new member takes a random position in the current probe round.
    if (update.state != State::dead && update.state != State::left)
        probe_round_.insert(
            probe_round_.begin() + random_(static_cast<std::uint32_t>(probe_round_.size() + 1)), update.id);
}

// Merges an update about a member into the local view. `source` identifies the sender.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
void Swim::apply_update(Time now, const Member& update, std::uint64_t source, Actions& actions) {
    if (update.id.name.empty() || update.id.name.size() > max_name_bytes || update.id.life == 0 ||
        update.address.port == 0 || update.state > State::left)
        return;
    if (update.id == self_.id) return handle_update_about_self(update);
    const auto found = members_.find(update.id);
    if (found == members_.end()) {
        // Reports of unknown members that are dead or left are ignored: instances remove such members at
        // different times, so these reports would otherwise circulate forever.
        if (update.state == State::dead || update.state == State::left) return;
        add_member(now, update, actions);
    } else {
        Member& member = found->second;
        if (member.state == State::left) return;
        const bool newer = update.incarnation > member.incarnation;
        const bool same = update.incarnation == member.incarnation;
        switch (update.state) {
        case State::alive:
            if (newer) {
                member.address = update.address;
                set_state(now, member, State::alive, update.incarnation, actions);
            }
            break;
        case State::suspect:
            if (newer && member.state != State::alive)
                set_state(now, member, State::alive, update.incarnation, actions);
            if (newer) member.incarnation = update.incarnation;
            if ((newer || same) && member.state != State::dead) suspect_member(now, member, source, actions);
            break;
        case State::dead:
        case State::left:
            if ((newer || same) && (member.state != State::dead || update.state == State::left))
                set_state(now, member, update.state, update.incarnation, actions);
            break;
        }
    }
    // Only one process can own an address: a later life of the same name there means that the earlier one has
    // ended.
    if (update.state == State::dead || update.state == State::left) return;
    if (update.id.name == self_.id.name) {
        if (update.id.life != self_.id.life && update.address != self_.address) ++statistics_.conflicts;
        if (update.id.life < self_.id.life && update.address == self_.address) {
            Member* previous_life = &members_.find(update.id)->second;
            set_state(now, *previous_life, State::dead, previous_life->incarnation, actions);
        }
        return;
    }
    for (auto it = members_.lower_bound({update.id.name, 0});
         it != members_.end() && it->first.name == update.id.name; ++it) {
        Member& other = it->second;
        if (other.id.life >= update.id.life || other.state == State::dead || other.state == State::left)
            continue;
        if (other.address == update.address) {
            set_state(now, other, State::dead, other.incarnation, actions);
        } else {
            ++statistics_.conflicts;
        }
    }
}

// ----------------------------------------------------------------------------------------------- probes

// Returns the next probe target. Each round visits all members once in random order, which bounds the time
// until a failure is detected.
std::optional<MemberId> Swim::next_probe_target() {
    for (bool refilled : {false, true}) {
        while (!probe_round_.empty()) {
            MemberId id = std::move(probe_round_.back());
            probe_round_.pop_back();
            const Member* member = find_member(id);
            if (member != nullptr && member->state != State::dead && member->state != State::left) return id;
        }
        if (refilled) break;
        for (const auto& [id, member] : members_)
            if (member.state != State::dead && member.state != State::left) probe_round_.push_back(id);
        for (std::size_t i = probe_round_.size(); i > 1; --i)
            std::swap(probe_round_[i - 1], probe_round_[random_(static_cast<std::uint32_t>(i))]);
    }
    return std::nullopt;
}

void Swim::start_probe(Time now, Actions& actions) {
    auto target = next_probe_target();
    if (!target) return;
    const Member& member = members_.at(*target);
    ++statistics_.probes;
    probe_ = {.target = *target, .sequence = ++sequence_, .pending = true};
    // Lifeguard: an unhealthy instance waits longer before it suspects others.
    probe_.indirect_at = now + settings_.probe_timeout * static_cast<std::int64_t>(1 + local_health_);
    Message ping{.kind = MessageKind::ping, .sequence = probe_.sequence, .life = member.id.life};
    if (member.state == State::suspect)
        ping.updates.push_back(member); // lets the member refute the suspicion
    send(member.address, std::move(ping), actions);
}

// Evaluates the probe of the ending period: a target that has not answered becomes suspect.
void Swim::finish_probe(Time now, Actions& actions) {
    if (!std::exchange(probe_.pending, false)) return;
    const auto found = members_.find(probe_.target);
    if (found == members_.end()) return;
    ++statistics_.probes_failed;
    // Missing nacks from the helpers suggest that this instance itself is cut off.
    if (probe_.nacks < probe_.nacks_expected) local_health_ = std::min(local_health_ + 1, max_local_health);
    if (found->second.state == State::alive || found->second.state == State::suspect)
        suspect_member(now, found->second, self_.id.life, actions);
}

void Swim::tick(Time now, Actions& actions) {
    if (leaving_) return;
    if (probe_.pending && !probe_.indirect_sent && now >= probe_.indirect_at) {
        probe_.indirect_sent = true;
        const Member* target = find_member(probe_.target);
        const auto helpers = sample_members(settings_.indirect_probe_count, [&](const Member& member) {
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
                 actions);
        }
    }
    for (RelayedProbe& relayed : relayed_probes_) {
        if (now < relayed.deadline || std::exchange(relayed.nack_sent, true)) continue;
        send(relayed.requester, {.kind = MessageKind::nack, .sequence = relayed.request_sequence}, actions);
    }
    std::erase_if(relayed_probes_,
                  [&](const RelayedProbe& entry) { return now >= entry.deadline + settings_.probe_period; });
    std::vector<MemberId> expired;
    for (const auto& [id, member] : members_)
        if (member.state == State::suspect && now >= details_[id].suspicion_deadline) expired.push_back(id);
    for (const MemberId& id : expired)
        set_state(now, members_.at(id), State::dead, members_.at(id).incarnation, actions);
    if (now < next_period_at_) return;
    finish_probe(now, actions);
    remove_expired(now);
    ++period_count_;
    next_period_at_ = std::max(next_period_at_ + settings_.probe_period, now + settings_.probe_period / 2);
    start_probe(now, actions);
    contact_unreachable(actions);
    if (period_count_ % settings_.sync_interval_periods == 0) {
        if (const auto peer = random_alive_address())
            send(*peer, {.kind = MessageKind::sync_request, .sequence = ++sequence_}, actions);
    }
}

Time Swim::next_tick() const {
    Time due = next_period_at_;
    if (probe_.pending && !probe_.indirect_sent) due = std::min(due, probe_.indirect_at);
    for (const RelayedProbe& relayed : relayed_probes_)
        if (!relayed.nack_sent) due = std::min(due, relayed.deadline);
    return due;
}

// Pings one dead member per period, so that partitions heal within a few periods after connectivity returns.
// Every few periods also requests the member list from a seed that is not an alive member, as the seed may
// have been down when this instance started.
void Swim::contact_unreachable(Actions& actions) {
    const auto dead = sample_members(1, [&](const Member& member) {
        return member.state == State::dead && member.id.name != self_.id.name;
    });
    if (!dead.empty()) {
        Message ping{.kind = MessageKind::ping, .sequence = ++sequence_, .life = 0};
        ping.updates.push_back(*dead.front());
        const Address to = dead.front()->address;
        send(to, std::move(ping), actions);
    }
    // An instance without other members retries every period, as its first request may have been lost.
    if (period_count_ % seed_contact_interval_periods != 1 && alive_count() > 1) return;
    std::vector<Address> unknown_seeds;
    for (const Address& seed : settings_.seeds) {
        const bool is_known = seed == self_.address || std::ranges::any_of(members_, [&](const auto& entry) {
                                  return entry.second.address == seed && entry.second.state == State::alive;
                              });
        if (!is_known) unknown_seeds.push_back(seed);
    }
    if (unknown_seeds.empty()) return;
    const Address to = unknown_seeds[random_(static_cast<std::uint32_t>(unknown_seeds.size()))];
    Message request{.kind = MessageKind::sync_request, .sequence = ++sequence_};
    request.updates.push_back(self_);
    send(to, std::move(request), actions);
}

// Removes members that have been dead or left for longer than `forget_after`.
void Swim::remove_expired(Time now) {
    std::vector<MemberId> expired;
    for (const auto& [id, member] : members_) {
        if ((member.state == State::dead || member.state == State::left) &&
            now - details_[id].state_since > settings_.forget_after)
            expired.push_back(id);
    }
    for (const MemberId& id : expired) {
        members_.erase(id);
        details_.erase(id);
    }
}

// --------------------------------------------------------------------------------------------- messages

void Swim::start(Time, Actions& actions) {
    queue_update(self_.id);
    for (const Address& seed : settings_.seeds) {
        if (seed == self_.address) continue;
        Message request{.kind = MessageKind::sync_request, .sequence = ++sequence_};
        request.updates.push_back(self_);
        actions.sends.push_back({seed, std::move(request)});
    }
}

// Sends all known members, split into as many messages as the byte budget requires.
void Swim::send_all_members(Address to, Actions& actions) {
    std::vector<Member> all_members{self_};
    for (const auto& [id, member] : members_)
        all_members.push_back(member);
    Message chunk{.kind = MessageKind::sync};
    std::size_t remaining_bytes = settings_.max_update_bytes;
    for (Member& member : all_members) {
        if (encoded_size(member) > remaining_bytes) {
            actions.sends.push_back({to, std::exchange(chunk, {.kind = MessageKind::sync})});
            remaining_bytes = settings_.max_update_bytes;
        }
        remaining_bytes -= encoded_size(member);
        chunk.updates.push_back(std::move(member));
    }
    actions.sends.push_back({to, std::move(chunk)});
}

void Swim::receive(Time now, Address from, const Message& message, Actions& actions) {
    // The sender's address identifies it as the source of a suspicion.
    std::uint64_t source = (std::uint64_t{from.host} << 16U) | from.port;
    for (const Member& update : message.updates)
        apply_update(now, update, source, actions);
    if (leaving_ && message.kind != MessageKind::ping) return;
    switch (message.kind) {
    case MessageKind::ping:
        if (message.life == 0 || message.life == self_.id.life) {
            send(from, {.kind = MessageKind::ack, .sequence = message.sequence}, actions);
        } else { // the ping is meant for an earlier life, or for an instance that had this address before
            Message answer{.kind = MessageKind::nack, .sequence = message.sequence};
            answer.updates.push_back(self_);
            send(from, std::move(answer), actions);
        }
        break;
    case MessageKind::ack: {
        if (probe_.pending && message.sequence == probe_.sequence) {
            probe_.pending = false;
            if (local_health_ > 0) --local_health_;
        }
        const auto relayed =
            std::ranges::find(relayed_probes_, message.sequence, &RelayedProbe::ping_sequence);
        if (relayed != relayed_probes_.end()) {
            const Address requester = relayed->requester;
            const std::uint32_t sequence = relayed->request_sequence;
            relayed_probes_.erase(relayed);
            send(requester, {.kind = MessageKind::ack, .sequence = sequence}, actions);
        }
        break;
    }
    case MessageKind::nack:
        if (!probe_.pending || message.sequence != probe_.sequence) break;
        ++probe_.nacks;
        // Another life answers at the address of the probed one, so the probed life has ended, even if a
        // clock that was set back gave its successor a lower number.
        if (const auto found = members_.find(probe_.target);
            found != members_.end() && found->second.state != State::left && found->second.address == from &&
            std::ranges::any_of(message.updates, [&](const Member& update) {
                return update.address == from && update.id != probe_.target;
            })) {
            probe_.pending = false;
            set_state(now, found->second, State::dead, found->second.incarnation, actions);
        }
        break;
    case MessageKind::ping_request: {
        if (relayed_probes_.size() >= max_relayed_probes) break;
        relayed_probes_.push_back({from, message.sequence, ++sequence_, now + settings_.probe_timeout});
        send(message.subject, {.kind = MessageKind::ping, .sequence = sequence_, .life = message.life},
             actions);
        break;
    }
    case MessageKind::sync_request:
        send_all_members(from, actions);
        break;
    case MessageKind::sync:
        break;
    }
}

void Swim::leave(Time, Actions& actions) {
    if (std::exchange(leaving_, true)) return;
    self_.state = State::left;
    Message notice{.kind = MessageKind::sync};
    notice.updates.push_back(self_);
    constexpr std::size_t leave_fanout = 8; // members that are notified
    for (const Member* member : sample_members(leave_fanout, [](const Member& entry) {
             return entry.state == State::alive || entry.state == State::suspect;
         }))
        actions.sends.push_back({member->address, notice});
}

void Swim::begin_life(std::uint64_t life, Time now, Actions& actions) {
    Member previous_life = self_;
    previous_life.state = State::left;
    self_.id.life = life;
    self_.incarnation = 0;
    members_.insert_or_assign(previous_life.id, previous_life);
    details_[previous_life.id] = {.state_since = now};
    queue_update(previous_life.id);
    queue_update(self_.id);
    actions.changes.push_back({previous_life, State::alive});
}

} // namespace willowrill::swim
