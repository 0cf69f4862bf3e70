// The metrics of this process that the admin server exposes at /_vars.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace willowrill::admin {

struct ClassMetrics {
    std::string name;
    std::uint64_t served = 0, refused = 0, failed = 0;
};

struct Metrics {
    std::vector<ClassMetrics> classes; // all configured classes, including those without requests
    std::uint64_t attempts = 0;        // whose request was written completely to a worker
    std::size_t in_flight = 0, workers_known = 0, workers_excluded = 0;
};

std::string to_prometheus_text(const Metrics& metrics); // in the Prometheus text format

} // namespace willowrill::admin
