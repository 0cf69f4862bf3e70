#include "system/routing/worker.h"

#include "common/policy/score.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

constexpr Time initial_ejection_time{500};
constexpr Time max_ejection_time{4000};
constexpr int max_ejection_doublings = 3;
constexpr Time saturation_time{150};
constexpr std::size_t max_dispatches = 256; // the worker has long started to process older ones

} // namespace

double Worker::reported_load() const {
    const auto capacity = static_cast<double>(std::max<std::size_t>(1, instance.capacity));
    const double own_load = static_cast<double>(in_flight) / capacity;
    if (!load_report) return own_load;
    double load = static_cast<double>(load_report->active + load_report->queued) / capacity;
    if (load_report->cache_total > 0)
        load = std::max(load, static_cast<double>(load_report->cache_used) /
                                  static_cast<double>(load_report->cache_total));
    return std::max(load, own_load);
}

double Worker::dispatch_degradation() const {
    double degradation = 0;
    for (const Dispatch& dispatch : dispatches)
        degradation = policy::degradation_after(degradation, dispatch.load_increment);
    return degradation;
}

void Worker::apply_report(const LoadReport& fresh) {
    if (load_report && fresh.as_of <= load_report->as_of) return;
    load_report = fresh;
    while (!dispatches.empty() && dispatches.front().sent_at <= fresh.as_of)
        dispatches.pop_front();
}

void Worker::record_dispatch(Time now, double load_increment) {
    dispatches.push_back({now, load_increment});
    if (dispatches.size() > max_dispatches) dispatches.pop_front();
}

void Worker::record_success() {
    consecutive_failures = 0;
    ejected_until.reset();
}

void Worker::record_failure(Time now) {
    const int doublings = std::min(consecutive_failures, max_ejection_doublings);
    ejected_until = now + std::min(max_ejection_time, initial_ejection_time * (1 << doublings));
    ++consecutive_failures;
}

void Worker::record_rejection(Time now) { saturated_until = now + saturation_time; }

void Worker::extend_warming(Time until) { warming_until = std::max(warming_until.value_or(until), until); }

} // namespace willowrill::routing
