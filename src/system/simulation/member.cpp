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
constexpr Time shortest_leave{900};
constexpr Time grace{7000};
constexpr std::int64_t longest_replay = 5000; // ms

} // namespace

Member::Member(World& world, NodeId node, MemberId id, bool initial_start)
    : world_(world), node_(node), id_(std::move(id)), disk_(world.queue), initial_start_(initial_start) {}

void Member::start() {
    if (up_ || removed) return;
    up_ = true;
    ++life_;
    ticks_ = 0;
    newest_ = {};
    world_.network.start(node_);
    Options options;
    options.self = id_;
    options.seeds = world_.seeds;
    options.initial_start = std::exchange(initial_start_, false);
    options.tolerated = world_.tolerated;
    options.random_seed = world_.queue.draw();
    if (world_.break_no_turns) {
        options.timing.turn_first = options.timing.turn_longest = Time{0};
        options.timing.restore_first = options.timing.restore_longest = Time{1};
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
        [this] { return world_.break_always_current || replica_->current(world_.queue.now()); },
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
    disk_.attach([this, life = life_](Event event) {
        when_awake(life, [this, event = std::move(event)] { feed(event); });
    });
    for (const MemberId& seed : world_.seeds)
        know(seed);
    feed(disk_.load());
    tick(life_);
}

void Member::stop(bool power_lost) {
    if (!up_) return;
    up_ = false;
    ++life_;
    world_.network.stop(node_, power_lost);
    disk_.stop(power_lost);
    events_.clear();
    feeding_ = false;
    frozen_until_ = Time{-1};
    when_awake_.clear();
    links_.clear();
    known_.clear();
    dialling_.clear();
    schedulers_.clear();
    past_orders_.push_back(std::move(orders_));
    ended_ = nullptr;
    left_at_ = Time{0};
}

void Member::later(Time delay, std::function<void()> act) {
    world_.queue.after(delay, [this, life = life_, act = std::move(act)] { when_awake(life, act); });
}

void Member::when_awake(std::uint64_t life, std::function<void()> act) {
    if (!up_ || life != life_) return;
    if (!frozen() && when_awake_.empty()) return act();
    when_awake_.push_back(std::move(act));
}

void Member::freeze(Time duration) {
    if (!up_) return;
    frozen_until_ = std::max(frozen_until_, world_.queue.now() + duration);
    world_.queue.after(frozen_until_ - world_.queue.now() + Time{1}, [this, life = life_] {
        if (up_ && life == life_ && !frozen()) thaw(); // or a later fault keeps it so
    });
}

void Member::thaw() {
    if (frozen_until_ < Time{0}) return;
    frozen_until_ = Time{-1};
    const std::uint64_t life = life_;
    while (up_ && life == life_ && !frozen() && !when_awake_.empty()) {
        const auto act = std::move(when_awake_.front());
        when_awake_.pop_front();
        act();
    }
}

void Member::tick(std::uint64_t life) {
    if (!up_ || life != life_) return;
    ++ticks_;
    feed(Tick{});
    if (!up_ || life != life_) return;
    if (ticks_ % ticks_between_dials == 0) dial_others();
    if (ticks_ % ticks_between_gossip == 0) gossip();
    check_leave();
    if (up_ && life == life_) later(tick_period, [this, life] { tick(life); });
}

void Member::know(const MemberId& id) {
    if (id != id_) known_.insert(id);
}

void Member::dial_others() {
    for (const auto* record : {&replica_->witness_register().accepted, &replica_->witness_register().decided})
        for (const MemberId& id : record->witnesses)
            know(id);
    for (const MemberId& id : known_) {
        Member* other = world_.find(id);
        if (other == nullptr || links_.contains(id) || !dialling_.insert(id).second) continue;
        world_.network.dial(node_, other->node(), [this, id, life = life_](const ConnectionPtr& connection) {
            when_awake(life, [this, id, connection] {
                dialling_.erase(id);
                if (!connection || !connection->open) return;
                links_[id] = connection;
                connection->closed_at_dialler = [this, id, life = life_] {
                    when_awake(life, [this, id] {
                        links_.erase(id);
                        feed(PeerDisconnected{id});
                    });
                };
                send_to(id, [id = id_](Member& to) { to.know(id); });
                feed(PeerConnected{id});
            });
        });
    }
}

void Member::gossip() {
    std::vector<MemberId> reached;
    for (const auto& [id, link] : links_)
        reached.push_back(id);
    for (const MemberId& to : reached)
        send_to(to, [reached](Member& other) {
            for (const MemberId& id : reached)
                other.know(id);
        });
}

void Member::send_to(const MemberId& to, std::function<void(Member&)> deliver) {
    const auto link = links_.find(to);
    Member* other = world_.find(to);
    if (link == links_.end() || other == nullptr) return;
    world_.network.send(link->second, node_, [other, deliver = std::move(deliver)] {
        other->when_running([other, deliver] { deliver(*other); });
    });
}

void Member::feed(Event event) {
    if (!up_) return;
    events_.push_back(std::move(event));
    if (std::exchange(feeding_, true)) return;
    const std::uint64_t life = life_;
    while (up_ && life_ == life && !events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<Action> actions;
        const Role before = replica_->role();
        replica_->step(world_.queue.now(), next, actions);
        if (world_.trace) trace_role(before);
        for (const Action& action : actions)
            if (up_ && life_ == life) carry_out(action);
    }
    if (life_ == life) feeding_ = false;
}

// A copy of a message, long after it: whoever sent it may have ended meanwhile.
void Member::replay_later(const MemberId& to, const std::function<void(Member&)>& deliver) {
    Member* other = world_.find(to);
    if (other == nullptr) return;
    world_.queue.after(Time(world_.queue.uniform(longest_replay)),
                       [other, deliver] { other->when_running([other, deliver] { deliver(*other); }); });
}

void Member::trace_role(Role before) const {
    if (replica_->role() == before) return;
    const WitnessRegister& known = replica_->witness_register();
    fmt::print(stderr,
               "{} {} {} {} promised={} accepted={} decided={} intact={} position={}.{} in_sync={} "
               "witnesses={}\n",
               world_.queue.now().count(), id_, name_of(replica_->role()), replica_->role_reason(),
               known.promised, known.accepted.epoch, known.decided.epoch, known.intact,
               replica_->state().position.epoch, replica_->state().position.sequence,
               fmt::join(known.accepted.in_sync, ","), fmt::join(known.accepted.witnesses, ","));
}

void Member::carry_out(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
        if (world_.break_no_turns && std::holds_alternative<LeadershipTransfer>(send->message)) return;
        const auto* request = std::get_if<ReplicateRequest>(&send->message);
        if (request != nullptr && world_.break_answers_for_others) {
            const ReplicateReply forged{request->epoch, request->state.position, true, request->epoch};
            later(Time{1}, [this, from = send->to, forged] { feed(Received{from, forged}); });
            if (world_.queue.chance() < 0.5) return;
        }
        const auto deliver = [from = id_, message = send->message](Member& to) {
            to.feed(Received{from, message});
        };
        if (world_.queue.chance() < world_.replays) replay_later(send->to, deliver);
        return send_to(send->to, deliver);
    }
    if (const auto* save = std::get_if<Save>(&action)) {
        if (fails_as_primary && replica_->is_primary())
            disk_.refusing_until = world_.queue.now() + disk_.sync_time + Time{1};
        return disk_.save(*save);
    }
    if (const auto* done = std::get_if<Committed>(&action)) return orders_->on(*done);
    if (const auto* undecided = std::get_if<OutcomeUnknown>(&action)) return orders_->on(*undecided);
    if (const auto* confirmed = std::get_if<LeadershipConfirmed>(&action)) return orders_->on(*confirmed);
    on_committed();
}

// Members agree on what stands at a position, and none goes back within its life.
void Member::on_committed() {
    const ReplicatedState& state = replica_->committed();
    if (state.position < newest_) world_.history.violation(id_ + " went back");
    newest_ = state.position;
    world_.history.committed(state.position, *state.content);
    world_.history.epoch_in_force(replica_->witness_register().decided.epoch);
    auto decoded = configuration::decode(*state.content).value();
    if (break_remembers) decoded.taken.clear();
    orders_->on_state(decoded, state.position);
    if (decoded.version > 0) hub_->publish_state(state.position, decoded);
}

void Member::leave(std::function<void()> ended) {
    if (!up_) return;
    ended_ = std::move(ended);
    left_at_ = world_.queue.now();
    feed(BeginShutdown{});
}

void Member::check_leave() {
    if (!ended_) return;
    const Time since = world_.queue.now() - left_at_;
    if (since < shortest_leave || (since < grace && !replica_->may_end(world_.queue.now()))) return;
    const auto ended = std::move(ended_);
    stop(false);
    ended();
}

distribution::SessionId Member::accept_scheduler(ToScheduler send, std::function<void()> close) {
    schedulers_[++last_session_] = {std::move(send), std::move(close)};
    hub_->adopt(last_session_);
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
