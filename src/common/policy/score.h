// The score of PLUD (Priority Least Used with Degradation), docs/scheduler/design.md: L + I + X. The one
// implementation, used by the scheduler in service (src/scheduler/dispatcher) and by the data plane of the
// whole system (src/system/routing). Pure.
#pragma once

namespace willowrill::policy {

// The score of a worker: the lowest one is selected. `load`: L and X together, the last report and own
// dispatches since, each as a share of the worker's capacity. `tier_increment`: I, set by the worker's tier.
constexpr double plud_score(double load, double tier_increment) { return load + tier_increment; }

// X after one more dispatch that adds `load_increment`.
constexpr double degradation_after(double degradation, double load_increment) {
    return degradation + load_increment;
}

} // namespace willowrill::policy
