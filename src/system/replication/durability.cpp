// What a member knows of its disk: saves that are under way, what waits for them, and how it comes back after
// the disk refused one.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// A disk with a register is believed, whatever the settings say of a first start.
void Replica::on(const Loaded& loaded) {
    if (role_ != Role::loading) return;
    recovery_nonce_ = random_();
    started_at_ = now_;
    if (loaded.state) state_ = *loaded.state;
    // A register older than the state beside it has lost promises.
    const bool behind = loaded.witness_register && state_.position.epoch > loaded.witness_register->promised;
    if (loaded.witness_register && !behind) {
        register_ = *loaded.witness_register;
        durable_complete_ = register_.complete;
        has_register_ = true;
        highest_epoch_seen_ = register_.promised;
        if (register_.complete && !loaded.state) {
            WitnessRegister next = register_;
            next.complete = false;
            save(next);
        }
        return change_role(Role::backup, "disk-read");
    }
    const bool empty = !loaded.witness_register && state_.position == Position{};
    if (!options_.initial_start || options_.seeds.empty() || !empty)
        return change_role(Role::recovering, behind ? "register-older-than-state" : "register-missing");
    is_first_start_ = true;
    save(state_); // so that a state which is missing later is known to be lost
    const bool is_seed = std::ranges::count(options_.seeds, options_.self) > 0;
    const EpochRecord first{initial_epoch, options_.seeds.front(), options_.seeds, options_.seeds};
    save(WitnessRegister{initial_epoch, first, first, is_seed});
    has_register_ = true;
    highest_epoch_seen_ = initial_epoch;
    change_role(Role::backup, "first-start");
}

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

void Replica::issue(DiskRecord record, bool restores) {
    if (in_flight_saves_.empty()) disk_progress_ = now_;
    const auto* saved = std::get_if<WitnessRegister>(&record);
    in_flight_saves_.push_back({++last_save_id_, saved ? std::optional(saved->complete) : std::nullopt});
    actions_->emplace_back(Save{last_save_id_, std::move(record), restores});
}

// Does this once every record given to the disk so far is durable; never, if one of them is refused.
void Replica::when_durable(DeferredAction action) {
    if (in_flight_saves_.empty()) return std::visit([this](const auto& due) { carry_out(due); }, action);
    deferred_.push_back({last_save_id_, std::move(action)});
}

bool Replica::finish_save(SaveId id, bool saved) {
    if (in_flight_saves_.empty() || in_flight_saves_.front().id != id) return false;
    if (saved) durable_complete_ = in_flight_saves_.front().complete.value_or(durable_complete_);
    in_flight_saves_.pop_front();
    disk_progress_ = now_;
    return true;
}

void Replica::on(const Saved& saved) {
    if (!finish_save(saved.ticket, true)) return;
    while (!deferred_.empty() && deferred_.front().after <= saved.ticket) {
        const Deferred due = std::move(deferred_.front());
        deferred_.pop_front();
        std::visit([this](const auto& action) { carry_out(action); }, due.action);
    }
}

// Whether the record is on disk is unknown now: nothing that waited for it may happen, and the records in
// memory, which hold all that was ever vouched for, are written anew before this member counts again.
void Replica::on(const SaveFailed& failed) {
    if (!finish_save(failed.ticket, false)) return;
    deferred_.clear();
    const Timing& timing = options_.timing;
    restore_backoff_ =
        std::clamp(2 * restore_backoff_, timing.restore_backoff_first, timing.restore_backoff_max);
    restore_at_ = now_ + restore_backoff_;
    if (role_ == Role::storage_failed) return;
    if (role_ == Role::primary) transfer_leadership();
    back_off_election();
    abort_client_requests();
    change_role(Role::storage_failed, "save-refused");
}

// At no point on the way does the disk call a state complete that may be an older one than was vouched for:
// where its register does not say so yet, it says so only behind the state.
void Replica::restore() {
    if (!in_flight_saves_.empty() || now_ < restore_at_) return;
    WitnessRegister first = register_;
    first.complete = register_.complete && durable_complete_;
    issue(first, true);
    issue(state_);
    if (first != register_) issue(register_);
    register_unsaved_ = false;
    when_durable(FinishRestoration{});
}

void Replica::carry_out(const FinishRestoration&) {
    if (role_ != Role::storage_failed) return;
    restore_backoff_ = Time{0};
    change_role(Role::backup, "disk-takes-records");
}

void Replica::carry_out(const Send& send) { actions_->emplace_back(send); }

// A disk that stalls is as good as lost while it does: what it was given may never be durable.
bool Replica::disk_answers() const {
    return in_flight_saves_.empty() || now_ - disk_progress_ <= options_.timing.disk_timeout;
}

bool Replica::can_vote() const {
    const bool knows = role_ != Role::loading && role_ != Role::recovering && role_ != Role::storage_failed;
    return has_register_ && knows && disk_answers();
}

} // namespace willowrill::replication
