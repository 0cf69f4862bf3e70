// How a member becomes the primary of a new epoch. The same way serves failover, changes of the in-sync set
// and changes of the witnesses: the primary of an epoch is the candidate for the next one.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// ---- Whether and when ------------------------------------------------------------------------------------

// The primary has been silent for long, and enough witnesses could answer: in the order of succession.
bool Replica::may_start_election() const {
    if (!can_vote() || shutting_down_ || !backoff_.is_over(now_) || !quorum_reached_since_) return false;
    const Time delay = election_delay();
    const bool primary_silent = !primary_heard_at_ || now_ - *primary_heard_at_ > delay;
    const auto rank = static_cast<int>(succession_rank(options_.self, register_));
    return primary_silent && now_ - *quorum_reached_since_ >= options_.timing.election_step * rank;
}

Time Replica::election_delay() const {
    const Timing& timing = options_.timing;
    const Time base = primary_heard_at_ ? timing.election_timeout : Time{0};
    return base + timing.election_step * static_cast<int>(succession_rank(options_.self, register_));
}

void Replica::begin_candidacy() {
    // Two candidates of one moment get different epochs, the earlier in the order the higher: one prevails.
    const std::size_t members = register_.decided.in_sync.size() + 2;
    const Epoch advantage = members - std::min(members, succession_rank(options_.self, register_));
    const Epoch highest = std::max({highest_epoch_seen_, register_.promised, register_.accepted.epoch});
    election_.begin(highest + 1 + advantage, role_ == Role::primary ? Election::Purpose::membership_change
                                                                    : Election::Purpose::failover);
}

// Another candidate may be ahead: it gets its time, and a random share more keeps two from meeting again.
void Replica::abandon_election(Epoch seen, const char* reason) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen);
    abort_client_requests();
    change_role(Role::backup, reason);
    const auto spread = static_cast<std::uint64_t>(options_.timing.election_phase.count());
    backoff_.wait_until(now_ + Time{static_cast<std::int64_t>(random_() % spread)});
}

void Replica::check_election_phase() {
    if (now_ - role_since_ > options_.timing.election_phase) {
        if (!durability_.idle()) backoff_.back_off(now_); // its own disk is too slow to serve
        return abandon_election(0, "election-phase-too-long");
    }
    if (role_ == Role::preparing) plan_record();
}

// ---- Prepare ---------------------------------------------------------------------------------------------

void Replica::start_pre_vote() {
    begin_candidacy();
    change_role(Role::pre_voting, "primary-silent");
    election_.add_reply(options_.self, own_prepare_reply());
    send_prepare_requests(true);
    count_prepare_replies();
}

void Replica::start_election() {
    begin_candidacy();
    start_preparing();
}

// Nobody else is asked before its own promise is durable: a disk that stalls must not fence others.
void Replica::start_preparing() {
    election_.clear_replies();
    change_role(Role::preparing,
                election_.is_membership_change() ? "membership-change" : "enough-would-promise");
    WitnessRegister next = register_;
    next.promised = election_.epoch();
    highest_epoch_seen_ = std::max(highest_epoch_seen_, election_.epoch());
    save(next);
    when_durable(SendPrepareRequests{election_.epoch()});
}

void Replica::carry_out(const SendPrepareRequests& due) {
    if (role_ != Role::preparing || due.epoch != election_.epoch()) return;
    election_.add_reply(options_.self, own_prepare_reply());
    send_prepare_requests(false);
    plan_record();
}

PrepareReply Replica::own_prepare_reply() const {
    return {.epoch = election_.epoch(),
            .pre_vote = role_ == Role::pre_voting,
            .granted = true,
            .shutting_down = shutting_down_,
            .witness_register = register_,
            .position = state_.position};
}

