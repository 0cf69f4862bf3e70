// `willowrill-lab capacity`: from the table of a scale run, the slopes and what they come to at a given size,
// as Markdown tables and a plot.
#pragma once

#include <cstddef>
#include <string>

namespace willowrill::lab {

struct CapacityOptions {
    std::string in = "scale.csv", folder = "."; // of capacity.md and capacity.svg
    std::size_t schedulers = 370, workers = 910;
    std::size_t resamples = 2000; // of the bootstrap
};

// 0 once both files are written; 1, with one line on standard error, where the table is none of a scale run.
int run(const CapacityOptions& options);

} // namespace willowrill::lab
