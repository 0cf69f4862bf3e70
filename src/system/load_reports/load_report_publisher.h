// The publishing end of load reports between schedulers: a report is published when it differs enough from
// the one published last to change a selection; for all others one time says how fresh they still are. Pure;
// one thread.
#pragma once

#include "system/load_reports/load_report_messages.h"
#include "system/routing/worker.h"

#include <cstddef>
#include <map>
#include <string>

namespace willowrill::load_reports {

// Whether schedulers that go by `published` might select otherwise if they knew `fresh`. `capacity`: how many
// requests the worker takes at once.
bool differs_materially(const routing::LoadReport& published, const routing::LoadReport& fresh,
                        std::size_t capacity);

// What the subscribers of one service and scope know, the same for all of them.
class LoadReportPublisher {
  public:
    // The next update for all subscribers; counts as published from now on. `workers`: all that subscribers
    // are to know of, by instance id.
    LoadReportUpdate delta(routing::Time now, const std::string& service,
                           const std::map<std::string, const routing::Worker*>& workers);
    // All that was published so far, for a new subscriber: the next delta applies to it.
    LoadReportUpdate snapshot(const std::string& service) const;

  private:
    void remove_unlisted(const std::map<std::string, const routing::Worker*>& workers,
                         LoadReportUpdate& update);
    // Confirms the published report of a worker where `fresh` is as good as the same.
    bool confirm(routing::Time now, const std::string& id, const routing::Worker& worker,
                 LoadReportUpdate& update);

    std::map<std::string, routing::LoadReport> published_; // by instance id, of listed workers alone
};

} // namespace willowrill::load_reports