// All members whose reply may be needed: witnesses of what is in force or may be, and standbys.
std::vector<MemberId> Replica::prepare_recipients() const {
    std::set<MemberId> all(register_.decided.witnesses.begin(), register_.decided.witnesses.end());
    all.insert(register_.accepted.witnesses.begin(), register_.accepted.witnesses.end());
    for (const auto& [id, reply] : election_.replies()) {
        const EpochRecord& record = reply.witness_register.accepted;
        all.insert(record.witnesses.begin(), record.witnesses.end());
    }
    for (const MemberId& id : standbys())
        all.insert(id);
    return {all.begin(), all.end()};
}

void Replica::send_prepare_requests(bool pre_vote) {
    for (const MemberId& id : prepare_recipients())
        send(id, PrepareRequest{election_.epoch(), pre_vote});
}

void Replica::on_message(const MemberId& from, const PrepareReply& reply) {
    const Role phase = reply.pre_vote ? Role::pre_voting : Role::preparing;
    if (reply.epoch != election_.epoch() || role_ != phase) return;
    if (!reply.granted) return on_prepare_refused(reply);
    const std::vector<MemberId> before = prepare_recipients();
    election_.add_reply(from, reply);
    for (const MemberId& id : prepare_recipients()) // witnesses of a record that was not known here
        if (!std::ranges::binary_search(before, id))
            send(id, PrepareRequest{election_.epoch(), reply.pre_vote});
    count_prepare_replies();
}

void Replica::on_prepare_refused(const PrepareReply& reply) {
    const Epoch promised = reply.witness_register.promised;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, promised);
    if (!reply.pre_vote && promised >= election_.epoch()) abandon_election(promised, "outbid");
}

void Replica::count_prepare_replies() {
    if (role_ == Role::preparing) return plan_record();
    if (election_.has_prepare_quorum(register_)) start_preparing();
}

// ---- The record of the new epoch -------------------------------------------------------------------------

// Members that could become witnesses.
std::vector<MemberId> Replica::standbys() const {
    std::vector<MemberId> out;
    for (const auto& [id, peer] : peers_)
        if (is_steady(id) && !contains(register_.decided.witnesses, id)) out.push_back(id);
    return out;
}

// Shuts down, or was silent or unable to vote for long.
bool Replica::is_replaceable(const MemberId& witness) const {
    if (witness == options_.self) return false;
    const Time timeout = options_.timing.witness_timeout;
    const Peer* peer = peers_.find(witness);
    if (peer == nullptr) return now_ - started_at_ >= timeout;
    if (peer->shutting_down) return true;
    if (now_ - std::max(peer->heard_at.value_or(started_at_), started_at_) >= timeout) return true;
    const bool hears_votes =
        role_ == Role::primary || election_.is_membership_change(); // the primary alone does
    return hears_votes &&
           now_ - std::max(peer->voting_at.value_or(primary_since_), primary_since_) >= timeout;
}

// `present`: who could be a witness from now on.
std::vector<MemberId> Replica::plan_witnesses(const std::set<MemberId>& present) const {
    const std::vector<MemberId>& current = election_.highest_accepted(register_).witnesses;
    std::vector<MemberId> candidates;
    if (!contains(current, options_.self)) candidates.push_back(options_.self);
    for (const MemberId& id : standbys())
        if (present.contains(id) && !contains(current, id)) candidates.push_back(id);
    const auto may_replace = [&](const MemberId& id) {
        const Peer* peer = peers_.find(id);
        const bool shuts_down = peer != nullptr && peer->shutting_down;
        return is_replaceable(id) && (shuts_down || !present.contains(id));
    };
    return next_witnesses(current, std::move(candidates), may_replace, full_witness_count());
}

