// How a member becomes the primary of a new epoch. The same way serves failover, changes of the in-sync set
// and changes of the witnesses: the primary of an epoch stands for the next one.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// Backups stand one after the other: in-sync members in the order after the last primary, then the others.
std::size_t Replica::succession_rank() const {
    const std::vector<MemberId>& order = register_.decided.in_sync;
    const auto self = std::ranges::find(order, options_.self);
    if (self == order.end() || !register_.complete) return order.size() + 1;
    const auto last = std::ranges::find(order, register_.decided.primary);
    const auto size = static_cast<std::ptrdiff_t>(order.size());
    const std::ptrdiff_t from = last == order.end() ? 0 : last - order.begin();
    return static_cast<std::size_t>(((self - order.begin()) - from + size) % size);
}

Time Replica::election_delay() const {
    const Time base = heard_primary_since_start_ ? options_.timing.election : Time{0};
    return base + options_.timing.election_step * static_cast<int>(succession_rank());
}

// All members whose promise may be needed: witnesses of what is in force or may be, and spare members.
std::vector<MemberId> Replica::prepare_recipients() const {
    std::set<MemberId> all(register_.decided.witnesses.begin(), register_.decided.witnesses.end());
    all.insert(register_.accepted.witnesses.begin(), register_.accepted.witnesses.end());
    for (const auto& [id, reply] : prepare_replies_) {
        const EpochRecord& record = reply.witness_register.accepted;
        all.insert(record.witnesses.begin(), record.witnesses.end());
    }
    for (const MemberId& id : standbys())
        all.insert(id);
    return {all.begin(), all.end()};
}

// Members that could become witnesses.
std::vector<MemberId> Replica::standbys() const {
    std::vector<MemberId> out;
    const std::vector<MemberId>& witnesses = register_.decided.witnesses;
    for (const auto& [id, peer] : peers_)
        if (is_steady(id) && std::ranges::count(witnesses, id) == 0) out.push_back(id);
    return out;
}

void Replica::begin_candidacy() {
    planned_change_ = role_ == Role::primary;
    // Two that stand at once get different epochs, the earlier in the order the higher: one of them prevails.
    const std::size_t members = register_.decided.in_sync.size() + 2;
    const Epoch advantage = members - std::min(members, succession_rank());
    candidate_epoch_ =
        std::max({highest_epoch_seen_, register_.promised, register_.accepted.epoch}) + 1 + advantage;
    prepare_replies_.clear();
    installed_.clear();
    accepted_by_.clear();
}

void Replica::start_pre_vote() {
    begin_candidacy();
    change_role(Role::pre_voting, "primary-silent");
    prepare_replies_[options_.self] = own_prepare_reply();
    for (const MemberId& id : prepare_recipients())
        send(id, PrepareRequest{candidate_epoch_, true});
    count_prepare_replies();
}

PrepareReply Replica::own_prepare_reply() const {
    return {candidate_epoch_, false, true, shutting_down_, register_, state_.position};
}

void Replica::start_election() {
    begin_candidacy();
    start_preparing();
}

// Nobody else is asked before its own promise is durable: a disk that stalls must not fence others.
void Replica::start_preparing() {
    prepare_replies_.clear();
    change_role(Role::preparing, planned_change_ ? "membership-change" : "enough-would-promise");
    WitnessRegister next = register_;
    next.promised = candidate_epoch_;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, candidate_epoch_);
    save(next);
    when_durable(SendPrepareRequests{candidate_epoch_});
}

void Replica::carry_out(const SendPrepareRequests& due) {
    if (role_ != Role::preparing || due.epoch != candidate_epoch_) return;
    prepare_replies_[options_.self] = own_prepare_reply();
    for (const MemberId& id : prepare_recipients())
        send(id, PrepareRequest{candidate_epoch_, false});
    plan_record();
}

void Replica::on_message(const MemberId& from, const PrepareReply& reply) {
    const bool wanted = reply.epoch == candidate_epoch_ &&
                        (reply.pre_vote ? role_ == Role::pre_voting : role_ == Role::preparing);
    if (!wanted) return;
    if (!reply.granted) {
        const Epoch promised = reply.witness_register.promised;
        highest_epoch_seen_ = std::max(highest_epoch_seen_, promised);
        if (!reply.pre_vote && promised >= candidate_epoch_) abandon_election(promised, "outbid");
        return;
    }
    const std::vector<MemberId> before = prepare_recipients();
    prepare_replies_[from] = reply;
    for (const MemberId& id : prepare_recipients()) // witnesses of a record that was not known here
        if (!std::ranges::binary_search(before, id))
            send(id, PrepareRequest{candidate_epoch_, reply.pre_vote});
    count_prepare_replies();
}

