// The members and schedulers of a run, those that were removed too. One thread.
#pragma once

#include "system/simulation/member.h"
#include "system/simulation/scenario.h"
#include "system/simulation/scheduler.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace willowrill::simulation {

inline constexpr std::size_t max_members = 24; // that ever run, replacements included

class Machines {
  public:
    Machines(const Scenario& scenario, Environment& environment);

    // All that ever ran, in the order of their start.
    std::deque<Member>& members() { return members_; }
    std::deque<Scheduler>& schedulers() { return schedulers_; }

    // Null where nobody ever had the id.
    Member* find(const MemberId& id);
    // A machine that was not there before; it is not started.
    Member& add_member(bool initial_start);
    // Those that were not removed.
    std::vector<Member*> present();
    std::vector<Member*> present_in_random_order();
    Member& random_member();
    Scheduler& random_scheduler();

  private:
    const Scenario& scenario_;
    Environment& environment_;
    std::deque<Member> members_;
    std::deque<Scheduler> schedulers_;
};

} // namespace willowrill::simulation
