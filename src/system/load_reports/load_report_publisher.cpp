#include "system/load_reports/load_report_publisher.h"

#include <algorithm>
#include <cstdint>

namespace willowrill::load_reports {
namespace {

using routing::LoadReport;
using routing::Time;

// Of the capacity or of the cache: smaller differences of load change no selection worth the bytes.
constexpr std::size_t published_fractions = 32;
// A report older than that is not confirmed together with the others: its worker may have gone silent.
constexpr Time max_confirmed_age{1000};

bool differ_by(std::uint64_t a, std::uint64_t b, std::uint64_t threshold) {
    const std::uint64_t difference = a > b ? a - b : b - a;
    return difference >= std::max<std::uint64_t>(1, threshold);
}

} // namespace

bool differs_materially(const LoadReport& published, const LoadReport& fresh, std::size_t capacity) {
    if (published.responsive != fresh.responsive) return true;
    if (published.cache_total != fresh.cache_total) return true;
    if (differ_by(published.active + published.queued, fresh.active + fresh.queued,
                  capacity / published_fractions))
        return true;
    return fresh.cache_total > 0 &&
           differ_by(published.cache_used, fresh.cache_used, fresh.cache_total / published_fractions);
}

LoadReportUpdate LoadReportPublisher::delta(Time now, const std::string& service,
                                            const std::map<std::string, const routing::Worker*>& workers) {
    LoadReportUpdate update;
    update.service = service;
    remove_unlisted(workers, update);
    for (const auto& [id, worker] : workers) {
        if (!worker->load_report || confirm(now, id, *worker, update)) continue;
        published_[id] = *worker->load_report;
        update.reports[id] = *worker->load_report;
    }
    return update;
}

void LoadReportPublisher::remove_unlisted(const std::map<std::string, const routing::Worker*>& workers,
                                          LoadReportUpdate& update) {
    std::erase_if(published_, [&](const auto& item) {
        if (workers.contains(item.first)) return false;
        update.removed.insert(item.first);
        return true;
    });
}

bool LoadReportPublisher::confirm(Time now, const std::string& id, const routing::Worker& worker,
                                  LoadReportUpdate& update) {
    const LoadReport& fresh = *worker.load_report;
    const auto published = published_.find(id);
    if (published == published_.end()) return false;
    if (differs_materially(published->second, fresh, worker.instance.capacity)) return false;
    published->second.as_of = fresh.as_of;
    if (now - fresh.as_of > max_confirmed_age)
        update.stale.insert(id);
    else
        update.unchanged_as_of = std::min(update.unchanged_as_of.value_or(fresh.as_of), fresh.as_of);
    return true;
}

LoadReportUpdate LoadReportPublisher::snapshot(const std::string& service) const {
    LoadReportUpdate update;
    update.service = service;
    update.reports = published_;
    return update;
}

} // namespace willowrill::load_reports
