#include "system/control/core_node.h"

#include "common/identity/random_identity.h"

#include "system/logging/log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

namespace willowrill::control {
namespace {

replication::Options options_of(const settings::Settings& settings) {
    replication::Options options;
    options.self = settings::to_text(settings.control);
    options.initial_start = settings.initial_start;
    for (const settings::Endpoint& seed : settings.seeds)
        options.seeds.push_back(settings::to_text(seed));
    options.tolerated_losses = settings.tolerated_members;
    options.random_seed = identity::random_identity() ^ std::hash<std::string>()(settings.node_name);
    return options;
}

} // namespace

CoreNode::CoreNode(asio::io_context& loop, const settings::Settings& settings, Callbacks callbacks)
    : self_(settings::to_text(settings.control)), callbacks_(std::move(callbacks)),
      replica_(options_of(settings)), orders_([this](replication::Event event) { feed(std::move(event)); }),
      store_(loop, settings.data_path,
             [this](replication::Event event) { on_store_event(std::move(event)); }) {}

void CoreNode::on_store_event(replication::Event event) {
    if (const auto* loaded = std::get_if<replication::Loaded>(&event); loaded != nullptr && loaded->state)
        callbacks_.on_stored_version(configuration::cluster_version_of(*loaded->state->content));
    feed(std::move(event));
}

// Queues events raised while an action is executed, because the replica is not reentrant.
void CoreNode::feed(replication::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(feeding_, true)) return;
    while (!events_.empty()) {
        const replication::Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<replication::Action> actions;
        replica_.step(steady_now(), next, actions);
        for (const replication::Action& action : actions)
            execute(action);
    }
    feeding_ = false;
    log_role();
}

void CoreNode::execute(const replication::Action& action) {
    if (const auto* send = std::get_if<replication::Send>(&action))
        return callbacks_.send(send->to, send->message);
    if (const auto* save = std::get_if<replication::Save>(&action)) return store_.save(*save);
    if (const auto* committed = std::get_if<replication::Committed>(&action)) return orders_.on(*committed);
    if (const auto* unknown_outcome = std::get_if<replication::OutcomeUnknown>(&action))
        return orders_.on(*unknown_outcome);
    if (const auto* confirmed = std::get_if<replication::LeadershipConfirmed>(&action))
        return orders_.on(*confirmed);
    on_state_changed();
}

void CoreNode::on_state_changed() {
    const replication::ReplicatedState& committed = replica_.committed();
    const auto state = configuration::decode(*committed.content);
    if (!state) {
        logging::error("state-unreadable").field("member", self_).text("detail", state.error().detail);
        return;
    }
    orders_.on_state(state.value(), committed.position);
    callbacks_.on_state(committed.position, state.value());
}

void CoreNode::log_role() {
    const replication::Role role = replica_.role();
    const replication::EpochRecord& record = replica_.witness_register().decided;
    if (role == last_role_ && record.epoch == last_epoch_) return;
    const bool became_primary = role == replication::Role::primary && role != last_role_;
    last_role_ = role;
    last_epoch_ = record.epoch;
    logging::info("role")
        .field("member", self_)
        .field("role", replication::name_of(role))
        .field("reason", replica_.role_reason())
        .field("epoch", record.epoch)
        .field("primary", record.primary)
        .field("in_sync", fmt::format("{}", fmt::join(record.in_sync, ",")))
        .field("witnesses", fmt::format("{}", fmt::join(record.witnesses, ",")));
    if (became_primary) callbacks_.on_primary();
}

} // namespace willowrill::control
