#include "system/control/order_queue.h"

#include <utility>

namespace willowrill::control {

using errors::Error;
using errors::ErrorKind;

void OrderQueue::submit(configuration::Order order, OnOrderDone done) {
    if (waiting_.size() >= max_waiting_orders)
        return done(Error{ErrorKind::not_primary, "too many orders are waiting"});
    waiting_.push_back({std::move(order), std::move(done)});
    if (!running_) start_next();
}

void OrderQueue::read(OnReadDone done) {
    const std::uint64_t id = next_id_++;
    reads_[id] = std::move(done);
    feed_(replication::ConfirmLeadership{id});
}

void OrderQueue::start_next() {
    if (waiting_.empty()) return;
    WaitingOrder next = std::move(waiting_.front());
    waiting_.pop_front();
    running_ = RunningOrder{next_id_++, Phase::confirming, std::move(next.order), std::move(next.done)};
    feed_(replication::ConfirmLeadership{running_->id});
}

void OrderQueue::on(const replication::LeadershipConfirmed& confirmed) {
    if (const auto read = reads_.find(confirmed.id); read != reads_.end()) {
        const OnReadDone done = std::move(read->second);
        reads_.erase(read);
        return done(state_.configuration);
    }
    if (!running_ || running_->id != confirmed.id || running_->phase != Phase::confirming) return;
    auto applied = configuration::apply(state_, running_->order);
    if (!applied) return finish(applied.error());
    if (std::holds_alternative<configuration::Unchanged>(applied.value()))
        return finish(BOOST_OUTCOME_V2_NAMESPACE::success());
    running_->phase = Phase::replicating;
    running_->id = next_id_++;
    feed_(
        replication::Propose{running_->id, position_,
                             configuration::encode(std::get<configuration::ControlState>(applied.value()))});
}

void OrderQueue::on(const replication::Committed& committed) {
    if (running_ && running_->id == committed.id) finish(BOOST_OUTCOME_V2_NAMESPACE::success());
}

void OrderQueue::on(const replication::OutcomeUnknown& unknown_outcome) {
    if (const auto read = reads_.find(unknown_outcome.id); read != reads_.end()) {
        const OnReadDone done = std::move(read->second);
        reads_.erase(read);
        return done(Error{ErrorKind::not_primary, "this member is not the primary"});
    }
    if (!running_ || running_->id != unknown_outcome.id) return;
    const bool was_proposed = running_->phase == Phase::replicating;
    finish(
        Error{was_proposed ? ErrorKind::undecided : ErrorKind::not_primary, "the primary changed meanwhile"});
}

void OrderQueue::finish(OrderResult result) {
    const OnOrderDone done = std::move(running_->done);
    running_.reset();
    done(std::move(result));
    if (!running_) start_next();
}

} // namespace willowrill::control
