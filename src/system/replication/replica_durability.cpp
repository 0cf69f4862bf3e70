// Durability of the replica's records: loading and saving them, restoring them after a failed save, and
// recovering a lost register from the other members.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// A register found on disk takes precedence over the `initial_start` option.
void Replica::on(const Loaded& loaded) {
    if (role_ != Role::loading) return;
    recovery_.begin(random_());
    started_at_ = now_;
    if (loaded.state) state_ = *loaded.state;
    // A register older than the stored state was rolled back and may lack promises.
    const bool is_register_stale =
        loaded.witness_register && state_.position.epoch > loaded.witness_register->promised;
    if (loaded.witness_register && !is_register_stale)
        return start_with_register(*loaded.witness_register, loaded.state.has_value());
    const bool is_disk_empty = !loaded.witness_register && state_.position == Position{};
    if (!options_.initial_start || options_.seeds.empty() || !is_disk_empty)
        return change_role(Role::recovering,
                           is_register_stale ? "register-older-than-state" : "register-missing");
    start_first_epoch();
}

void Replica::start_with_register(const WitnessRegister& found, bool has_state) {
    register_ = found;
    durability_.set_durably_complete(register_.complete);
    has_register_ = true;
    highest_epoch_seen_ = register_.promised;
    if (register_.complete && !has_state) {
        WitnessRegister next = register_;
        next.complete = false;
        save(next);
    }
    change_role(Role::backup, "disk-read");
}

void Replica::start_first_epoch() {
    is_first_start_ = true;
    save(state_); // so that a missing state is later recognized as lost
    const bool is_seed = contains(options_.seeds, options_.self);
    const EpochRecord first{initial_epoch, options_.seeds.front(), options_.seeds, options_.seeds};
    save(WitnessRegister{initial_epoch, first, first, is_seed});
    has_register_ = true;
    highest_epoch_seen_ = initial_epoch;
    change_role(Role::backup, "first-start");
}

// ---- Saves -----------------------------------------------------------------------------------------------

void Replica::save(const WitnessRegister& next) {
    if (next == register_ && !register_unsaved_) return;
    register_ = next;
    register_unsaved_ = false;
    issue(next);
}

void Replica::save(const ReplicatedState& next) {
    state_ = next;
    issue(next);
}

void Replica::issue(DiskRecord record, Durability::Purpose purpose) {
    actions_->emplace_back(durability_.issue(now_, std::move(record), purpose));
}

// Executes the action once every record passed to the disk so far is durable; never, if one of the saves
// fails.
void Replica::when_durable(DeferredAction action) {
    if (!durability_.idle()) return durability_.defer(std::move(action));
    std::visit([this](const auto& ready_action) { execute(ready_action); }, action);
}

void Replica::execute(const Send& send) { actions_->emplace_back(send); }

void Replica::on(const Saved& saved) {
    if (!durability_.on_saved(now_, saved.save_id)) return;
    while (const std::optional<DeferredAction> action = durability_.take_ready(saved.save_id))
        std::visit([this](const auto& ready_action) { execute(ready_action); }, *action);
}

// It is unknown whether the record is on disk: deferred actions are discarded, and the records in memory,
// which cover everything this member ever confirmed, are rewritten before it votes again.
void Replica::on(const SaveFailed& failed) {
    if (!durability_.on_refused(now_, failed.save_id) || role_ == Role::storage_failed) return;
    if (role_ == Role::primary) transfer_leadership();
    backoff_.back_off(now_);
    abort_client_requests();
    change_role(Role::storage_failed, "save-refused");
}

// Rewrites both records. The register on disk must never mark a state as complete that may be older than one
// this member has confirmed: unless the durable register already has the mark, it is set after the state.
void Replica::start_restoration() {
    if (!durability_.may_restore(now_)) return;
    WitnessRegister first = register_;
    first.complete = register_.complete && durability_.durably_complete();
    issue(first, Durability::Purpose::restoration);
    issue(state_);
    if (first != register_) issue(register_);
    register_unsaved_ = false;
    when_durable(FinishRestoration{});
}

void Replica::execute(const FinishRestoration&) {
    if (role_ != Role::storage_failed) return;
    durability_.on_restored();
    change_role(Role::backup, "disk-takes-records");
}

bool Replica::can_vote() const {
    const bool is_serving_role =
        role_ != Role::loading && role_ != Role::recovering && role_ != Role::storage_failed;
    return has_register_ && is_serving_role && durability_.is_responsive(now_);
}

// ---- Recovery of a lost register --------------------------------------------------------------------------

void Replica::request_recovery() {
    const std::optional<RecoveryRequest> request = recovery_.request_if_due(now_);
    if (!request) return;
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send(id, *request);
}

void Replica::on_message(const MemberId& from, const RecoveryRequest& request) {
    send(from, RecoveryReply{request.nonce, has_register_, register_});
    if (role_ == Role::primary && !takes_part(register_.decided, from))
        confirm_leadership_to({from, request.nonce});
}

// A member that no record names may vote on the word of a primary that proves that it still leads.
void Replica::confirm_leadership_to(const RecoveryConfirmations::Request& request) {
    if (recovery_confirmations_.contains(request)) return;
    send_heartbeats();
    recovery_confirmations_.add(request, heartbeats_.newest_number());
    check_confirmations();
}

void Replica::on_message(const MemberId& from, const RecoveryReply& reply) {
    if (role_ != Role::recovering) return;
    const std::optional<WitnessRegister> found = recovery_.on_reply(options_.self, from, reply);
    if (!found) return;
    save(*found);
    has_register_ = true;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, found->promised);
    change_role(Role::backup, "recovered");
    send(found->decided.primary,
         heartbeat_reply(0, found->decided.epoch)); // the primary may admit this member now
}

} // namespace willowrill::replication
