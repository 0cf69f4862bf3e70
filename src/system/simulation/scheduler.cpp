#include "system/simulation/scheduler.h"

#include "system/messages/codec.h"

#include <utility>

namespace willowrill::simulation {
namespace {

constexpr Time tick_period{100};

// The part of an id before the port.
std::string host_of(const MemberId& id) { return id.substr(0, id.find(':')); }

} // namespace

Scheduler::Scheduler(Environment& environment, NodeId node, std::string name)
    : environment_(environment), node_(node), name_(std::move(name)) {}

void Scheduler::start() {
    if (up_) return;
    up_ = true;
    ++incarnation_;
    started_at_ = environment_.queue.now();
    held_.reset();
    resync_ = {};
    environment_.network.start(node_);
    const auto hosts = [this] {
        std::vector<std::string> out;
        out.reserve(environment_.seeds.size());
        for (const MemberId& seed : environment_.seeds)
            out.push_back(host_of(seed));
        return out;
    };
    // Each member stands in a zone of its own, named as its host; some schedulers' zones have none.
    const auto own = static_cast<std::size_t>(node_) % (environment_.seeds.size() + 1);
    const std::string zone = own < environment_.seeds.size() ? host_of(environment_.seeds[own]) : "elsewhere";
    session_.emplace(hosts, distribution::CoreSession::Location{zone, "region"});
    tick(incarnation_);
}

void Scheduler::stop() {
    if (!up_) return;
    up_ = false;
    ++incarnation_;
    connection_ = nullptr;
    environment_.network.stop(node_, false);
}

void Scheduler::tick(std::uint64_t incarnation) {
    if (!up_ || incarnation != incarnation_) return;
    feed(distribution::SessionTick{});
    environment_.queue.after(tick_period, [this, incarnation] { tick(incarnation); });
}

void Scheduler::feed(const distribution::SessionEvent& event) {
    std::vector<distribution::SessionAction> actions;
    session_->step(environment_.queue.now(), event, actions);
    for (const distribution::SessionAction& action : actions)
        std::visit([this](const auto& one) { carry_out(one); }, action);
}

void Scheduler::carry_out(const distribution::Dial& dial) {
    Member* member = environment_.find(dial.host + ":8000");
    const auto done = [this, member, incarnation = incarnation_](const ConnectionPtr& connection) {
        if (!up_ || incarnation != incarnation_) return;
        if (!connection || !connection->open) return feed(distribution::DialFailed{});
        on_connected(connection, *member);
    };
    if (member == nullptr) return environment_.queue.after(tick_period, [done] { done(nullptr); });
    environment_.network.dial(node_, member->node(), done);
}

void Scheduler::on_connected(const ConnectionPtr& connection, Member& member) {
    connection_ = connection;
    member_ = &member;
    session_id_ = 0;
    connection->closed_at_dialler = [this, raw = connection.get()] {
        if (connection_.get() != raw) return;
        connection_ = nullptr;
        feed(distribution::ConnectionLost{});
    };
    // The member takes it in with the first message, as it does with the greeting on a socket.
    feed(distribution::DialSucceeded{});
}

void Scheduler::carry_out(const distribution::Disconnect&) {
    if (const auto connection = std::exchange(connection_, nullptr))
        environment_.network.close(connection, node_);
}

void Scheduler::carry_out(const distribution::RenewLease& renewal) {
    if (!connection_) return;
    membership::Lease lease;
    lease.node = name_;
    lease.incarnation = incarnation_;
    lease.renewal = renewal.renewal;
    const nlohmann::json message = messages::encode(messages::RenewLease{
        lease, held_ ? std::optional(held_->position) : std::nullopt, std::exchange(resync_, {})});
    environment_.network.send(
        connection_, node_, [this, connection = connection_, member = member_, message] {
            if (!member->up()) return;
            member->when_running([this, connection, member, message] {
                if (!connection->open) return;
                if (!connection->acceptor_session) {
                    const auto send = [this, connection, member](const nlohmann::json& pushed) {
                        environment_.network.send(connection, member->node(), [this, connection, pushed] {
                            if (connection_ == connection)
                                feed(distribution::MessageReceived{messages::decode_core_update(pushed)});
                        });
                    };
                    const auto close = [this, connection, member] {
                        environment_.network.close(connection, member->node());
                    };
                    const auto id = member->accept_scheduler(send, close);
                    connection->acceptor_session = id;
                    connection->closed_at_acceptor = [member, id] { member->on_scheduler_closed(id); };
                }
                member->on_scheduler_message(*connection->acceptor_session, message);
            });
        });
}

void Scheduler::carry_out(const distribution::DeliverUpdate& pushed) {
    if (const auto* snapshot = std::get_if<messages::StateSnapshot>(&pushed.message))
        return take_in(distribution::apply(*snapshot, active_state()));
    if (const auto* delta = std::get_if<messages::StateDelta>(&pushed.message))
        return take_in(distribution::apply(*delta, active_state()));
}

std::optional<distribution::ActiveState> Scheduler::active_state() const {
    if (!held_) return std::nullopt;
    return distribution::ActiveState{held_->position, &held_->configuration};
}

void Scheduler::take_in(errors::Result<distribution::StateUpdateResult> result) {
    if (!result) return environment_.history.violation(name_ + " was sent what it cannot read");
    if (std::holds_alternative<distribution::MissingBase>(result.value())) {
        resync_.state = true;
        return feed(distribution::LeaseChanged{});
    }
    auto* next = std::get_if<distribution::StateUpdate>(&result.value());
    if (next == nullptr) return;
    if (next->configuration.version < version()) environment_.history.violation(name_ + " went back");
    held_ = std::move(*next);
    environment_.history.pushed(name_, held_->configuration);
}

} // namespace willowrill::simulation
