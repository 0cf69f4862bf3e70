#include "system/simulation/disk.h"

#include <utility>

namespace willowrill::simulation {

using replication::DiskRecord;
using replication::Loaded;
using replication::WitnessRegister;

void Disk::apply(Loaded& to, const DiskRecord& record) {
    if (const auto* value = std::get_if<WitnessRegister>(&record))
        to.witness_register = *value;
    else
        to.state = std::get<replication::ReplicatedState>(record);
}

Loaded Disk::load() {
    durable_ = cached_;
    return cached_;
}

void Disk::attach(OnEvent on_event) {
    ++incarnation_;
    busy_ = false;
    failed_ = false;
    requests_.clear();
    on_event_ = std::move(on_event);
}

void Disk::save(const replication::Save& request) {
    requests_.push_back(request);
    if (!busy_) start_next();
}

void Disk::start_next() {
    if (requests_.empty()) return;
    busy_ = true;
    const Time stall = std::max(Time{0}, stalled_until - queue_.now());
    queue_.after(stall + sync_time, [this, incarnation = incarnation_] {
        if (incarnation == incarnation_) finish();
    });
}

void Disk::finish() {
    if (queue_.now() < stalled_until) return start_next(); // stalled meanwhile
    const replication::Save request = std::move(requests_.front());
    requests_.pop_front();
    busy_ = false;
    const bool is_state = std::holds_alternative<replication::ReplicatedState>(request.record);
    if (failed_ && !request.is_restoration && !hides_failures) {
        start_next();
        return on_event_(replication::SaveFailed{request.save_id});
    }
    const bool refused = queue_.now() < refusing_until;
    failed_ = refused;
    // A failed save may have reached the cache, and from there the disk, or not.
    const bool forgotten = forgets_registers && !is_state && durable_.witness_register;
    if (!forgotten && (!refused || queue_.chance() < 0.3)) apply(cached_, request.record);
    if (refused && queue_.chance() < 0.5) cached_ = durable_;
    if (!forgotten && !refused) apply(durable_, request.record);
    start_next();
    if (refused && !hides_failures) return on_event_(replication::SaveFailed{request.save_id});
    on_event_(replication::Saved{request.save_id});
}

void Disk::stop(bool power_lost) {
    ++incarnation_;
    // The one under way may be whole already; those behind it were not begun.
    if (!requests_.empty() && busy_ && queue_.chance() < 0.5) {
        apply(cached_, requests_.front().record);
        if (queue_.chance() < 0.5) durable_ = cached_;
    }
    requests_.clear();
    busy_ = false;
    on_event_ = nullptr;
    if (power_lost) cached_ = durable_;
}

void Disk::wipe() {
    durable_ = {};
    cached_ = {};
}

} // namespace willowrill::simulation
