// What a member knows of its disk: saves that are under way, what waits for them, and how it comes back after
// the disk refused one.
#include "system/replication/replica.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

// A disk with a register is believed, whatever the settings say of a first start.
void Replica::on(const Loaded& loaded) {
    if (role_ != Role::loading) return;
    nonce_ = random_();
    started_ = now_;
    if (loaded.state) state_ = *loaded.state;
    // A register older than the state beside it has lost promises.
    const bool behind = loaded.witness_register && state_.position.epoch > loaded.witness_register->promised;
    if (loaded.witness_register && !behind) {
        register_ = *loaded.witness_register;
        disk_intact_ = register_.intact;
        has_register_ = true;
        highest_seen_ = register_.promised;
        if (register_.intact && !loaded.state) {
            WitnessRegister next = register_;
            next.intact = false;
            save(next);
        }
        return change_role(Role::backup, "disk-read");
    }
    const bool empty = !loaded.witness_register && state_.position == Position{};
    if (!options_.initial_start || options_.seeds.empty() || !empty)
        return change_role(Role::recovering, behind ? "register-older-than-state" : "register-missing");
    first_start_ = true;
    save(state_); // so that a state which is missing later is known to be lost
    const bool is_seed = std::ranges::count(options_.seeds, options_.self) > 0;
    const EpochRecord first{initial_epoch, options_.seeds.front(), options_.seeds, options_.seeds};
    save(WitnessRegister{initial_epoch, first, first, is_seed});
    has_register_ = true;
    highest_seen_ = initial_epoch;
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
    if (outstanding_.empty()) disk_progress_ = now_;
    const auto* saved = std::get_if<WitnessRegister>(&record);
    outstanding_.push_back({++last_ticket_, saved ? std::optional(saved->intact) : std::nullopt});
    actions_->emplace_back(Save{last_ticket_, std::move(record), restores});
}

// Does this once every record given to the disk so far is durable; never, if one of them is refused.
void Replica::after_saves(Consequence consequence) {
    if (outstanding_.empty()) return std::visit([this](const auto& due) { carry_out(due); }, consequence);
    waiting_.push_back({last_ticket_, std::move(consequence)});
}

bool Replica::finish_ticket(SaveId ticket, bool saved) {
    if (outstanding_.empty() || outstanding_.front().ticket != ticket) return false;
    if (saved) disk_intact_ = outstanding_.front().intact.value_or(disk_intact_);
    outstanding_.pop_front();
    disk_progress_ = now_;
    return true;
}

void Replica::on(const Saved& saved) {
    if (!finish_ticket(saved.ticket, true)) return;
    while (!waiting_.empty() && waiting_.front().after <= saved.ticket) {
        const Waiting due = std::move(waiting_.front());
        waiting_.pop_front();
        std::visit([this](const auto& consequence) { carry_out(consequence); }, due.consequence);
    }
}

// Whether the record is on disk is unknown now: nothing that waited for it may happen, and the records in
// memory, which hold all that was ever vouched for, are written anew before this member counts again.
void Replica::on(const SaveFailed& failed) {
    if (!finish_ticket(failed.ticket, false)) return;
    waiting_.clear();
    const Timing& timing = options_.timing;
    restore_pause_ = std::clamp(2 * restore_pause_, timing.restore_first, timing.restore_longest);
    restore_at_ = now_ + restore_pause_;
    if (role_ == Role::storage_failed) return;
    if (role_ == Role::primary) hand_over();
    lose_turn();
    drop_orders();
    change_role(Role::storage_failed, "save-refused");
}

// At no point on the way does the disk call a state complete that may be an older one than was vouched for:
// where its register does not say so yet, it says so only behind the state.
void Replica::restore() {
    if (!outstanding_.empty() || now_ < restore_at_) return;
    WitnessRegister first = register_;
    first.intact = register_.intact && disk_intact_;
    issue(first, true);
    issue(state_);
    if (first != register_) issue(register_);
    register_unsaved_ = false;
    after_saves(Restored{});
}

void Replica::carry_out(const Restored&) {
    if (role_ != Role::storage_failed) return;
    restore_pause_ = Time{0};
    change_role(Role::backup, "disk-takes-records");
}

void Replica::carry_out(const Send& send) { actions_->emplace_back(send); }

// A disk that stalls is as good as lost while it does: what it was given may never be durable.
bool Replica::disk_answers() const {
    return outstanding_.empty() || now_ - disk_progress_ <= options_.timing.disk_silent;
}

bool Replica::can_vote() const {
    const bool knows = role_ != Role::loading && role_ != Role::recovering && role_ != Role::storage_failed;
    return has_register_ && knows && disk_answers();
}

} // namespace willowrill::replication