std::set<MemberId> Replica::members_granting() const {
    std::set<MemberId> out;
    for (const auto& [id, reply] : prepare_replies_)
        out.insert(id);
    return out;
}

void Replica::count_prepare_replies() {
    if (role_ == Role::preparing) return plan_record();
    const std::set<MemberId> present = members_granting();
    const bool enough =
        has_quorum(highest_decided().witnesses, present) && has_quorum(highest_accepted().witnesses, present);
    if (enough) start_preparing();
}

const EpochRecord& Replica::highest_accepted() const {
    const EpochRecord* best = &register_.accepted;
    for (const auto& [id, reply] : prepare_replies_)
        if (reply.witness_register.accepted.epoch > best->epoch) best = &reply.witness_register.accepted;
    return *best;
}

const EpochRecord& Replica::highest_decided() const {
    const EpochRecord* best = &register_.decided;
    for (const auto& [id, reply] : prepare_replies_)
        if (reply.witness_register.decided.epoch > best->epoch) best = &reply.witness_register.decided;
    return *best;
}

// Has left, or was silent or unable to vote for long.
bool Replica::replaceable(const MemberId& witness) const {
    if (witness == options_.self) return false;
    const auto found = peers_.find(witness);
    const Time timeout = options_.timing.witness_timeout;
    if (found == peers_.end()) return now_ - started_at_ >= timeout;
    const Peer& peer = found->second;
    if (peer.shutting_down || now_ - std::max(peer.heard, started_at_) >= timeout) return true;
    const bool hears_votes = role_ == Role::primary || planned_change_; // replies go to the primary alone
    return hears_votes && now_ - std::max(peer.voting_at, primary_since_) >= timeout;
}

// Grows to what bears the losses tolerated, and replaces witnesses where spare members stand by.
std::vector<MemberId> Replica::next_witnesses(const std::vector<MemberId>& present) const {
    std::vector<MemberId> next = highest_accepted().witnesses;
    std::vector<MemberId> free;
    if (std::ranges::count(next, options_.self) == 0) free.push_back(options_.self);
    for (const MemberId& id : standbys())
        if (std::ranges::count(present, id) > 0 && std::ranges::count(next, id) == 0) free.push_back(id);
    for (MemberId& id : next) {
        if (free.empty()) break;
        const auto peer = peers_.find(id);
        const bool shuts_down = peer != peers_.end() && peer->second.shutting_down;
        if (!replaceable(id) || (!shuts_down && std::ranges::count(present, id) > 0)) continue;
        id = free.back();
        free.pop_back();
    }
    // By two at a time: one more of an even number bears no further loss, and asks for a larger quorum.
    while (free.size() >= 2 && next.size() + 2 <= full_witness_count()) {
        next.insert(next.end(), free.end() - 2, free.end());
        free.resize(free.size() - 2);
    }
    std::ranges::sort(next);
    return next;
}

// The witnesses that promised and stay; those that leave only where there are too few others.
std::vector<MemberId> Replica::next_in_sync(const std::vector<MemberId>& witnesses) const {
    std::vector<MemberId> next, shutting_down;
    for (const MemberId& id : witnesses) {
        const auto reply = prepare_replies_.find(id);
        if (reply == prepare_replies_.end()) continue;
        (reply->second.shutting_down ? shutting_down : next).push_back(id);
    }
    if (std::ranges::count(next, options_.self) == 0 && std::ranges::count(shutting_down, options_.self) == 0)
        next.push_back(options_.self);
    while (next.size() < min_in_sync() && !shutting_down.empty()) {
        next.push_back(shutting_down.back());
        shutting_down.pop_back();
    }
    return next;
}

