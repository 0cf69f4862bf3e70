// Parses the load report in a worker's response to a load probe.
#pragma once

#include "system/routing/worker.h"

#include <optional>
#include <string_view>

namespace willowrill::load_reports {

// Parses the body of a probe response; returns nothing if it is malformed. `as_of`: the steady time up to
// which dispatches to the worker are included in the report.
std::optional<routing::LoadReport> parse_worker_report(std::string_view body, routing::Time as_of);

} // namespace willowrill::load_reports
