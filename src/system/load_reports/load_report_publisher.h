// Publishes load reports to other schedulers.
#pragma once

#include "system/load_reports/load_report_messages.h"
#include "system/routing/worker.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::load_reports {

// Returns whether a scheduler might select another worker if it knew `fresh` instead of `published`.
// `capacity`: number of requests that the worker processes concurrently.
bool differs_materially(const routing::LoadReport& published, const routing::LoadReport& fresh,
                        std::size_t capacity);

// The state published to the subscribers of one service and scope; all of them receive the same updates. A
// report is published again only if it differs materially from the one published last. The other reports are
// confirmed together by a single time. Not thread-safe.
class LoadReportPublisher {
  public:
    // Returns the next update for all subscribers and marks it as published. `workers`: all workers to
    // publish, by instance id.
    LoadReportUpdate delta(routing::Time now, const std::string& service,
                           const std::map<std::string, const routing::Worker*>& workers);
    // Returns the published state for a new subscriber. The next delta applies to it.
    LoadReportUpdate snapshot(const std::string& service) const;

  private:
    // Removes the published reports of workers that are not in `workers` and adds them to `update`.
    void remove_unlisted(const std::map<std::string, const routing::Worker*>& workers,
                         LoadReportUpdate& update);
    // If the worker's report does not differ materially from the published one, marks it in `update` as
    // unchanged, or as stale if it is old, and returns true.
    bool confirm_if_unchanged(routing::Time now, const std::string& instance_id,
                              const routing::Worker& worker, LoadReportUpdate& update);

    std::map<std::string, routing::LoadReport> published_; // by instance id; listed workers only
};

} // namespace willowrill::load_reports
