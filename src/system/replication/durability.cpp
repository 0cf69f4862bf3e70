#include "system/replication/durability.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

Durability::Durability(const Timing& timing)
    : disk_timeout_(timing.disk_timeout), restore_backoff_first_(timing.restore_backoff_first),
      restore_backoff_max_(timing.restore_backoff_max) {}

Save Durability::issue(Time now, DiskRecord record, Purpose purpose) {
    if (idle()) last_progress_at_ = now;
    const auto* saved = std::get_if<WitnessRegister>(&record);
    in_flight_.push_back({++last_id_, saved ? std::optional(saved->complete) : std::nullopt});
    return Save{last_id_, std::move(record), purpose == Purpose::restoration};
}

void Durability::defer(DeferredAction action) { deferred_.push_back({last_id_, std::move(action)}); }

bool Durability::acknowledge_oldest(Time now, SaveId id) {
    if (in_flight_.empty() || in_flight_.front().id != id) return false;
    in_flight_.pop_front();
    last_progress_at_ = now;
    return true;
}

bool Durability::on_saved(Time now, SaveId id) {
    const std::optional<bool> complete = idle() ? std::nullopt : in_flight_.front().complete;
    if (!acknowledge_oldest(now, id)) return false;
    durably_complete_ = complete.value_or(durably_complete_);
    return true;
}

bool Durability::on_refused(Time now, SaveId id) {
    if (!acknowledge_oldest(now, id)) return false;
    deferred_.clear();
    restore_backoff_ = std::clamp(2 * restore_backoff_, restore_backoff_first_, restore_backoff_max_);
    restore_at_ = now + restore_backoff_;
    return true;
}

std::optional<DeferredAction> Durability::take_ready(SaveId durable) {
    if (deferred_.empty() || deferred_.front().after > durable) return std::nullopt;
    DeferredAction ready_action = std::move(deferred_.front().action);
    deferred_.pop_front();
    return ready_action;
}

bool Durability::is_responsive(Time now) const { return idle() || now - last_progress_at_ <= disk_timeout_; }

} // namespace willowrill::replication
