#include "system/routing/worker.h"

#include "common/policy/score.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

constexpr Time initial_ejection{500};
constexpr Time max_ejection{4000};
constexpr int max_ejection_doublings = 3;
constexpr Time saturation_time{150};
constexpr std::size_t max_dispatches = 256; // older ones have long been started

} // namespace

double Worker::reported_load() const {
    const auto capacity = static_cast<double>(std::max<std::size_t>(1, instance.capacity));
    const double own = static_cast<double>(in_flight) / capacity;
    if (!load_report) return own;
    double out = static_cast<double>(load_report->active + load_report->queued) / capacity;
    if (load_report->cache_total > 0)
        out = std::max(out, static_cast<double>(load_report->cache_used) /
                                static_cast<double>(load_report->cache_total));
    return std::max(out, own);
}

double Worker::dispatch_degradation() const {
    double out = 0;
    for (const Dispatch& dispatch : dispatches)
        out = policy::degradation_after(out, dispatch.load_increment);
    return out;
}

void Worker::apply_report(const LoadReport& fresh) {
    if (load_report && fresh.as_of <= load_report->as_of) return;
    load_report = fresh;
    while (!dispatches.empty() && dispatches.front().at <= fresh.as_of)
        dispatches.pop_front();
}

void Worker::record_dispatch(Time now, double load_increment) {
    dispatches.push_back({now, load_increment});
    if (dispatches.size() > max_dispatches) dispatches.pop_front();
}

void Worker::record_success() {
    failures = 0;
    ejected_until.reset();
}

void Worker::record_failure(Time now) {
    const int doublings = std::min(failures, max_ejection_doublings);
    ejected_until = now + std::min(max_ejection, initial_ejection * (1 << doublings));
    ++failures;
}

void Worker::record_rejection(Time now) { saturated_until = now + saturation_time; }

void Worker::extend_warming(Time until) { warming_until = std::max(warming_until.value_or(until), until); }

} // namespace willowrill::routing
