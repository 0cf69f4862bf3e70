// The model of a member's disk: a save lasts with its sync, may fail and be there all the same, may take
// seconds, and may be cut off by the end of the process or of the power.
#pragma once

#include "system/replication/replica.h"
#include "system/simulation/event_queue.h"

#include <deque>
#include <functional>
#include <optional>

namespace willowrill::simulation {

class Disk {
  public:
    using OnEvent = std::function<void(replication::Event)>; // Saved and SaveFailed, in the order of tickets

    explicit Disk(EventQueue& queue) : queue_(queue) {}

    // What a process that starts reads. It writes that anew, so that it is durable from then on.
    replication::Loaded load();
    // A new process: what the last one asked for and was not answered is forgotten.
    void attach(OnEvent on_event);
    void save(const replication::Save& request);

    // The process ends: what it was writing is there or not. Without power, so is what no sync has covered.
    void stop(bool power_lost);
    void wipe();
    void lose_registers() { durable_.witness_register.reset(), cached_ = durable_; }
    void lose_states() { durable_.state.reset(), cached_ = durable_; }

    Time sync_time{5};      // of one save
    Time stalled_until{0};  // nothing is answered before
    Time refusing_until{0}; // every save fails before
    // Deliberate breaks.
    bool forgets_registers = false; // registers never reach it, but for the first
    bool hides_failures = false;    // a refused save is answered as if it had been done

  private:
    void start_next();
    void finish();
    static void apply(replication::Loaded& to, const replication::DiskRecord& record);

    EventQueue& queue_;
    OnEvent on_event_;
    std::uint64_t incarnation_ = 0;
    bool busy_ = false;
    bool failed_ = false; // and not restored yet
    std::deque<replication::Save> requests_;
    replication::Loaded durable_; // survives a loss of power
    replication::Loaded cached_;  // as a process sees it
};

} // namespace willowrill::simulation
