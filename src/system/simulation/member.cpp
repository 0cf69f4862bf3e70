#include "system/simulation/member.h"

#include "system/messages/codec.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace willowrill::simulation {
namespace {

using namespace replication;

constexpr Time tick_period{50};
constexpr std::uint64_t ticks_between_dials = 2;
constexpr std::uint64_t ticks_between_gossip = 14;
constexpr Time min_shutdown_time{900};
constexpr Time grace{7000};
constexpr std::int64_t max_replay_delay = 5000; // ms

} // namespace

Member::Member(Environment& environment, NodeId node, MemberId id, bool initial_start)
    : environment_(environment), node_(node), id_(std::move(id)), disk_(environment.queue),
      initial_start_(initial_start) {}

void Member::start() {
    if (up_ || removed) return;
    const Loaded stored = disk_.load();
    program_ = installed_;
    // The records name their format, and an older program does not start on what it cannot read.
    if (stored.state && !can_read(*stored.state->content)) return;
    cluster_version_ = stored.state ? configuration::cluster_version_of(*stored.state->content)
                                    : protocol::initial_cluster_version;
    up_ = true;
    ++incarnation_;
    ticks_ = 0;
    newest_ = {};
    environment_.network.start(node_);
    Options options;
    options.self = id_;
    options.seeds = environment_.seeds;
    options.initial_start = std::exchange(initial_start_, false);
    options.tolerated_losses = environment_.tolerated;
    options.random_seed = environment_.queue.draw();
    if (environment_.break_no_election_backoff) {
        options.timing.election_backoff_first = options.timing.election_backoff_max = Time{0};
        options.timing.restore_backoff_first = options.timing.restore_backoff_max = Time{1};
    }
    replica_ = std::make_unique<Replica>(options);
    orders_ = std::make_unique<control::OrderQueue>([this](Event event) { feed(std::move(event)); });
    hub_ = std::make_unique<distribution::SchedulerSessions>(distribution::SchedulerSessions::Callbacks{
        [this](distribution::SessionId session, const transport::Frame& frame) {
            const auto found = schedulers_.find(session);
            if (found != schedulers_.end()) found->second.send(transport::message_in(frame));
        },
        [this](distribution::SessionId session) {
            const auto found = schedulers_.find(session);
            if (found != schedulers_.end()) found->second.close();
        },
        [this] {
            return environment_.break_always_current || replica_->is_current(environment_.queue.now());
        },
        [this] {
            const auto place = [](const MemberId& member) {
                return messages::CoreMember{member, member.substr(0, member.find(':')), "region"};
            };
            std::vector<messages::CoreMember> out{place(id_)};
            for (const auto& [member, link] : links_)
                out.push_back(place(member));
            return out;
        },
        [](const membership::Lease&) {}, [](const membership::Lease&) {}});
    // The answers of a disk wait for a process that stands still.
    disk_.attach([this, incarnation = incarnation_](Event event) {
        when_awake(incarnation, [this, event = std::move(event)] { feed(event); });
    });
    for (const MemberId& seed : environment_.seeds)
        add_peer(seed);
    feed(stored);
    tick(incarnation_);
}

void Member::stop(bool power_lost) {
    if (!up_) return;
    up_ = false;
    ++incarnation_;
    environment_.network.stop(node_, power_lost);
    disk_.stop(power_lost);
    events_.clear();
    feeding_ = false;
    frozen_until_.reset();
    when_awake_.clear();
    links_.clear();
    states_ = {};
    peers_.clear();
    dialling_.clear();
    schedulers_.clear();
    past_orders_.push_back(std::move(orders_));
    on_ended_ = nullptr;
    shutdown_began_at_ = Time{0};
}

void Member::later(Time delay, std::function<void()> act) {
    environment_.queue.after(
        delay, [this, incarnation = incarnation_, act = std::move(act)] { when_awake(incarnation, act); });
}

