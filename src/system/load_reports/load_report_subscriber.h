// The receiving end of load reports between schedulers. Pure; one thread.
#pragma once

#include "system/load_reports/load_report_messages.h"
#include "system/routing/selector.h"
#include "system/routing/worker.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::load_reports {

inline constexpr std::size_t max_published_workers = 65536;

// What one publisher has published on one connection. A new connection needs a new subscriber: its first
// update is a snapshot.
class LoadReportSubscriber {
  public:
    // Gives the reports to the workers known here. Those of workers that are not known yet are kept for when
    // they are.
    void apply(const LoadReportUpdate& update, routing::Workers& workers);

  private:
    std::map<std::string, routing::LoadReport> published_; // by instance id, at most `max_published_workers`
};

} // namespace willowrill::load_reports
