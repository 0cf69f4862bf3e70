// What a member does as a witness and as a backup; the election is in election.cpp, the primary in
// primary.cpp.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

const char* name_of(Role role) {
    switch (role) {
    case Role::loading:
        return "loading";
    case Role::recovering:
        return "recovering";
    case Role::storage_failed:
        return "storage-failed";
    case Role::backup:
        return "backup";
    case Role::pre_voting:
        return "canvassing";
    case Role::preparing:
        return "collecting";
    case Role::fetching:
        return "fetching";
    case Role::installing:
        return "installing";
    case Role::accepting:
        return "accepting";
    case Role::primary:
        return "primary";
    }
    return "unknown";
}

Replica::Replica(Options options) : options_(std::move(options)), random_(options_.random_seed) {
    std::ranges::sort(options_.seeds);
}

void Replica::step(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([&](const auto& e) { on(e); }, event);
    actions_ = nullptr;
}

std::optional<MemberId> Replica::primary() const {
    if (role_ == Role::primary) return options_.self;
    if (!heard_primary_since_start_ || now_ - primary_heard_at_ > options_.timing.election)
        return std::nullopt;
    return register_.decided.primary;
}

bool Replica::current(Time now) const {
    if (role_ != Role::primary) return now - contact_at_ <= options_.timing.current;
    return quorum_answered(now, options_.timing.current);
}

// Whether more than half of the witnesses have answered a heartbeat that was sent within this time.
bool Replica::quorum_answered(Time now, Time within) const {
    std::set<MemberId> answered{options_.self};
    for (const auto& [id, peer] : peers_)
        if (now - peer.heartbeat_at <= within) answered.insert(id);
    return has_quorum(register_.decided.witnesses, answered);
}

// A spare member that could take this one's place is one that is connected and no witness.
bool Replica::may_end(Time now) const {
    if (role_ == Role::primary) return false;
    if (!has_register_) return true;
    if (!heard_primary_since_start_ || now - primary_heard_at_ > options_.timing.current) return false;
    const EpochRecord& record = register_.decided;
    if (std::ranges::count(record.in_sync, options_.self) > 0) return false;
    if (std::ranges::count(record.witnesses, options_.self) == 0) return true;
    return std::ranges::none_of(peers_, [&](const auto& peer) {
        return peer.second.connected && std::ranges::count(record.witnesses, peer.first) == 0;
    });
}

void Replica::change_role(Role next, const char* reason) {
    role_ = next;
    role_reason_ = reason;
    role_since_ = now_;
    quorum_since_ = Time{-1};
}

// ---- Events ----------------------------------------------------------------------------------------------

void Replica::on(const Tick&) {
    if (no_election_before_ == Time{0}) no_election_before_ = now_ + options_.timing.first_election;
    if (!reaches_quorum())
        quorum_reached_ = Time{-1};
    else if (quorum_reached_ < Time{0})
        quorum_reached_ = now_;
    switch (role_) {
    case Role::loading:
        return;
    case Role::recovering:
        return try_recovery();
    case Role::storage_failed:
        return restore();
    case Role::backup:
        if (may_start_election()) start_pre_vote();
        return;
    case Role::pre_voting:
    case Role::preparing:
    case Role::fetching:
    case Role::installing:
    case Role::accepting:
        if (now_ - role_since_ > options_.timing.phase) {
            if (!in_flight_saves_.empty()) back_off_election(); // its own disk is too slow to serve
            return abandon_election(0, "election-phase-too-long");
        }
        if (role_ == Role::preparing) plan_record();
        return;
    case Role::primary:
        return supervise_members();
    }
}

// The primary has been silent for long, and enough witnesses could answer: in the order of succession.
bool Replica::may_start_election() const {
    if (!can_vote() || shutting_down_ || now_ < no_election_before_ || quorum_reached_ < Time{0})
        return false;
    const Time turn = options_.timing.election_step * static_cast<int>(succession_rank());
    return now_ - primary_heard_at_ > election_delay() && now_ - quorum_reached_ >= turn;
}

void Replica::on(const Received& received) {
    Peer& peer = peers_[received.from];
    if (peer.steady_since < Time{0} || now_ - peer.heard > options_.timing.member_timeout)
        peer.steady_since = now_;
    peer.heard = now_;
    if (role_ == Role::loading) return;
    std::visit([&](const auto& message) { on_message(received.from, message); }, received.message);
}

void Replica::on(const PeerConnected& event) {
    Peer& peer = peers_[event.peer];
    peer.connected = true;
    peer.shutting_down = false;
    peer.reply_sent_at = 0;
    if (role_ == Role::recovering) recovery_requested_at_ = Time{-1'000'000};
    if (role_ == Role::primary) send_heartbeat(event.peer); // one that comes back is taken in the sooner
}