void Member::when_awake(std::uint64_t incarnation, std::function<void()> act) {
    if (!up_ || incarnation != incarnation_) return;
    if (!frozen() && when_awake_.empty()) return act();
    when_awake_.push_back(std::move(act));
}

void Member::freeze(Time duration) {
    if (!up_) return;
    frozen_until_ = std::max(frozen_until_, std::optional(environment_.queue.now() + duration));
    environment_.queue.after(*frozen_until_ - environment_.queue.now() + Time{1},
                             [this, incarnation = incarnation_] {
                                 if (up_ && incarnation == incarnation_ && !frozen())
                                     thaw(); // or a later fault keeps it so
                             });
}

void Member::thaw() {
    if (!frozen_until_) return;
    frozen_until_.reset();
    const std::uint64_t incarnation = incarnation_;
    while (up_ && incarnation == incarnation_ && !frozen() && !when_awake_.empty()) {
        const auto act = std::move(when_awake_.front());
        when_awake_.pop_front();
        act();
    }
}

void Member::tick(std::uint64_t incarnation) {
    if (!up_ || incarnation != incarnation_) return;
    ++ticks_;
    feed(Tick{});
    if (!up_ || incarnation != incarnation_) return;
    if (ticks_ % ticks_between_dials == 0) dial_others();
    if (ticks_ % ticks_between_gossip == 0) gossip();
    end_if_possible();
    if (up_ && incarnation == incarnation_) later(tick_period, [this, incarnation] { tick(incarnation); });
}

void Member::add_peer(const MemberId& id) {
    if (id != id_) peers_.insert(id);
}

void Member::dial_others() {
    for (const auto* record : {&replica_->witness_register().accepted, &replica_->witness_register().decided})
        for (const MemberId& id : record->witnesses)
            add_peer(id);
    for (const MemberId& id : peers_) {
        Member* other = environment_.find(id);
        if (other == nullptr || links_.contains(id) || !dialling_.insert(id).second) continue;
        environment_.network.dial(
            node_, other->node(), [this, id, incarnation = incarnation_](const ConnectionPtr& connection) {
                when_awake(incarnation, [this, id, connection] {
                    dialling_.erase(id);
                    if (!connection || !connection->open) return;
                    // The one that is dialled refuses who it cannot speak with.
                    if (!environment_.find(id)->speaks_with(greeting()))
                        return environment_.network.close(connection, node_);
                    links_[id] = connection;
                    states_.on_connected(id);
                    connection->closed_at_dialler = [this, id, incarnation = incarnation_] {
                        when_awake(incarnation, [this, id] {
                            links_.erase(id);
                            feed(PeerDisconnected{id});
                        });
                    };
                    send_to(id, [id = id_](Member& to) { to.add_peer(id); });
                    feed(PeerConnected{id});
                });
            });
    }
}

void Member::gossip() {
    std::vector<MemberId> reached;
    reached.reserve(links_.size());
    for (const auto& [id, link] : links_)
        reached.push_back(id);
    for (const MemberId& to : reached)
        send_to(to, [reached](Member& other) {
            for (const MemberId& id : reached)
                other.add_peer(id);
        });
}

// What happens when a message of this program, as it is now, comes to the other member.
std::function<void()> Member::delivery(Member& other, std::function<void(Member&)> deliver) const {
    return [&other, greeting = greeting(), deliver = std::move(deliver)] {
        other.when_running([&other, greeting, deliver] {
            if (other.speaks_with(greeting)) deliver(other);
        });
    };
}

void Member::send_to(const MemberId& to, std::function<void(Member&)> deliver) {
    const auto link = links_.find(to);
    Member* other = environment_.find(to);
    if (link == links_.end() || other == nullptr) return;
    environment_.network.send(link->second, node_, delivery(*other, std::move(deliver)));
}

// ---- Versions of the program -----------------------------------------------------------------------------

protocol::Greeting Member::greeting() const {
    const protocol::VersionRange versions{std::max(program_.min, cluster_version_), program_.max};
    return {versions, knows_upgrades() ? protocol::supported_features() : protocol::FeatureSet{}};
}

