// A core simulated in virtual time: the real replication, order and session code of each member and
// scheduler, with disks, links, clocks and operators that are models. One seed replays a whole run. What is
// checked is what operators and schedulers saw, and that members agree on what was committed; no member's own
// word counts.
#pragma once

#include "system/simulation/history.h"
#include "system/simulation/scenario.h"

namespace willowrill::simulation {

// Plays one run to its end and judges it. Deterministic by the scenario and its seed.
Outcome run(const Scenario& scenario);

} // namespace willowrill::simulation