void Replica::plan_record() {
    if (!election_.has_prepare_quorum(register_)) return;
    const EpochRecord accepted = election_.highest_accepted(register_);
    const EpochRecord decided = election_.highest_decided(register_);
    const auto source = election_.newest_state_among(accepted.in_sync);
    if (!source) return;

    const std::set<MemberId> present = election_.granted_by();
    const std::vector<MemberId> witnesses = plan_witnesses(present);
    const EpochRecord plan{election_.epoch(), options_.self,
                           next_in_sync(options_.self, witnesses, election_.replies(), min_in_sync()),
                           witnesses};
    if (plan.in_sync.size() < min_in_sync() || waits_for_more_replies()) return;
    for (auto& [id, peer] : peers_) // who is too slow to reply is not asked for again at once
        if (!present.contains(id)) peer.steady_since = now_;

    election_.plan(plan, {decided.witnesses, accepted.witnesses, plan.witnesses});
    const bool holds_newest = source->position == state_.position && register_.complete;
    if (holds_newest || source->member == options_.self) return install();
    election_.fetch_from(source->member);
    change_role(Role::fetching, "another-holds-newer-state");
    send(source->member, FetchRequest{election_.epoch()});
}

// Standbys are waited for too: a change for their sake must not be planned before they could reply.
bool Replica::waits_for_more_replies() {
    const std::vector<MemberId> asked = prepare_recipients();
    const bool all = std::ranges::all_of(
        asked, [this](const MemberId& id) { return election_.replies().contains(id) || !is_alive(id); });
    if (!prepare_quorum_since_) prepare_quorum_since_ = now_;
    const Timing& timing = options_.timing;
    const Time wait = election_.is_membership_change() ? timing.prepare_wait_planned : timing.prepare_wait;
    return !all && now_ - *prepare_quorum_since_ < wait;
}

// ---- Fetch and install -----------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const FetchReply& reply) {
    if (role_ != Role::fetching || reply.epoch != election_.epoch() || from != election_.fetches_from())
        return;
    if (reply.state.position != state_.position) save(reply.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(StartInstall{election_.epoch()});
}

void Replica::carry_out(const StartInstall& due) {
    if (role_ == Role::fetching && due.epoch == election_.epoch()) install();
}

void Replica::install() {
    change_role(Role::installing, "state-known");
    election_.begin_install();
    election_.add_installed(options_.self);
    for (const MemberId& id : election_.planned().in_sync) {
        if (id == options_.self) continue;
        const auto reply = election_.replies().find(id);
        const bool holds_state = reply != election_.replies().end() &&
                                 reply->second.position == state_.position &&
                                 reply->second.witness_register.complete;
        if (holds_state)
            election_.add_installed(id);
        else
            send(id, InstallRequest{election_.epoch(), state_});
    }
    start_accept_if_installed();
}

void Replica::on_message(const MemberId& from, const InstallReply& reply) {
    if (role_ != Role::installing || reply.epoch != election_.epoch()) return;
    if (!reply.stored) return abandon_election(reply.promised, "install-refused");
    election_.add_installed(from);
    start_accept_if_installed();
}

// ---- Accept ----------------------------------------------------------------------------------------------

void Replica::start_accept_if_installed() {
    if (role_ != Role::installing || !election_.is_installed()) return;
    change_role(Role::accepting, "state-installed");
    WitnessRegister next = register_;
    next.accepted = election_.planned();
    save(next);
    when_durable(SendAcceptRequests{election_.epoch()});
}

void Replica::carry_out(const SendAcceptRequests& due) {
    if (role_ != Role::accepting || due.epoch != election_.epoch()) return;
    election_.begin_accept(now_);
    election_.add_accepted(options_.self);
    for (const MemberId& id : election_.accept_recipients())
        send(id, AcceptRequest{election_.planned()});
    become_primary_if_accepted();
}

void Replica::on_message(const MemberId& from, const AcceptReply& reply) {
    if (role_ != Role::accepting || reply.epoch != election_.epoch()) return;
    if (!reply.stored) {
        if (reply.promised > election_.epoch()) abandon_election(reply.promised, "outbid");
        return;
    }
    election_.add_accepted(from);
    become_primary_if_accepted();
}

void Replica::become_primary_if_accepted() {
    if (election_.is_accepted()) become_primary();
}

} // namespace willowrill::replication