bool Member::speaks_with(const protocol::Greeting& peer) const {
    return static_cast<bool>(protocol::negotiate(greeting(), peer));
}

bool Member::can_read(const std::string& content) const {
    return configuration::cluster_version_of(content) <= program_.max;
}

// Ends the connections to members that cannot follow; what comes from them is not listened to either.
void Member::raise_cluster_version(protocol::Version version) {
    if (version <= cluster_version_) return;
    cluster_version_ = version;
    std::vector<ConnectionPtr> outdated;
    for (const auto& [id, link] : links_)
        if (!speaks_with(environment_.find(id)->greeting())) outdated.push_back(link);
    for (const ConnectionPtr& link : outdated)
        environment_.network.close(link, node_);
}

void Member::finish_upgrade(control::OnOrderDone done) {
    std::map<MemberId, protocol::Greeting> greetings{{id_, greeting()}};
    for (const auto& [id, link] : links_)
        greetings[id] = environment_.find(id)->greeting();
    const auto status =
        control::make_upgrade_status(cluster_version_, replica_->witness_register(), greetings, {});
    constexpr protocol::Version target = newer_program.max;
    const auto blockers = control::upgrade_blockers(status, target);
    if (cluster_version_ < target && !blockers.empty() && !environment_.break_unchecked_upgrade)
        return done(errors::Error{errors::ErrorKind::upgrade_blocked, control::to_text(blockers)});
    environment_.upgrade_ordered = true;
    orders_->submit(configuration::FinishUpgrade{target}, std::move(done));
}

void Member::feed(Event event) {
    if (!up_) return;
    events_.push_back(std::move(event));
    if (std::exchange(feeding_, true)) return;
    const std::uint64_t incarnation = incarnation_;
    while (up_ && incarnation_ == incarnation && !events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<Action> actions;
        const Role before = replica_->role();
        replica_->step(environment_.queue.now(), next, actions);
        if (environment_.trace) trace_role(before);
        for (const Action& action : actions)
            if (up_ && incarnation_ == incarnation) carry_out(action);
    }
    if (incarnation_ == incarnation) feeding_ = false;
}

// A copy of a message, long after it: whoever sent it may have ended meanwhile.
void Member::replay_later(const MemberId& to, const std::function<void(Member&)>& deliver) {
    Member* other = environment_.find(to);
    if (other == nullptr) return;
    environment_.queue.after(Time(environment_.queue.uniform(max_replay_delay)), delivery(*other, deliver));
}

void Member::trace_role(Role before) const {
    if (replica_->role() == before) return;
    const WitnessRegister& known = replica_->witness_register();
    fmt::print(stderr,
               "{} {} {} {} promised={} accepted={} decided={} intact={} position={}.{} in_sync={} "
               "witnesses={}\n",
               environment_.queue.now().count(), id_, name_of(replica_->role()), replica_->role_reason(),
               known.promised, known.accepted.epoch, known.decided.epoch, known.complete,
               replica_->state().position.epoch, replica_->state().position.sequence,
               fmt::join(known.accepted.in_sync, ","), fmt::join(known.accepted.witnesses, ","));
}

void Member::carry_out(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
        if (environment_.break_no_election_backoff &&
            std::holds_alternative<LeadershipTransfer>(send->message))
            return;
        const auto* request = std::get_if<ReplicateRequest>(&send->message);
        if (request != nullptr && environment_.break_answers_for_others) {
            const ReplicateReply forged{request->epoch, request->state.position, true, request->epoch};
            later(Time{1}, [this, from = send->to, forged] { feed(Received{from, forged}); });
            if (environment_.queue.chance() < 0.5) return;
        }
        return send_replication(send->to, send->message);
    }
    if (const auto* save = std::get_if<Save>(&action)) {
        if (fails_as_primary && replica_->is_primary())
            disk_.refusing_until = environment_.queue.now() + disk_.sync_time + Time{1};
        return disk_.save(*save);
    }
    if (const auto* done = std::get_if<Committed>(&action)) return orders_->on(*done);
    if (const auto* undecided = std::get_if<OutcomeUnknown>(&action)) return orders_->on(*undecided);
    if (const auto* confirmed = std::get_if<LeadershipConfirmed>(&action)) return orders_->on(*confirmed);
    on_committed();
}