// A connection that ends says the process is gone: a dead primary's successor need not wait for the timeout.
void Replica::on(const PeerDisconnected& event) {
    Peer& peer = peers_[event.peer];
    peer.connected = false;
    peer.steady_since = Time{-1};
    if (role_ == Role::backup && event.peer == register_.decided.primary)
        primary_heard_at_ =
            std::min(primary_heard_at_, now_ - options_.timing.election + options_.timing.election_step);
}

void Replica::on(const BeginShutdown&) {
    shutting_down_ = true;
    if (role_ == Role::primary) transfer_leadership();
}

// ---- Witness ---------------------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const PrepareRequest& request) {
    highest_epoch_seen_ = std::max(highest_epoch_seen_, request.epoch);
    const bool possible = can_vote() && request.epoch > register_.promised;
    PrepareReply reply{request.epoch, request.pre_vote, false, shutting_down_, register_, state_.position};
    if (request.pre_vote)
        reply.granted = possible && (!heard_primary_recently() || from == register_.decided.primary);
    if (request.pre_vote || !possible) return send(from, reply);
    WitnessRegister next = register_;
    next.promised = request.epoch;
    save(next);
    reply.granted = true;
    reply.witness_register = register_;
    if (role_ != Role::backup) step_down(request.epoch, "promised-another");
    // The candidate has its chance before this one stands itself.
    no_election_before_ = std::max(no_election_before_, now_ + options_.timing.phase);
    when_durable(Send{from, reply});
}

void Replica::on_message(const MemberId& from, const AcceptRequest& request) {
    const Epoch epoch = request.record.epoch;
    if (!can_vote() || epoch < register_.promised || epoch < register_.accepted.epoch)
        return send(from, AcceptReply{epoch, false, register_.promised});
    WitnessRegister next = register_;
    next.promised = epoch;
    next.accepted = request.record;
    save(next);
    if (role_ != Role::backup && epoch > candidate_epoch_) step_down(epoch, "accepted-another");
    when_durable(Send{from, AcceptReply{epoch, true, register_.promised}});
}

// Whether the primary, here or elsewhere, was heard a moment ago: no reason for an election.
bool Replica::heard_primary_recently() const {
    if (role_ == Role::primary) return current(now_);
    return heard_primary_since_start_ && now_ - primary_heard_at_ < options_.timing.current;
}

// ---- Replica ---------------------------------------------------------------------------------------------

void Replica::on_message(const MemberId& from, const FetchRequest& request) {
    if (register_.promised != request.epoch || !register_.complete) return;
    send(from, FetchReply{request.epoch, state_});
}

void Replica::on_message(const MemberId& from, const InstallRequest& request) {
    // Once states of this very epoch have come, its install is over: this one is a late copy.
    const bool late = state_.position.epoch >= request.epoch;
    if (!can_vote() || late || request.epoch != register_.promised)
        return send(from, InstallReply{request.epoch, false, register_.promised});
    if (state_.position != request.state.position) save(request.state);
    WitnessRegister next = register_;
    next.complete = true;
    save(next);
    when_durable(Send{from, InstallReply{request.epoch, true, register_.promised}});
}

// An older state than the one held may come late, on a connection that was replaced meanwhile.
void Replica::on_message(const MemberId& from, const ReplicateRequest& request) {
    const Position& position = request.state.position;
    const bool possible = can_vote() && register_.complete && request.epoch >= register_.promised;
    if (!possible || position < state_.position)
        return send(from, ReplicateReply{request.epoch, position, false, register_.promised});
    if (state_.position != position) save(request.state);
    when_durable(Send{from, ReplicateReply{request.epoch, position, true, register_.promised}});
}

void Replica::on_message(const MemberId& from, const Heartbeat& beat) {
    const Epoch epoch = beat.record.epoch;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, epoch);
    const bool follows = has_register_ && epoch >= register_.promised && from == beat.record.primary;
    if (follows) {
        const bool candidate = role_ != Role::backup && role_ != Role::storage_failed;
        if (candidate && epoch >= candidate_epoch_) step_down(epoch, "another-is-primary");
        adopt_decided(beat.record);
        if (role_ == Role::backup || role_ == Role::storage_failed) {
            primary_heard_at_ = now_;
            heard_primary_since_start_ = true;
        }
        if (beat.committed == state_.position) commit(state_);
        note_contact(beat);
    }
    send(from, heartbeat_reply(beat.number, epoch));
}

HeartbeatReply Replica::heartbeat_reply(std::uint64_t number, Epoch epoch) const {
    return {
        number,         epoch,       register_.promised, committed_.position, can_vote(), register_.complete,
        shutting_down_, now_.count()};
}

