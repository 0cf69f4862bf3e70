// What a replica knows of its disk: the saves in flight, what is deferred until they are durable, whether the
// disk answers at all, and when to write the records anew after it refused one. Does not know what the
// records mean, but for one fact of the register. One thread.
//
// Saves are answered in the order in which they were issued. Whatever vouches for a record is deferred behind
// all saves issued so far; a refused save drops all that is deferred.
#pragma once

#include "system/replication/actions.h"
#include "system/replication/deferred_action.h"
#include "system/replication/timing.h"

#include <deque>
#include <optional>

namespace willowrill::replication {

class Durability {
  public:
    // `restoration`: the first save after a failure, which the disk is to look at again.
    enum class Purpose { ordinary, restoration };

    explicit Durability(const Timing& timing);

    // The action that asks the disk to store this.
    Save issue(Time now, DiskRecord record, Purpose purpose = Purpose::ordinary);
    // Every save was answered.
    bool idle() const { return in_flight_.empty(); }

    // Behind the newest save. Not to be called while idle: nothing would bring it up again.
    void defer(DeferredAction action);

    // The disk has answered the oldest save in flight; false for an answer to any other, which means nothing.
    bool on_saved(Time now, SaveId id);
    bool on_refused(Time now, SaveId id);
    // The next action that waited for this save or an earlier one, to be carried out before the next is asked
    // for.
    std::optional<DeferredAction> take_due(SaveId durable);

    // False for a disk that stalls: it is as good as lost while it does.
    bool answers(Time now) const;

    // Whether the records may be written anew now.
    bool may_restore(Time now) const { return idle() && now >= restore_at_; }
    void on_restored() { restore_backoff_ = Time{0}; }

    // Whether the register that is surely on disk calls the state beside it complete.
    bool durably_complete() const { return durably_complete_; }
    void set_durably_complete(bool complete) { durably_complete_ = complete; }

    // Shows a visitor all that decides what happens next: `visitor(fields...)`. For searches through states
    // (src/system/verification); counters are shown as distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(in_flight_.size());
        for (const InFlightSave& save : in_flight_)
            visitor(last_id_ - save.id, save.complete);
        visitor(deferred_.size());
        for (const Deferred& deferred : deferred_)
            visitor(last_id_ - deferred.after, deferred.action);
        visitor(durably_complete_, progress_at_, restore_at_, restore_backoff_.count());
    }

  private:
    struct InFlightSave {
        SaveId id = 0;
        std::optional<bool> complete; // as the register to be saved says; none for a state
    };
    struct Deferred {
        SaveId after = 0;
        DeferredAction action;
    };

    bool finish(Time now, SaveId id);

    Time disk_timeout_;
    Time restore_backoff_first_, restore_backoff_max_;
    SaveId last_id_ = 0;
    bool durably_complete_ = false;
    std::deque<InFlightSave> in_flight_; // bounded: each message of a peer asks for two at the most
    std::deque<Deferred> deferred_;
    Time progress_at_{0}; // when the disk last answered, or was first asked after it had answered all
    Time restore_at_{0};
    Time restore_backoff_{0};
};

} // namespace willowrill::replication
