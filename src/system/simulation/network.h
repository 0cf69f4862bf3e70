// The model of the network: connections in order, with a delay, that hold what a cut holds up, and break when
// that lasts, when a process ends, or when somebody resets them. A machine without power says nothing.
#pragma once

#include "system/simulation/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace willowrill::simulation {

using NodeId = std::size_t;

// What one end has sent and the other has not got, in its order.
struct Stream {
    struct Message {
        Time sent{0}, arrival{0};
        std::function<void()> deliver;
    };
    std::deque<Message> waiting;
    Time last{0}; // arrival of the newest
};

struct Connection {
    std::uint64_t serial = 0;
    NodeId from = 0, to = 0; // who dialled whom
    std::uint64_t from_incarnation = 0, to_incarnation = 0;
    bool open = true;
    std::function<void()> closed_at_dialler, closed_at_acceptor;
    Stream out, in;                                // from the dialler, and to it
    std::optional<std::uint64_t> acceptor_session; // the acceptor's name for it
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Network {
  public:
    explicit Network(EventQueue& queue) : queue_(queue) {}
    ~Network();
    Network(const Network&) = delete;
    Network& operator=(const Network&) = delete;

    void start(NodeId node);
    // A killed process's peers hear of it; those of a machine without power do not.
    void stop(NodeId node, bool power_lost);
    bool running(NodeId node) const { return running_.contains(node); }

    void cut(NodeId from, NodeId to) { cuts_.insert({from, to}); }
    void heal(NodeId from, NodeId to) { cuts_.erase({from, to}); }
    void heal_all() { cuts_.clear(); }
    bool is_cut(NodeId from, NodeId to) const { return cuts_.contains({from, to}); }
    bool reaches(NodeId from, NodeId to) const {
        return running(to) && !is_cut(from, to) && !is_cut(to, from);
    }

    // Calls back with the connection, or with null after a while.
    void dial(NodeId from, NodeId to, std::function<void(ConnectionPtr)> done);
    // From one end to the other. `sender` is one of the two.
    void send(const ConnectionPtr& connection, NodeId sender, std::function<void()> deliver);
    // The end that closes hears nothing more of it.
    void close(const ConnectionPtr& connection, NodeId by);
    void reset_connections(NodeId node);

  private:
    void pump(const ConnectionPtr& connection, NodeId sender);
    void break_up(const ConnectionPtr& connection);
    static void forget_messages(Connection& connection);
    bool is_alive(const Connection& connection) const;

    EventQueue& queue_;
    std::map<NodeId, std::uint64_t> running_; // to the number of its incarnation
    std::uint64_t last_incarnation_ = 0, serials_ = 0;
    std::set<std::pair<NodeId, NodeId>> cuts_;
    std::map<std::uint64_t, ConnectionPtr> connections_; // by serial: chance takes them in one order
};

} // namespace willowrill::simulation
