#include "system/load_reports/load_report_publisher.h"

#include <algorithm>
#include <cstdint>

namespace willowrill::load_reports {
namespace {

using routing::LoadReport;
using routing::Time;

// A load that differs by at least 1/32 of the capacity or of the cache is published again. Smaller
// differences change no selection enough to be worth the bandwidth.
constexpr std::size_t material_difference_divisor = 32;
// An older report is not confirmed together with the others, because its worker may have stopped responding.
constexpr Time max_confirmed_age{1000};

bool differ_by_at_least(std::uint64_t a, std::uint64_t b, std::uint64_t threshold) {
    const std::uint64_t difference = a > b ? a - b : b - a;
    return difference >= std::max<std::uint64_t>(1, threshold);
}

} // namespace

bool differs_materially(const LoadReport& published, const LoadReport& fresh, std::size_t capacity) {
    if (published.responsive != fresh.responsive) return true;
    if (published.cache_total != fresh.cache_total) return true;
    if (differ_by_at_least(published.active + published.queued, fresh.active + fresh.queued,
                           capacity / material_difference_divisor))
        return true;
    return fresh.cache_total > 0 && differ_by_at_least(published.cache_used, fresh.cache_used,
                                                       fresh.cache_total / material_difference_divisor);
}

LoadReportUpdate LoadReportPublisher::delta(Time now, const std::string& service,
                                            const std::map<std::string, const routing::Worker*>& workers) {
    LoadReportUpdate update;
    update.service = service;
    remove_unlisted(workers, update);
    for (const auto& [id, worker] : workers) {
        if (!worker->load_report || confirm_if_unchanged(now, id, *worker, update)) continue;
        published_[id] = *worker->load_report;
        update.reports[id] = *worker->load_report;
    }
    return update;
}

void LoadReportPublisher::remove_unlisted(const std::map<std::string, const routing::Worker*>& workers,
                                          LoadReportUpdate& update) {
    std::erase_if(published_, [&](const auto& entry) {
        if (workers.contains(entry.first)) return false;
        update.removed.insert(entry.first);
        return true;
    });
}

bool LoadReportPublisher::confirm_if_unchanged(Time now, const std::string& instance_id,
                                               const routing::Worker& worker, LoadReportUpdate& update) {
    const LoadReport& fresh = *worker.load_report;
    const auto published = published_.find(instance_id);
    if (published == published_.end()) return false;
    if (differs_materially(published->second, fresh, worker.instance.capacity)) return false;
    published->second.as_of = fresh.as_of;
    if (now - fresh.as_of > max_confirmed_age)
        update.stale.insert(instance_id);
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