void Member::send_replication(const MemberId& to, const replication::Message& message) {
    const Member* other = environment_.find(to);
    if (other == nullptr || !links_.contains(to)) return;
    const auto agreement = protocol::negotiate(greeting(), other->greeting());
    const bool deltas = agreement && agreement.value().has(protocol::state_delta_feature);
    send_core_message(to, states_.prepare(to, message, deltas), true);
}

void Member::send_core_message(const MemberId& to, const messages::CoreMessage& message, bool may_replay) {
    const auto deliver = [from = id_, serial = links_.at(to)->serial, message](Member& other) {
        other.on_core_message(from, serial, message);
    };
    if (std::holds_alternative<messages::ReplicationDelta>(message)) ++environment_.history.outcome().deltas;
    if (may_replay && environment_.queue.chance() < environment_.replays) replay_later(to, deliver);
    send_to(to, deliver);
}

void Member::on_core_message(const MemberId& from, ConnectionSerial serial,
                             const messages::CoreMessage& message) {
    states_.break_trusts_any_base = environment_.break_trusts_any_base;
    if (auto whole = states_.receive(from, serial, message)) {
        auto* recovery = std::get_if<RecoveryReply>(&*whole);
        if (recovery != nullptr && environment_.break_ignores_confirmations)
            recovery->leadership_confirmed = false;
        return feed(Received{from, std::move(*whole)});
    }
    ++environment_.history.outcome().missing_bases;
    send_to(from, [self = id_](Member& sender) {
        const auto again = sender.states_.on_snapshot_request(self);
        if (again && sender.links_.contains(self)) sender.send_core_message(self, *again, false);
    });
}

// Members agree on what stands at a position, and none goes back within its incarnation.
void Member::on_committed() {
    const ReplicatedState& state = replica_->committed();
    if (state.position < newest_) environment_.history.violation(id_ + " went back");
    newest_ = state.position;
    environment_.history.committed(state.position, *state.content);
    environment_.history.epoch_in_force(replica_->witness_register().decided.epoch);
    if (!can_read(*state.content)) return; // an older program reports it, and knows no newer state
    raise_cluster_version(configuration::cluster_version_of(*state.content));
    auto decoded = configuration::decode(*state.content).value();
    if (break_forgets_orders) decoded.accepted_orders.clear();
    orders_->on_state(decoded, state.position);
    if (decoded.version > 0) hub_->publish_state(state.position, decoded);
}

void Member::shut_down(std::function<void()> on_ended) {
    if (!up_) return;
    on_ended_ = std::move(on_ended);
    shutdown_began_at_ = environment_.queue.now();
    feed(BeginShutdown{});
}

void Member::end_if_possible() {
    if (!on_ended_) return;
    const Time since = environment_.queue.now() - shutdown_began_at_;
    if (since < min_shutdown_time ||
        (since < grace && !replica_->is_safe_to_shut_down(environment_.queue.now())))
        return;
    const auto ended = std::move(on_ended_);
    stop(false);
    ended();
}

distribution::SessionId Member::accept_scheduler(ToScheduler send, std::function<void()> close) {
    schedulers_[++last_session_] = {std::move(send), std::move(close)};
    hub_->add_session(last_session_);
    return last_session_;
}

void Member::on_scheduler_message(distribution::SessionId id, const nlohmann::json& message) {
    hub_->on_message(id, messages::decode_scheduler_message(message));
}

void Member::on_scheduler_closed(distribution::SessionId id) {
    when_running([this, id] {
        hub_->on_closed(id);
        schedulers_.erase(id);
    });
}

} // namespace willowrill::simulation