// A message may have lain in a buffer while this process or the sender stood still. Only the echo of a reply
// of our own says how old it can be, by our own clock.
void Replica::note_contact(const Heartbeat& beat) {
    const Time at{beat.echo};
    if (!beat.in_contact || beat.echo <= 0 || at > now_ || committed_.position < beat.committed) return;
    contact_at_ = std::max(contact_at_, at);
}

void Replica::on_message(const MemberId& from, const CommitNotification& notification) {
    if (notification.epoch < register_.promised || from != register_.decided.primary) return;
    commit(notification.state);
}

void Replica::commit(const ReplicatedState& state) {
    if (state.position <= committed_.position) return;
    committed_ = state;
    actions_->emplace_back(StateChanged{});
}

// A record that enough witnesses have stored may be stored anywhere, whatever was promised. Nothing rests on
// its being durable here, so a disk that fails or stalls is not asked.
void Replica::adopt_decided(const EpochRecord& record) {
    if (record.epoch <= register_.decided.epoch) return;
    WitnessRegister next = register_;
    next.decided = record;
    if (record.epoch > next.accepted.epoch) next.accepted = record;
    next.promised = std::max(next.promised, record.epoch);
    if (can_vote()) return save(next);
    register_ = next;
    register_unsaved_ = true;
}

// ---- Recovery of a member whose disk was lost ------------------------------------------------------------

void Replica::on_message(const MemberId& from, const RecoveryRequest& request) {
    send(from, RecoveryReply{request.nonce, has_register_, register_});
}

void Replica::on_message(const MemberId& from, const RecoveryReply& reply) {
    if (role_ != Role::recovering || reply.nonce != recovery_nonce_) return;
    if (reply.voting)
        recovery_replies_[from] = reply;
    else
        recovery_replies_.erase(from);
    WitnessRegister found;
    for (const auto& [id, known] : recovery_replies_) {
        found.promised = std::max(found.promised, known.witness_register.promised);
        if (known.witness_register.accepted.epoch > found.accepted.epoch)
            found.accepted = known.witness_register.accepted;
        if (known.witness_register.decided.epoch > found.decided.epoch)
            found.decided = known.witness_register.decided;
    }
    // So many that one of them stood in every majority that this member may have been counted in.
    const std::vector<MemberId>& group = found.accepted.witnesses;
    const std::size_t majority = group.size() / 2 + 1;
    const auto answered = static_cast<std::size_t>(std::ranges::count_if(
        group, [&](const MemberId& id) { return id != options_.self && recovery_replies_.contains(id); }));
    if (group.empty() || answered < group.size() - majority + 1) return;
    found.complete = false;
    save(found);
    has_register_ = true;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, found.promised);
    recovery_replies_.clear();
    change_role(Role::backup, "recovered");
    send(found.decided.primary, heartbeat_reply(0, found.decided.epoch)); // it can be taken in now
}

void Replica::try_recovery() {
    constexpr Time again{200};
    if (now_ - recovery_requested_at_ < again) return;
    recovery_requested_at_ = now_;
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send(id, RecoveryRequest{recovery_nonce_});
}

// ---- Helpers ---------------------------------------------------------------------------------------------

void Replica::send(const MemberId& to, Message message) {
    if (to != options_.self) actions_->emplace_back(Send{to, std::move(message)});
}

bool Replica::is_alive(const MemberId& member) const {
    if (member == options_.self) return true;
    const auto peer = peers_.find(member);
    return peer != peers_.end() && now_ - peer->second.heard <= options_.timing.member_timeout;
}

// Fewer copies than witnesses, or a witness that is not heard: the next loss could be one too many.
bool Replica::lacks_redundancy() const {
    const EpochRecord& record = register_.decided;
    if (record.in_sync.size() < record.witnesses.size()) return true;
    return !std::ranges::all_of(record.witnesses, [this](const MemberId& id) { return is_alive(id); });
}

// Answers without a gap for some time, and can vote.
bool Replica::is_steady(const MemberId& member) const {
    const auto found = peers_.find(member);
    if (found == peers_.end() || !is_alive(member)) return false;
    const Peer& peer = found->second;
    const Time needed =
        lacks_redundancy() ? options_.timing.steady_after_urgent : options_.timing.steady_after;
    return peer.connected && peer.voting && !peer.shutting_down && peer.steady_since >= Time{0} &&
           now_ - peer.steady_since >= needed;
}

bool Replica::reaches_quorum() const {
    std::set<MemberId> reached{options_.self};
    for (const auto& [id, peer] : peers_)
        if (peer.connected) reached.insert(id);
    return has_quorum(register_.decided.witnesses, reached);
}

bool Replica::has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& of) const {
    const auto present = static_cast<std::size_t>(
        std::ranges::count_if(group, [&](const MemberId& id) { return of.contains(id); }));
    return present > group.size() / 2;
}

} // namespace willowrill::replication
