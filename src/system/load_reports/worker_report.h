// A worker's own account of its load, as it answers a load probe. Pure.
#pragma once

#include "system/routing/worker.h"

#include <optional>
#include <string_view>

namespace willowrill::load_reports {

// The load report in the body of a probe's response; empty where the body makes no sense. `as_of`: the steady
// time that the report stands for.
std::optional<routing::LoadReport> parse_worker_report(std::string_view body, routing::Time as_of);

} // namespace willowrill::load_reports
