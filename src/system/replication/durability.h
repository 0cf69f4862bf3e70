// Tracks a replica's disk: saves in flight, actions deferred until those saves are durable, whether the disk
// responds, and when to rewrite the records after a failed save. Does not interpret the records, except for
// `WitnessRegister::complete`. Not thread-safe.
//
// Saves are answered in the order in which they were issued. An action that confirms a record to another
// member is deferred until all saves issued so far are durable; a failed save discards all deferred actions.
#pragma once

#include "system/replication/actions.h"
#include "system/replication/deferred_action.h"
#include "system/replication/timing.h"

#include <deque>
#include <optional>

namespace willowrill::replication {

class Durability {
  public:
    // `restoration`: the first save after a failure, which tells the caller to accept saves again.
    enum class Purpose { ordinary, restoration };

    explicit Durability(const Timing& timing);

    // Registers a new save and returns the action that makes the caller store the record.
    Save issue(Time now, DiskRecord record, Purpose purpose = Purpose::ordinary);
    // Whether every save has been answered.
    bool idle() const { return in_flight_.empty(); }

    // Defers an action until the newest save is durable. Must not be called while `idle()`: no answer would
    // ever release the action.
    void defer(DeferredAction action);

    // Handle the disk's answer to a save. Return false, without effect, unless `id` is the oldest save in
    // flight.
    bool on_saved(Time now, SaveId id);
    bool on_refused(Time now, SaveId id);
    // Removes and returns the next action that was deferred until this save or an earlier one. The caller
    // executes each action before it takes the next one.
    std::optional<DeferredAction> take_ready(SaveId durable);

    // False while saves are in flight and none has been answered for longer than the disk timeout. A stalled
    // disk is treated like a failed one.
    bool is_responsive(Time now) const;

    // Whether the records may be rewritten now: no save is in flight and the backoff has passed.
    bool may_restore(Time now) const { return idle() && now >= restore_at_; }
    void on_restored() { restore_backoff_ = Time{0}; }

    // Whether the newest register known to be durable marks the replicated state as complete.
    bool durably_complete() const { return durably_complete_; }
    void set_durably_complete(bool complete) { durably_complete_ = complete; }

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(in_flight_.size());
        for (const InFlightSave& save : in_flight_)
            visitor(last_id_ - save.id, save.complete);
        visitor(deferred_.size());
        for (const Deferred& deferred : deferred_)
            visitor(last_id_ - deferred.after, deferred.action);
        visitor(durably_complete_, last_progress_at_, restore_at_, restore_backoff_.count());
    }

  private:
    struct InFlightSave {
        SaveId id = 0;
        std::optional<bool> complete; // `WitnessRegister::complete` of a saved register; empty for a state
    };
    struct Deferred {
        SaveId after = 0;
        DeferredAction action;
    };

    bool acknowledge_oldest(Time now, SaveId id);

    Time disk_timeout_;
    Time restore_backoff_first_, restore_backoff_max_;
    SaveId last_id_ = 0;
    bool durably_complete_ = false;
    std::deque<InFlightSave> in_flight_; // bounded: a peer's message causes at most two saves
    std::deque<Deferred> deferred_;
    Time last_progress_at_{0}; // last answer, or the first save issued while idle
    Time restore_at_{0};
    Time restore_backoff_{0};
};

} // namespace willowrill::replication
