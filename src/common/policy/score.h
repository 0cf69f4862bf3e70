// Score of PLUD (Priority Least Used with Degradation): L + I + X, see docs/scheduler/design.md. This is the
// only implementation; the scheduler (src/scheduler/dispatcher) and the data plane (src/system/routing) share
// it. Pure functions.
#pragma once

namespace willowrill::policy {

// Score of a worker; the worker with the lowest score is selected. `load`: L + X, the last reported load plus
// the load dispatched since, as fractions of the worker's capacity. `tier_increment`: I, which depends on the
// worker's tier.
constexpr double plud_score(double load, double tier_increment) { return load + tier_increment; }

// Returns X after one more dispatch that adds `load_increment`.
constexpr double degradation_after(double degradation, double load_increment) {
    return degradation + load_increment;
}

} // namespace willowrill::policy
