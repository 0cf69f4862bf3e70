// How a member becomes the primary of a new epoch. The same way serves failover, changes of the in-sync set
// and changes of the witnesses: the primary of an epoch stands for the next one.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// Backups stand one after the other: in-sync members in the order after the last primary, then the others.
std::size_t Replica::place_in_order() const {
    const std::vector<MemberId>& order = register_.decided.in_sync;
    const auto self = std::ranges::find(order, options_.self);
    if (self == order.end() || !register_.intact) return order.size() + 1;
    const auto last = std::ranges::find(order, register_.decided.primary);
    const auto size = static_cast<std::ptrdiff_t>(order.size());
    const std::ptrdiff_t from = last == order.end() ? 0 : last - order.begin();
    return static_cast<std::size_t>(((self - order.begin()) - from + size) % size);
}

Time Replica::election_delay() const {
    const Time base = heard_in_this_life_ ? options_.timing.election : Time{0};
    return base + options_.timing.election_step * static_cast<int>(place_in_order());
}

// All members whose promise may be needed: witnesses of what is in force or may be, and spare members.
std::vector<MemberId> Replica::electors() const {
    std::set<MemberId> all(register_.decided.witnesses.begin(), register_.decided.witnesses.end());
    all.insert(register_.accepted.witnesses.begin(), register_.accepted.witnesses.end());
    for (const auto& [id, promise] : promises_) {
        const EpochRecord& record = promise.witness_register.accepted;
        all.insert(record.witnesses.begin(), record.witnesses.end());
    }
    for (const MemberId& id : spares())
        all.insert(id);
    return {all.begin(), all.end()};
}

// Members that could become witnesses.
std::vector<MemberId> Replica::spares() const {
    std::vector<MemberId> out;
    const std::vector<MemberId>& witnesses = register_.decided.witnesses;
    for (const auto& [id, peer] : peers_)
        if (steady(id) && std::ranges::count(witnesses, id) == 0) out.push_back(id);
    return out;
}

void Replica::stand(bool tentative) {
    planned_change_ = role_ == Role::primary;
    // Two that stand at once get different epochs, the earlier in the order the higher: one of them prevails.
    const std::size_t members = register_.decided.in_sync.size() + 2;
    const Epoch advantage = members - std::min(members, place_in_order());
    candidate_epoch_ =
        std::max({highest_seen_, register_.promised, register_.accepted.epoch}) + 1 + advantage;
    promises_.clear();
    installed_.clear();
    accepted_by_.clear();
    if (!tentative) return start_collecting();
    change_role(Role::pre_voting, "primary-silent");
    promises_[options_.self] = {register_, state_.position, leaving_};
    for (const MemberId& id : electors())
        send(id, PrepareRequest{candidate_epoch_, true});
    count_promises();
}

// Nobody else is asked before its own promise is durable: a disk that stalls must not fence others.
void Replica::start_collecting() {
    promises_.clear();
    change_role(Role::preparing, planned_change_ ? "membership-change" : "enough-would-promise");
    WitnessRegister next = register_;
    next.promised = candidate_epoch_;
    highest_seen_ = std::max(highest_seen_, candidate_epoch_);
    save(next);
    after_saves(OwnPromise{candidate_epoch_});
}

void Replica::carry_out(const OwnPromise& promise) {
    if (role_ != Role::preparing || promise.epoch != candidate_epoch_) return;
    promises_[options_.self] = {register_, state_.position, leaving_};
    for (const MemberId& id : electors())
        send(id, PrepareRequest{candidate_epoch_, false});
    plan_record();
}

void Replica::on_message(const MemberId& from, const PrepareReply& reply) {
    const bool wanted = reply.epoch == candidate_epoch_ &&
                        (reply.tentative ? role_ == Role::pre_voting : role_ == Role::preparing);
    if (!wanted) return;
    if (!reply.granted) {
        const Epoch promised = reply.witness_register.promised;
        highest_seen_ = std::max(highest_seen_, promised);
        if (!reply.tentative && promised >= candidate_epoch_) abandon_election(promised, "outbid");
        return;
    }
    const std::vector<MemberId> before = electors();
    promises_[from] = {reply.witness_register, reply.position, reply.leaving};
    for (const MemberId& id : electors()) // witnesses of a record that was not known here
        if (!std::ranges::binary_search(before, id))
            send(id, PrepareRequest{candidate_epoch_, reply.tentative});
    count_promises();
}

