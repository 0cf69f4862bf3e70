// What operators read at /_vars, and how it is written.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace willowrill::admin {

struct ClassFigures {
    std::string name;
    std::uint64_t served = 0, refused = 0, failed = 0;
};

struct Figures {
    std::vector<ClassFigures> classes; // every known class, also those that nobody has asked for yet
    std::uint64_t attempts = 0;        // written whole to workers
    std::size_t in_flight = 0, workers_known = 0, workers_excluded = 0;
};

std::string to_text(const Figures& figures); // in the Prometheus text format

} // namespace willowrill::admin
