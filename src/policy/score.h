// The score of PLUD (Priority Least Used with Degradation), docs/design.md: L + I + X. Shared by the module
// of the present scheduler (src/rules.cpp) and the data plane of the whole system. Pure; no state, no clock.
#pragma once

#include <limits>

namespace willowrill::policy {

// One worker as one scheduler sees it. All terms are shares of the worker's capacity.
struct Score {
    double load = 0;        // L, the last reported load
    double increment = 0;   // I, set by the worker's tier
    double degradation = 0; // X, own dispatches since the last fresh report

    constexpr double total() const { return load + increment + degradation; }
};

// What one dispatch adds to X.
constexpr double degraded(double degradation, double increment) { return degradation + increment; }

inline constexpr double unreachable = std::numeric_limits<double>::infinity();

} // namespace willowrill::policy