std::set<MemberId> Replica::promised() const {
    std::set<MemberId> out;
    for (const auto& [id, promise] : promises_)
        out.insert(id);
    return out;
}

void Replica::count_promises() {
    if (role_ == Role::preparing) return plan_record();
    const std::set<MemberId> present = promised();
    const bool enough =
        has_quorum(highest_decided().witnesses, present) && has_quorum(highest_accepted().witnesses, present);
    if (enough) start_collecting();
}

const EpochRecord& Replica::highest_accepted() const {
    const EpochRecord* best = &register_.accepted;
    for (const auto& [id, promise] : promises_)
        if (promise.witness_register.accepted.epoch > best->epoch) best = &promise.witness_register.accepted;
    return *best;
}

const EpochRecord& Replica::highest_decided() const {
    const EpochRecord* best = &register_.decided;
    for (const auto& [id, promise] : promises_)
        if (promise.witness_register.decided.epoch > best->epoch) best = &promise.witness_register.decided;
    return *best;
}

// Has left, or was silent or unable to vote for long.
bool Replica::replaceable(const MemberId& witness) const {
    if (witness == options_.self) return false;
    const auto found = peers_.find(witness);
    const Time patience = options_.timing.witness_silent;
    if (found == peers_.end()) return now_ - started_ >= patience;
    const Peer& peer = found->second;
    if (peer.leaving || now_ - std::max(peer.heard, started_) >= patience) return true;
    const bool hears_votes = role_ == Role::primary || planned_change_; // replies go to the primary alone
    return hears_votes && now_ - std::max(peer.voting_at, primary_since_) >= patience;
}

// Grows to what bears the losses tolerated, and replaces witnesses where spare members stand by.
std::vector<MemberId> Replica::next_witnesses(const std::vector<MemberId>& present) const {
    std::vector<MemberId> next = highest_accepted().witnesses;
    std::vector<MemberId> free;
    if (std::ranges::count(next, options_.self) == 0) free.push_back(options_.self);
    for (const MemberId& id : spares())
        if (std::ranges::count(present, id) > 0 && std::ranges::count(next, id) == 0) free.push_back(id);
    for (MemberId& id : next) {
        if (free.empty()) break;
        const auto peer = peers_.find(id);
        const bool left = peer != peers_.end() && peer->second.leaving;
        if (!replaceable(id) || (!left && std::ranges::count(present, id) > 0)) continue;
        id = free.back();
        free.pop_back();
    }
    // By two at a time: one more of an even number bears no further loss, and asks for a larger quorum.
    while (free.size() >= 2 && next.size() + 2 <= full_size()) {
        next.insert(next.end(), free.end() - 2, free.end());
        free.resize(free.size() - 2);
    }
    std::ranges::sort(next);
    return next;
}

// The witnesses that promised and stay; those that leave only where there are too few others.
std::vector<MemberId> Replica::next_in_sync(const std::vector<MemberId>& witnesses) const {
    std::vector<MemberId> next, leaving;
    for (const MemberId& id : witnesses) {
        const auto promise = promises_.find(id);
        if (promise == promises_.end()) continue;
        (promise->second.leaving ? leaving : next).push_back(id);
    }
    if (std::ranges::count(next, options_.self) == 0 && std::ranges::count(leaving, options_.self) == 0)
        next.push_back(options_.self);
    while (next.size() < fewest_in_sync() && !leaving.empty()) {
        next.push_back(leaving.back());
        leaving.pop_back();
    }
    return next;
}

void Replica::plan_record() {
    const std::set<MemberId> present = promised();
    const EpochRecord accepted = highest_accepted(), decided = highest_decided();
    if (!has_quorum(decided.witnesses, present) || !has_quorum(accepted.witnesses, present)) return;

    const MemberId* source = nullptr;
    Position best;
    for (const MemberId& id : accepted.in_sync) {
        const auto promise = promises_.find(id);
        if (promise == promises_.end() || !promise->second.witness_register.intact) continue;
        if (source != nullptr && promise->second.position < best) continue;
        source = &id;
        best = promise->second.position;
    }
    if (source == nullptr) return; // nobody here is sure to hold what was acknowledged

    const std::vector<MemberId> witnesses = next_witnesses({present.begin(), present.end()});
    const EpochRecord plan{candidate_epoch_, options_.self, next_in_sync(witnesses), witnesses};
    if (plan.in_sync.size() < fewest_in_sync()) return;
    // Spare members too: a change for their sake must not be planned before they could promise.
    const std::vector<MemberId> asked = electors();
    const bool all =
        std::ranges::all_of(asked, [&](const MemberId& id) { return present.contains(id) || !alive(id); });
    if (quorum_since_ < Time{0}) quorum_since_ = now_;
    const Time gather = planned_change_ ? options_.timing.gather_planned : options_.timing.gather;
    if (!all && now_ - quorum_since_ < gather) return;
    for (auto& [id, peer] : peers_) // who is too slow to promise is not asked for again at once
        if (!present.contains(id)) peer.steady_since = now_;

    planned_ = plan;
    groups_ = {decided.witnesses, accepted.witnesses, planned_.witnesses};
    if (best == state_.position && register_.intact) return install();
    if (*source == options_.self) return install();
    fetch_from_ = *source;
    change_role(Role::fetching, "another-holds-newer-state");
    send(fetch_from_, FetchRequest{candidate_epoch_});
}

