// This process as a core member: the replica, its store and the queue of operator orders. All methods are
// called on the event loop's thread, and callbacks run on it too.
#pragma once

#include "system/control/order_queue.h"
#include "system/control/replica_store_thread.h"
#include "system/replication/replica.h"
#include "system/settings/settings.h"
#include "system/transport/process.h"

#include <deque>
#include <functional>

namespace willowrill::control {

using replication::MemberId;

class CoreNode {
  public:
    struct Callbacks {
        std::function<void(const MemberId&, const replication::Message&)> send;
        std::function<void(const replication::Position&, const configuration::ControlState&)> on_state;
        std::function<void()> on_primary; // this member has become the primary
        // The state loaded from disk has this cluster version; the state may be uncommitted.
        std::function<void(protocol::Version)> on_stored_version;
    };
    CoreNode(asio::io_context& loop, const settings::Settings& settings, Callbacks callbacks);

    // Passes an event to the replica and executes the resulting actions. Events raised by these actions are
    // queued and processed before the outermost call returns.
    void feed(replication::Event event);
    void tick() { feed(replication::Tick{}); }

    OrderQueue& orders() { return orders_; }
    bool is_primary() const { return replica_.is_primary(); }
    std::optional<MemberId> primary() const { return replica_.primary(); }
    // Whether a quorum has recently confirmed that the local state is the newest.
    bool is_current() const { return replica_.is_current(steady_now()); }
    // Whether the other members no longer depend on this one, so that the process may exit.
    bool can_exit() const { return replica_.is_safe_to_shut_down(steady_now()); }
    const replication::WitnessRegister& witness_register() const { return replica_.witness_register(); }

  private:
    void on_store_event(replication::Event event);
    void execute(const replication::Action& action);
    void on_state_changed();
    void log_role();

    MemberId self_;
    Callbacks callbacks_;
    replication::Replica replica_;
    std::deque<replication::Event> events_;
    bool feeding_ = false;
    replication::Role last_role_ = replication::Role::loading;
    replication::Epoch last_epoch_ = 0;
    OrderQueue orders_;
    ReplicaStoreThread store_;
};

} // namespace willowrill::control
