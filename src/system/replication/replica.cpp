// Event handling of `Replica` and queries about the members. The other replica_*.cpp files implement the
// backup, the candidate, the primary and the durability of records.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

Replica::Replica(Options options)
    : options_(std::move(options)), random_(options_.random_seed), durability_(options_.timing),
      peers_(options_.self, options_.timing.member_timeout), backoff_(options_.timing) {
    std::ranges::sort(options_.seeds);
}

void Replica::step(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([&](const auto& e) { on(e); }, event);
    actions_ = nullptr;
}

// ---- Queries ----------------------------------------------------------------------------------------------

std::optional<MemberId> Replica::primary() const {
    if (role_ == Role::primary) return options_.self;
    if (!primary_heard_at_ || now_ - *primary_heard_at_ > options_.timing.election_timeout)
        return std::nullopt;
    return register_.decided.primary;
}

bool Replica::is_current(Time now) const {
    const Time validity = options_.timing.contact_validity;
    if (role_ != Role::primary) return contact_at_ && now - *contact_at_ <= validity;
    return has_recent_quorum(now, validity);
}

// A connected member that is not a witness is a standby that could take this member's place.
bool Replica::is_safe_to_shut_down(Time now) const {
    if (role_ == Role::primary) return false;
    if (!has_register_) return true;
    if (!primary_heard_at_ || now - *primary_heard_at_ > options_.timing.contact_validity) return false;
    const EpochRecord& record = register_.decided;
    if (contains(record.in_sync, options_.self)) return false;
    if (!contains(record.witnesses, options_.self)) return true;
    return std::ranges::none_of(peers_, [&](const auto& peer) {
        return peer.second.connected && !contains(record.witnesses, peer.first);
    });
}

// ---- Events ----------------------------------------------------------------------------------------------

void Replica::on(const Tick&) {
    backoff_.start(now_);
    if (!is_connected_to_quorum())
        quorum_connected_since_.reset();
    else if (!quorum_connected_since_)
        quorum_connected_since_ = now_;
    switch (role_) {
    case Role::loading:
        return;
    case Role::recovering:
        return request_recovery();
    case Role::storage_failed:
        return start_restoration();
    case Role::backup:
        if (may_start_election()) start_pre_vote();
        return;
    case Role::pre_voting:
    case Role::preparing:
    case Role::fetching:
    case Role::installing:
    case Role::accepting:
        return check_election_phase();
    case Role::primary:
        return run_primary_tasks();
    }
}

void Replica::on(const Received& received) {
    peers_.on_message(received.from, now_);
    if (role_ == Role::loading) return;
    std::visit([&](const auto& message) { on_message(received.from, message); }, received.message);
}

void Replica::on(const PeerConnected& event) {
    peers_.on_connected(event.peer);
    if (role_ == Role::recovering) recovery_.request_soon();
    if (role_ == Role::primary) send_heartbeat(event.peer); // lets a returning member rejoin sooner
}

// A closed connection indicates that the primary's process has ended: the backup waits only one election step
// instead of the rest of the election timeout.
void Replica::on(const PeerDisconnected& event) {
    peers_.on_disconnected(event.peer);
    if (role_ != Role::backup || event.peer != register_.decided.primary || !primary_heard_at_) return;
    const Time shortened_wait_start = now_ - options_.timing.election_timeout + options_.timing.election_step;
    primary_heard_at_ = std::min(*primary_heard_at_, shortened_wait_start);
}

void Replica::on(const BeginShutdown&) {
    shutting_down_ = true;
    if (role_ == Role::primary) transfer_leadership();
}

void Replica::change_role(Role next, const char* reason) {
    role_ = next;
    role_reason_ = reason;
    role_since_ = now_;
    prepare_quorum_since_.reset();
}

void Replica::send(const MemberId& to, Message message) {
    if (to != options_.self) actions_->emplace_back(Send{to, std::move(message)});
}

void Replica::commit(const ReplicatedState& state) {
    if (state.position <= committed_.position) return;
    committed_ = state;
    actions_->emplace_back(StateChanged{});
}

// ---- Condition of the members ----------------------------------------------------------------------------

bool Replica::is_steady(const MemberId& member) const {
    const Timing& timing = options_.timing;
    return peers_.is_steady(member, now_,
                            lacks_redundancy() ? timing.steady_after_urgent : timing.steady_after);
}

// True if there are fewer in-sync members than witnesses or a witness is not alive: the next loss might not
// be tolerated.
bool Replica::lacks_redundancy() const {
    const EpochRecord& record = register_.decided;
    if (record.in_sync.size() < record.witnesses.size()) return true;
    return !std::ranges::all_of(record.witnesses, [this](const MemberId& id) { return is_alive(id); });
}

bool Replica::is_connected_to_quorum() const {
    return has_quorum(register_.decided.witnesses,
                      peers_.self_and_peers_where([](const Peer& peer) { return peer.connected; }));
}

// Whether a majority of the witnesses has answered a heartbeat that is at most `max_age` old.
bool Replica::has_recent_quorum(Time now, Time max_age) const {
    const auto answered = [&](const Peer& peer) {
        return peer.heartbeat_sent_at && now - *peer.heartbeat_sent_at <= max_age;
    };
    return has_quorum(register_.decided.witnesses, peers_.self_and_peers_where(answered));
}

// Whether the primary, this member or another one, is known to be active: there is no reason for an election.
bool Replica::heard_primary_recently() const {
    if (role_ == Role::primary) return is_current(now_);
    return primary_heard_at_ && now_ - *primary_heard_at_ < options_.timing.contact_validity;
}

} // namespace willowrill::replication