void Replica::on_message(const MemberId& from, const FetchReply& reply) {
    if (role_ != Role::fetching || reply.epoch != candidate_epoch_ || from != fetch_from_) return;
    if (reply.state.position != state_.position) save(reply.state);
    WitnessRegister next = register_;
    next.intact = true;
    save(next);
    after_saves(OwnInstall{candidate_epoch_});
}

void Replica::carry_out(const OwnInstall& install_of) {
    if (role_ == Role::fetching && install_of.epoch == candidate_epoch_) install();
}

void Replica::install() {
    change_role(Role::installing, "state-known");
    installed_ = {options_.self};
    for (const MemberId& id : planned_.in_sync) {
        if (id == options_.self) continue;
        const Promise& promise = promises_[id];
        if (promise.position == state_.position && promise.witness_register.intact)
            installed_.insert(id);
        else
            send(id, InstallRequest{candidate_epoch_, state_});
    }
    maybe_accept();
}

void Replica::on_message(const MemberId& from, const InstallReply& reply) {
    if (role_ != Role::installing || reply.epoch != candidate_epoch_) return;
    if (!reply.stored) return abandon_election(reply.promised, "install-refused");
    installed_.insert(from);
    maybe_accept();
}

void Replica::maybe_accept() {
    if (role_ != Role::installing || installed_.size() < planned_.in_sync.size()) return;
    change_role(Role::accepting, "state-installed");
    WitnessRegister next = register_;
    next.accepted = planned_;
    save(next);
    after_saves(OwnAccept{candidate_epoch_});
}

void Replica::carry_out(const OwnAccept& accept) {
    if (role_ != Role::accepting || accept.epoch != candidate_epoch_) return;
    accepted_by_ = {options_.self};
    accept_sent_ = now_;
    std::set<MemberId> all;
    for (const std::vector<MemberId>& group : groups_)
        all.insert(group.begin(), group.end());
    for (const MemberId& id : all)
        send(id, AcceptRequest{planned_});
    count_accepts();
}

void Replica::on_message(const MemberId& from, const AcceptReply& reply) {
    if (role_ != Role::accepting || reply.epoch != candidate_epoch_) return;
    if (!reply.stored) {
        if (reply.promised > candidate_epoch_) abandon_election(reply.promised, "outbid");
        return;
    }
    accepted_by_.insert(from);
    count_accepts();
}

void Replica::count_accepts() {
    for (const std::vector<MemberId>& group : groups_)
        if (!has_quorum(group, accepted_by_)) return;
    become_primary();
}

// Another candidate may be ahead: it gets its time, and a random share more keeps two from meeting again.
void Replica::abandon_election(Epoch seen, const char* reason) {
    highest_seen_ = std::max(highest_seen_, seen);
    drop_orders();
    change_role(Role::backup, reason);
    const auto spread = static_cast<std::uint64_t>(options_.timing.phase.count());
    stand_not_before_ =
        std::max(stand_not_before_, now_ + Time{static_cast<std::int64_t>(random_() % spread)});
}

// A member that won and could not serve would win again: others have their turn first, for longer each time.
void Replica::lose_turn() {
    const Timing& timing = options_.timing;
    turn_pause_ = std::clamp(2 * turn_pause_, timing.turn_first, timing.turn_longest);
    stand_not_before_ = std::max(stand_not_before_, now_ + turn_pause_);
}

void Replica::on_message(const MemberId& from, const LeadershipTransfer& yield) {
    if (role_ != Role::backup || !can_vote() || leaving_) return;
    if (from == register_.decided.primary && yield.epoch == register_.decided.epoch) stand(false);
}

} // namespace willowrill::replication
