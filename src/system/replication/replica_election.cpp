// Elections: how a member becomes the primary of a new epoch. The same procedure implements failover and
// changes of the in-sync set and the witnesses, for which the current primary is the candidate of the next
// epoch.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// ---- Start and failure -----------------------------------------------------------------------------------

// True once the primary has been silent for the election delay and a quorum of witnesses has been connected
// for long enough. Both delays grow with the succession rank.
bool Replica::may_start_election() const {
    if (!can_vote() || shutting_down_ || !backoff_.has_elapsed(now_) || !quorum_connected_since_)
        return false;
    const Time delay = election_delay();
    const bool primary_silent = !primary_heard_at_ || now_ - *primary_heard_at_ > delay;
    const auto rank = static_cast<int>(succession_rank(options_.self, register_));
    return primary_silent && now_ - *quorum_connected_since_ >= options_.timing.election_step * rank;
}

Time Replica::election_delay() const {
    const Timing& timing = options_.timing;
    const Time base = primary_heard_at_ ? timing.election_timeout : Time{0};
    return base + timing.election_step * static_cast<int>(succession_rank(options_.self, register_));
}

void Replica::begin_candidacy() {
    // Simultaneous candidates use different epochs, higher for lower succession ranks, so that one of them
    // wins.
    const std::size_t members = register_.decided.in_sync.size() + 2;
    const Epoch rank_bonus = members - std::min(members, succession_rank(options_.self, register_));
    const Epoch highest = std::max({highest_epoch_seen_, register_.promised, register_.accepted.epoch});
    election_.begin(highest + 1 + rank_bonus, role_ == Role::primary ? Election::Purpose::membership_change
                                                                     : Election::Purpose::failover);
}

// Returns to the backup role. A random delay lets a candidate that is ahead finish, and keeps two candidates
// from colliding repeatedly.
void Replica::abandon_election(Epoch seen_epoch, const char* reason) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, seen_epoch);
    abort_client_requests();
    change_role(Role::backup, reason);
    const auto max_jitter_ms = static_cast<std::uint64_t>(options_.timing.election_phase.count());
    backoff_.postpone_until(now_ + Time{static_cast<std::int64_t>(random_() % max_jitter_ms)});
}

void Replica::check_election_phase() {
    if (now_ - role_since_ > options_.timing.election_phase) {
        if (!durability_.idle()) backoff_.back_off(now_); // this member's disk is too slow to serve
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

// Prepare requests are sent only after this member's own promise is durable, so that a candidate with a
// stalled disk does not fence the primary.
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

void Replica::execute(const SendPrepareRequests& ready_action) {
    if (role_ != Role::preparing || ready_action.epoch != election_.epoch()) return;
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

// All members whose reply may be needed: standbys, and the witnesses of every record that is or may be in
// force.
std::vector<MemberId> Replica::prepare_recipients() const {
    std::set<MemberId> recipients(register_.decided.witnesses.begin(), register_.decided.witnesses.end());
    recipients.insert(register_.accepted.witnesses.begin(), register_.accepted.witnesses.end());
    for (const auto& [id, reply] : election_.replies()) {
        const EpochRecord& record = reply.witness_register.accepted;
        recipients.insert(record.witnesses.begin(), record.witnesses.end());
    }
    for (const MemberId& id : standbys())
        recipients.insert(id);
    return {recipients.begin(), recipients.end()};
}

void Replica::send_prepare_requests(bool pre_vote) {
    for (const MemberId& id : prepare_recipients())
        send(id, PrepareRequest{election_.epoch(), pre_vote});
}

void Replica::on_message(const MemberId& from, const PrepareReply& reply) {
    const Role phase = reply.pre_vote ? Role::pre_voting : Role::preparing;
    if (reply.epoch != election_.epoch() || role_ != phase) return;
    if (!reply.granted) return on_prepare_refused(reply);
    const std::vector<MemberId> previous_recipients = prepare_recipients();
    election_.add_reply(from, reply);
    for (const MemberId& id : prepare_recipients()) // witnesses of a record that was unknown so far
        if (!std::ranges::binary_search(previous_recipients, id))
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

// Steady members that are not witnesses and could become witnesses.
std::vector<MemberId> Replica::standbys() const {
    std::vector<MemberId> candidates;
    for (const auto& [id, peer] : peers_)
        if (is_steady(id) && !contains(register_.decided.witnesses, id)) candidates.push_back(id);
    return candidates;
}

// Whether the witness is shutting down, or has been silent or unable to vote for the witness timeout.
bool Replica::is_replaceable(const MemberId& witness) const {
    if (witness == options_.self) return false;
    const Time timeout = options_.timing.witness_timeout;
    const Peer* peer = peers_.find(witness);
    if (peer == nullptr) return now_ - started_at_ >= timeout;
    if (peer->shutting_down) return true;
    if (now_ - std::max(peer->heard_at.value_or(started_at_), started_at_) >= timeout) return true;
    const bool receives_heartbeat_replies =
        role_ == Role::primary || election_.is_membership_change(); // only the primary receives them
    return receives_heartbeat_replies &&
           now_ - std::max(peer->voting_at.value_or(primary_since_), primary_since_) >= timeout;
}

// Returns the witnesses of the next epoch. `present`: the members that can be witnesses.
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
    for (auto& [id, peer] : peers_) // restarts the steady period of members that were too slow to reply
        if (!present.contains(id)) peer.steady_since = now_;

    election_.plan(plan, {decided.witnesses, accepted.witnesses, plan.witnesses});
    const bool holds_newest = source->position == state_.position && register_.complete;
    if (holds_newest || source->member == options_.self) return install();
    election_.set_fetch_source(source->member);
    change_role(Role::fetching, "another-holds-newer-state");
    send(source->member, FetchRequest{election_.epoch()});
}

// Whether to wait for further replies, including those of standbys: a membership change on their behalf must
// not be planned before they had time to reply.
bool Replica::waits_for_more_replies() {
    const std::vector<MemberId> recipients = prepare_recipients();
    const bool all_replied = std::ranges::all_of(
        recipients, [this](const MemberId& id) { return election_.replies().contains(id) || !is_alive(id); });
    if (!prepare_quorum_since_) prepare_quorum_since_ = now_;
    const Timing& timing = options_.timing;
    const Time max_wait =
        election_.is_membership_change() ? timing.prepare_wait_planned : timing.prepare_wait;
    return !all_replied && now_ - *prepare_quorum_since_ < max_wait;
}

// ---- Fetch and install -----------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const FetchReply& reply) {
    if (role_ != Role::fetching || reply.epoch != election_.epoch() || from != election_.fetch_source())
        return;
    if (reply.state.position != state_.position) save(reply.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(StartInstall{election_.epoch()});
}

void Replica::execute(const StartInstall& ready_action) {
    if (role_ == Role::fetching && ready_action.epoch == election_.epoch()) install();
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
    if (role_ != Role::installing || !election_.is_installed_everywhere()) return;
    change_role(Role::accepting, "state-installed");
    WitnessRegister next = register_;
    next.accepted = election_.planned();
    save(next);
    when_durable(SendAcceptRequests{election_.epoch()});
}

void Replica::execute(const SendAcceptRequests& ready_action) {
    if (role_ != Role::accepting || ready_action.epoch != election_.epoch()) return;
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
