// The replica's dealings with its disk: what it finds there, what it saves, how it comes back after the disk
// refused a record, and how it recovers a register that was lost.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// A disk with a register is believed, whatever the settings say of a first start.
void Replica::on(const Loaded& loaded) {
    if (role_ != Role::loading) return;
    recovery_.begin(random_());
    started_at_ = now_;
    if (loaded.state) state_ = *loaded.state;
    // A register older than the state beside it has lost promises.
    const bool behind = loaded.witness_register && state_.position.epoch > loaded.witness_register->promised;
    if (loaded.witness_register && !behind)
        return start_with_register(*loaded.witness_register, loaded.state.has_value());
    const bool empty = !loaded.witness_register && state_.position == Position{};
    if (!options_.initial_start || options_.seeds.empty() || !empty)
        return change_role(Role::recovering, behind ? "register-older-than-state" : "register-missing");
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
    save(state_); // so that a state which is missing later is known to be lost
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

// Does this once every record given to the disk so far is durable; never, if one of them is refused.
void Replica::when_durable(DeferredAction action) {
    if (!durability_.idle()) return durability_.defer(std::move(action));
    std::visit([this](const auto& due) { carry_out(due); }, action);
}

void Replica::carry_out(const Send& send) { actions_->emplace_back(send); }

void Replica::on(const Saved& saved) {
    if (!durability_.on_saved(now_, saved.save_id)) return;
    while (const std::optional<DeferredAction> action = durability_.take_due(saved.save_id))
        std::visit([this](const auto& due) { carry_out(due); }, *action);
}

// Whether the record is on disk is unknown now: nothing that waited for it may happen, and the records in
// memory, which hold all that was ever vouched for, are written anew before this member counts again.
void Replica::on(const SaveFailed& failed) {
    if (!durability_.on_refused(now_, failed.save_id) || role_ == Role::storage_failed) return;
    if (role_ == Role::primary) transfer_leadership();
    backoff_.back_off(now_);
    abort_client_requests();
    change_role(Role::storage_failed, "save-refused");
}

// At no point on the way does the disk call a state complete that may be an older one than was vouched for:
// where its register does not say so yet, it says so only behind the state.
void Replica::restore() {
    if (!durability_.may_restore(now_)) return;
    WitnessRegister first = register_;
    first.complete = register_.complete && durability_.durably_complete();
    issue(first, Durability::Purpose::restoration);
    issue(state_);
    if (first != register_) issue(register_);
    register_unsaved_ = false;
    when_durable(FinishRestoration{});
}

void Replica::carry_out(const FinishRestoration&) {
    if (role_ != Role::storage_failed) return;
    durability_.on_restored();
    change_role(Role::backup, "disk-takes-records");
}

bool Replica::can_vote() const {
    const bool knows = role_ != Role::loading && role_ != Role::recovering && role_ != Role::storage_failed;
    return has_register_ && knows && durability_.answers(now_);
}

// ---- Recovery of a register that was lost ----------------------------------------------------------------

void Replica::request_recovery() {
    const std::optional<RecoveryRequest> request = recovery_.request_if_due(now_);
    if (!request) return;
    for (const auto& [id, peer] : peers_)
        if (peer.connected) send(id, *request);
}

void Replica::on_message(const MemberId& from, const RecoveryRequest& request) {
    send(from, RecoveryReply{request.nonce, has_register_, register_});
}

void Replica::on_message(const MemberId& from, const RecoveryReply& reply) {
    if (role_ != Role::recovering) return;
    const std::optional<WitnessRegister> found = recovery_.on_reply(options_.self, from, reply);
    if (!found) return;
    save(*found);
    has_register_ = true;
    highest_epoch_seen_ = std::max(highest_epoch_seen_, found->promised);
    change_role(Role::backup, "recovered");
    send(found->decided.primary, heartbeat_reply(0, found->decided.epoch)); // it can be taken in now
}

} // namespace willowrill::replication
