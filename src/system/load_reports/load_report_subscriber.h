// Receives load reports from another scheduler.
#pragma once

#include "system/load_reports/load_report_messages.h"
#include "system/routing/selector.h"
#include "system/routing/worker.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::load_reports {

inline constexpr std::size_t max_published_workers = 65536;

// The reports published by one publisher on one connection. Each connection needs a new subscriber, because
// its first update is a snapshot. Not thread-safe.
class LoadReportSubscriber {
  public:
    // Applies an update and passes the reports on to `workers`. Reports of workers that are not in `workers`
    // yet are kept and passed on by a later call.
    void apply(const LoadReportUpdate& update, routing::Workers& workers);

  private:
    std::map<std::string, routing::LoadReport> published_; // by instance id; up to `max_published_workers`
};

} // namespace willowrill::load_reports
