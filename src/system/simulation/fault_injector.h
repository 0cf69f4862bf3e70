// Brings about the faults of a run at random times: processes, machines, disks, links and settings fail, and
// come back. One thread.
#pragma once

#include "system/simulation/operators.h"
#include "system/simulation/stability_monitor.h"

#include <functional>

namespace willowrill::simulation {

class FaultInjector {
  public:
    FaultInjector(const Scenario& scenario, Environment& environment, Machines& machines,
                  StabilityMonitor& monitor, Operators& operators);

    // Faults happen from now on, one after the other.
    void start();
    // No new ones; those that have begun end in their time.
    void stop() { over_ = true; }
    // At the end of a run: everyone loses power, and as many as are tolerated their disks.
    void inject_final_fault();
    // Ends everything that is wrong, and starts whoever is not running.
    void heal();

  private:
    void end_after(Time duration, std::function<void()> end);
    void schedule_fault();
    Time some_duration();
    void inject();
    void stop_for(Member& member, Time duration, bool power_lost);
    void kill_one(Time duration);
    void lose_power_of_one(Time duration);
    void wipe_one(Time duration);
    void lose_one_ring(Time duration);
    void freeze_one(Time duration);
    void cut_pair(NodeId one, NodeId other, bool out, bool in);
    void cut_off(Member& member, Time duration, bool out, bool in, bool from_schedulers);
    void heal_node(NodeId node);
    void cut_off_one(Time duration);
    void cut_one_way(Time duration);
    void split_halves(Time duration);
    void reset_one(Time);
    void restart_scheduler(Time duration);
    void cut_scheduler(Time duration);
    void roll_one(Time);
    void turn_over_seeds(Time);
    void replace_planned(Time);
    void replace_unplanned(Time);
    void replace_two_beside_a_cut(Time);
    Member& add_successor();
    void change_version(Time duration);
    void roll_out(Member& member);
    void refuse_saves(Time duration);
    void stall_disk(Time duration);
    void slow_disk(Time duration);
    void kill_all(Time);
    void kill_some(Time);
    void lose_all_power(Time duration);

    const Scenario& scenario_;
    Environment& environment_;
    EventQueue& queue_;
    Network& network_;
    History& history_;
    Machines& machines_;
    StabilityMonitor& monitor_;
    Operators& operators_;
    Time next_fault_at_{0}; // not before, as a fault that takes several steps goes on
    bool over_ = false;
};

} // namespace willowrill::simulation
