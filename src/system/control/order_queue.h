// Runs operators' orders through replication, one at a time. For each order the replica first confirms that
// this member is still the primary; then the order is applied to the newest state, and the resulting state is
// replicated. Performs no I/O of its own.
#pragma once

#include "system/configuration/control_state.h"
#include "system/errors/error.h"
#include "system/replication/replica.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace willowrill::control {

// The result of an order: success, or an error with its kind.
using OrderResult = errors::Result<void>;
using OnOrderDone = std::function<void(OrderResult)>;
using OnReadDone = std::function<void(errors::Result<std::string>)>;

inline constexpr std::size_t max_waiting_orders = 64;

class OrderQueue {
  public:
    // `feed` passes an event to the replica; the replica's answers are delivered through `on`.
    explicit OrderQueue(std::function<void(replication::Event)> feed) : feed_(std::move(feed)) {}

    // Queues an order. `done` receives the result; it is called at once with an error if the queue is full.
    void submit(configuration::Order order, OnOrderDone done);
    // Reads the newest configuration text, in the form in which it was submitted, after confirming that this
    // member is still the primary.
    void read(OnReadDone done);

    // Sets the newest committed state and its position.
    void on_state(const configuration::ControlState& state, const replication::Position& position) {
        state_ = state;
        position_ = position;
    }
    void on(const replication::LeadershipConfirmed& confirmed);
    void on(const replication::Committed& committed);
    void on(const replication::OutcomeUnknown& unknown_outcome);

  private:
    enum class Phase { confirming, replicating };
    struct RunningOrder {
        std::uint64_t id = 0;
        Phase phase = Phase::confirming;
        configuration::Order order;
        OnOrderDone done;
    };
    struct WaitingOrder {
        configuration::Order order;
        OnOrderDone done;
    };
    void start_next();
    void finish(OrderResult result);

    std::function<void(replication::Event)> feed_;
    configuration::ControlState state_;
    replication::Position position_;
    std::uint64_t next_id_ = 1;
    std::optional<RunningOrder> running_;
    std::deque<WaitingOrder> waiting_; // at most `max_waiting_orders`
    std::map<std::uint64_t, OnReadDone> reads_;
};

} // namespace willowrill::control
