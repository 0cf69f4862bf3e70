// `willowrill-lab spread`: experiments played over seeds and ways, into a table.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace willowrill::lab {

struct SpreadOptions {
    std::vector<std::string> files;          // experiments, YAML
    std::vector<std::string> ways{"module"}; // `spread::Way` by name
    std::vector<std::size_t> schedulers,
        workers;             // sizes in place of the files'; none: as the files have them
    std::uint64_t seeds = 3; // 1 to this, in place of the files'
    std::string out = "spread.csv";
    std::string program; // willowrilld: with real processes, in place of the ways
};

// The exit code: 0, or 1 where some rule was broken. Throws BadExperiment and std::runtime_error.
int run(const SpreadOptions& options, const std::function<void(const std::string&)>& progress);

} // namespace willowrill::lab
