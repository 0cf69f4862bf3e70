#include "system/routing/worker.h"

#include "common/policy/score.h"

#include <algorithm>

namespace willowrill::routing {
namespace {

constexpr Time first_rest{500};
constexpr Time longest_rest{4000};
constexpr Time full_rest{150};

} // namespace

// The share of the places taken, or of the memory that cannot give way, whichever is higher.
double Worker::load() const {
    const auto capacity = static_cast<double>(std::max<std::size_t>(1, instance.capacity));
    const double own = static_cast<double>(in_flight) / capacity;
    if (!load_report) return own;
    double out = static_cast<double>(load_report->active + load_report->queued) / capacity;
    if (load_report->cache_total > 0)
        out = std::max(out, static_cast<double>(load_report->cache_used) /
                                static_cast<double>(load_report->cache_total));
    return std::max(out, own);
}

double Worker::degradation() const {
    double out = 0;
    for (const Dispatch& dispatch : dispatches)
        out = policy::degraded(out, dispatch.step);
    return out;
}

void Worker::apply_report(const LoadReport& fresh) {
    if (load_report && fresh.as_of <= load_report->as_of) return;
    load_report = fresh;
    while (!dispatches.empty() && dispatches.front().at <= fresh.as_of)
        dispatches.pop_front();
}

void Worker::note_dispatch(Time now, double step) {
    constexpr std::size_t most_dispatches = 256; // older ones are long at work
    dispatches.push_back({now, step});
    if (dispatches.size() > most_dispatches) dispatches.pop_front();
}

void Worker::note_success() {
    failures = 0;
    ejected_until = Time{-1};
}

void Worker::note_failure(Time now) {
    const Time rest = std::min(longest_rest, first_rest * (1 << std::min(failures, 3)));
    ++failures;
    ejected_until = now + rest;
}

void Worker::note_full(Time now) { saturated_until = now + full_rest; }

} // namespace willowrill::routing