void Replica::plan_record() {
    const std::set<MemberId> present = members_granting();
    const EpochRecord accepted = highest_accepted(), decided = highest_decided();
    if (!has_quorum(decided.witnesses, present) || !has_quorum(accepted.witnesses, present)) return;

    const MemberId* source = nullptr;
    Position best;
    for (const MemberId& id : accepted.in_sync) {
        const auto reply = prepare_replies_.find(id);
        if (reply == prepare_replies_.end() || !reply->second.witness_register.complete) continue;
        if (source != nullptr && reply->second.position < best) continue;
        source = &id;
        best = reply->second.position;
    }
    if (source == nullptr) return; // nobody here is sure to hold what was acknowledged

    const std::vector<MemberId> witnesses = next_witnesses({present.begin(), present.end()});
    const EpochRecord plan{candidate_epoch_, options_.self, next_in_sync(witnesses), witnesses};
    if (plan.in_sync.size() < min_in_sync()) return;
    // Spare members too: a change for their sake must not be planned before they could promise.
    const std::vector<MemberId> asked = prepare_recipients();
    const bool all =
        std::ranges::all_of(asked, [&](const MemberId& id) { return present.contains(id) || !is_alive(id); });
    if (quorum_since_ < Time{0}) quorum_since_ = now_;
    const Time prepare_wait =
        planned_change_ ? options_.timing.prepare_wait_planned : options_.timing.prepare_wait;
    if (!all && now_ - quorum_since_ < prepare_wait) return;
    for (auto& [id, peer] : peers_) // who is too slow to promise is not asked for again at once
        if (!present.contains(id)) peer.steady_since = now_;

    planned_ = plan;
    groups_ = {decided.witnesses, accepted.witnesses, planned_.witnesses};
    if (best == state_.position && register_.complete) return install();
    if (*source == options_.self) return install();
    fetch_from_ = *source;
    change_role(Role::fetching, "another-holds-newer-state");
    send(fetch_from_, FetchRequest{candidate_epoch_});
}

void Replica::on_message(const MemberId& from, const FetchReply& reply) {
    if (role_ != Role::fetching || reply.epoch != candidate_epoch_ || from != fetch_from_) return;
    if (reply.state.position != state_.position) save(reply.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(StartInstall{candidate_epoch_});
}

void Replica::carry_out(const StartInstall& due) {
    if (role_ == Role::fetching && due.epoch == candidate_epoch_) install();
}

void Replica::install() {
    change_role(Role::installing, "state-known");
    installed_ = {options_.self};
    for (const MemberId& id : planned_.in_sync) {
        if (id == options_.self) continue;
        const PrepareReply& reply = prepare_replies_[id];
        if (reply.position == state_.position && reply.witness_register.complete)
            installed_.insert(id);
        else
            send(id, InstallRequest{candidate_epoch_, state_});
    }
    start_accept_if_installed();
}

void Replica::on_message(const MemberId& from, const InstallReply& reply) {
    if (role_ != Role::installing || reply.epoch != candidate_epoch_) return;
    if (!reply.stored) return abandon_election(reply.promised, "install-refused");
    installed_.insert(from);
    start_accept_if_installed();
}

void Replica::start_accept_if_installed() {
    if (role_ != Role::installing || installed_.size() < planned_.in_sync.size()) return;
    change_role(Role::accepting, "state-installed");
    WitnessRegister next = register_;
    next.accepted = planned_;
    save(next);
    when_durable(SendAcceptRequests{candidate_epoch_});
}

void Replica::carry_out(const SendAcceptRequests& due) {
    if (role_ != Role::accepting || due.epoch != candidate_epoch_) return;
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
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen);
    abort_client_requests();
    change_role(Role::backup, reason);
    const auto spread = static_cast<std::uint64_t>(options_.timing.phase.count());
    no_election_before_ =
        std::max(no_election_before_, now_ + Time{static_cast<std::int64_t>(random_() % spread)});
}

// A member that won and could not serve would win again: others have their turn first, for longer each time.
void Replica::back_off_election() {
    const Timing& timing = options_.timing;
    election_backoff_ =
        std::clamp(2 * election_backoff_, timing.election_backoff_first, timing.election_backoff_max);
    no_election_before_ = std::max(no_election_before_, now_ + election_backoff_);
}

void Replica::on_message(const MemberId& from, const LeadershipTransfer& transfer) {
    if (role_ != Role::backup || !can_vote() || shutting_down_) return;
    if (from == register_.decided.primary && transfer.epoch == register_.decided.epoch) start_election();
}

} // namespace willowrill::replication
