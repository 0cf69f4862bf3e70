#include "system/simulation/network.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace willowrill::simulation {
namespace {

constexpr Time shortest_delay{10};
constexpr std::int64_t delay_spread = 15;
constexpr Time dial_timeout{250};
constexpr Time unacknowledged{1500};
constexpr Time retransmission{50};

} // namespace

void Network::start(NodeId node) { running_[node] = ++last_incarnation_; }

void Network::stop(NodeId node, bool power_lost) {
    running_.erase(node);
    std::vector<ConnectionPtr> heard;
    for (const auto& [serial, connection] : connections_) {
        if (connection->from != node && connection->to != node) continue;
        const NodeId other = connection->from == node ? connection->to : connection->from;
        if (!power_lost && !is_cut(node, other)) heard.push_back(connection);
    }
    for (const ConnectionPtr& connection : heard)
        queue_.after(Time(1 + queue_.uniform(40)), [this, connection] { break_up(connection); });
}

bool Network::is_alive(const Connection& connection) const {
    const auto from = running_.find(connection.from), to = running_.find(connection.to);
    return from != running_.end() && from->second == connection.from_incarnation && to != running_.end() &&
           to->second == connection.to_incarnation;
}

void Network::dial(NodeId from, NodeId to, std::function<void(ConnectionPtr)> done) {
    const std::uint64_t incarnation = running_.at(from);
    const bool refused = !running(to) && !is_cut(from, to) && !is_cut(to, from);
    const Time delay(refused || reaches(from, to) ? Time(2 * shortest_delay + Time(queue_.uniform(20)))
                                                  : dial_timeout);
    queue_.after(delay, [this, from, to, incarnation, done = std::move(done)] {
        const auto self = running_.find(from);
        if (self == running_.end() || self->second != incarnation) return;
        if (!reaches(from, to)) return done(nullptr);
        auto connection = std::make_shared<Connection>();
        connection->from = from;
        connection->to = to;
        connection->from_incarnation = incarnation;
        connection->to_incarnation = running_.at(to);
        connection->serial = ++serials_;
        connections_.emplace(connection->serial, connection);
        done(connection);
    });
}

void Network::send(const ConnectionPtr& connection, NodeId sender, std::function<void()> deliver) {
    if (!connection->open) return;
    Stream& stream = sender == connection->from ? connection->out : connection->in;
    stream.last = std::max(stream.last, queue_.now() + shortest_delay + Time(queue_.uniform(delay_spread)));
    stream.waiting.push_back({queue_.now(), stream.last, std::move(deliver)});
    queue_.after(stream.last - queue_.now(), [this, connection, sender] { pump(connection, sender); });
}

// Hands over what has arrived; what a cut holds up is tried again until the sender gives up.
void Network::pump(const ConnectionPtr& connection, NodeId sender) {
    Stream& stream = sender == connection->from ? connection->out : connection->in;
    const NodeId receiver = sender == connection->from ? connection->to : connection->from;
    while (connection->open && !stream.waiting.empty() && stream.waiting.front().arrival <= queue_.now()) {
        const bool gone = !is_alive(*connection);
        const bool held = is_cut(sender, receiver);
        if (gone && running(receiver) && !held) return break_up(connection); // it resets
        if (gone || held) {
            if (queue_.now() - stream.waiting.front().sent >= unacknowledged) return break_up(connection);
            return queue_.after(retransmission, [this, connection, sender] { pump(connection, sender); });
        }
        const std::function<void()> deliver = std::move(stream.waiting.front().deliver);
        stream.waiting.pop_front();
        deliver();
    }
}

// What waits on a connection may hold that connection.
void Network::forget_messages(Connection& connection) {
    const Stream out = std::exchange(connection.out, {});
    const Stream in = std::exchange(connection.in, {});
}

Network::~Network() {
    for (const auto& [serial, connection] : connections_)
        forget_messages(*connection);
}

void Network::break_up(const ConnectionPtr& connection) {
    if (!std::exchange(connection->open, false)) return;
    connections_.erase(connection->serial);
    forget_messages(*connection);
    const auto tell = [&](NodeId node, std::uint64_t incarnation, const std::function<void()>& closed) {
        const auto found = running_.find(node);
        if (found != running_.end() && found->second == incarnation && closed) closed();
    };
    tell(connection->from, connection->from_incarnation, connection->closed_at_dialler);
    tell(connection->to, connection->to_incarnation, connection->closed_at_acceptor);
}

void Network::close(const ConnectionPtr& connection, NodeId by) {
    (by == connection->from ? connection->closed_at_dialler : connection->closed_at_acceptor) = nullptr;
    break_up(connection);
}

void Network::reset_connections(NodeId node) {
    std::vector<ConnectionPtr> taken;
    for (const auto& [serial, connection] : connections_)
        if ((connection->from == node || connection->to == node) && queue_.chance() < 0.6)
            taken.push_back(connection);
    for (const ConnectionPtr& connection : taken)
        break_up(connection);
}

} // namespace willowrill::simulation
