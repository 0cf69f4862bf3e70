// Watches the whole core from outside: how many disks count as lost, and, while it is stable, what schedulers
// in touch with it have in force. One thread.
#pragma once

#include "system/simulation/machines.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace willowrill::simulation {

class StabilityMonitor {
  public:
    StabilityMonitor(const Scenario& scenario, Environment& environment, Machines& machines);

    // Looks again and again from now on.
    void start();

    // A fault begins or ends.
    void note_event() { last_event_ = environment_.queue.now(); }
    // A member is away: the core has to be complete for a while from its return on.
    void note_member_lost() { complete_since_.reset(); }
    // Whether nothing has been wrong with the core for so long that it has made good all losses, and nobody
    // is about to leave.
    bool is_settled();
    // Whether another disk may be lost now; counts it as lost.
    bool may_lose_disk();

  private:
    bool is_healthy(Member& member) const;
    std::vector<Member*> deciding();
    bool is_complete();
    void watch();
    void check_schedulers();

    const Scenario& scenario_;
    Environment& environment_;
    Machines& machines_;
    Time last_event_{0};
    std::optional<Time> complete_since_;
    std::size_t disks_lost_ = 0; // and not made good yet
};

} // namespace willowrill::simulation
