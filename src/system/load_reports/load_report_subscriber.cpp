#include "system/load_reports/load_report_subscriber.h"

#include <algorithm>

namespace willowrill::load_reports {

void LoadReportSubscriber::apply(const LoadReportUpdate& update, routing::Workers& workers) {
    if (update.unchanged_as_of)
        for (auto& [id, report] : published_)
            if (!update.stale.contains(id)) report.as_of = std::max(report.as_of, *update.unchanged_as_of);
    for (const std::string& id : update.removed)
        published_.erase(id);
    for (const auto& [id, report] : update.reports)
        if (published_.contains(id) || published_.size() < max_published_workers) published_[id] = report;
    for (const auto& [id, report] : published_)
        if (const auto worker = workers.find(id); worker != workers.end())
            worker->second.apply_report(report);
}

} // namespace willowrill::load_reports
