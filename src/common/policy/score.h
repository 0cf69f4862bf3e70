// The score of PLUD (Priority Least Used with Degradation), docs/scheduler/design.md: L + I + X. The one
// implementation, used by the module of the present scheduler (src/rules.cpp) and by the data plane of the
// whole system (src/routing). Pure.
#pragma once

namespace willowrill::policy {

// The score of a worker: the lowest one is picked. `load`: L and X together, the last report and own
// dispatches since, each as a share of the worker's capacity. `increment`: I, set by the worker's tier.
constexpr double total(double load, double increment) { return load + increment; }

// X after one more dispatch that adds `step`.
constexpr double degraded(double degradation, double step) { return degradation + step; }

} // namespace willowrill::policy
