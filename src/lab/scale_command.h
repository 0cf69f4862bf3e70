// `willowrill-lab scale`: each size of the scale run, written as CSV once all have been played.
#pragma once

#include "lab/scale/case.h"

#include <functional>
#include <string>
#include <vector>

namespace willowrill::lab {

struct ScaleOptions {
    std::vector<std::size_t> schedulers{10, 30, 100, 300}, workers{30, 100, 300, 500};
    // The other figure while one of them grows.
    std::size_t schedulers_held = 10, workers_held = 100;
    std::uint64_t seeds = 2;
    scale::Case base;
    std::string out = "scale.csv";
};

// The sizes to be played, in order: schedulers grow beside `workers_held`, then workers beside
// `schedulers_held`.
std::vector<scale::Case> cases(const ScaleOptions& options);

// 0 once the table is written; 1, with one line on standard error and no table, where a size is refused, a
// run fails or the command is interrupted.
int run(const ScaleOptions& options, const scale::Progress& progress);

} // namespace willowrill::lab
