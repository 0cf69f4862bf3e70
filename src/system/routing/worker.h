// The state that this scheduler keeps about a worker.
#pragma once

#include "system/discovery/instances.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace willowrill::routing {

using Time = std::chrono::milliseconds; // of the steady clock

// The load that a worker reported to the scheduler that probes it.
struct LoadReport {
    Time as_of{0}; // dispatches sent up to this time are included
    std::size_t active = 0;
    std::size_t queued = 0;
    std::uint64_t cache_used = 0;  // tokens
    std::uint64_t cache_total = 0; // tokens; 0: the worker has no cache
    bool responsive = true;        // false: several probes in a row got no answer
};

// A request that this scheduler sent to the worker.
struct Dispatch {
    Time sent_at{0};
    double load_increment = 0;
};

// A worker as this scheduler knows it: its entry in the platform's instance list, its last load report (the
// source of L), the requests dispatched since that report (the source of X) and its recent failures. Not
// thread-safe.
struct Worker {
    discovery::Instance instance;
    std::optional<Time> warming_until;
    std::optional<LoadReport> load_report;
    std::deque<Dispatch> dispatches; // sent after the load report, oldest first; their increments add up to X
    std::size_t in_flight = 0;       // requests of this scheduler
    std::optional<Time> ejected_until; // set after a request of this scheduler failed
    int consecutive_failures = 0;
    std::optional<Time> saturated_until; // set after the worker rejected a request
    bool replaced = false; // another instance has taken over its address, so this id never returns to service

    // Returns L: the highest of the share of the capacity in use, the share of the cache that cannot be
    // evicted (both as reported) and the share of the capacity that this scheduler's own requests take.
    double reported_load() const;
    // Returns X: the load of the dispatches that the load report does not include yet.
    double dispatch_degradation() const;

    // Applies a load report and drops the dispatches that it includes. A report that is not newer than the
    // current one is ignored.
    void apply_report(const LoadReport& fresh);
    void record_dispatch(Time now, double load_increment);
    // Ends the ejection of the worker.
    void record_success();
    // Ejects the worker, for longer with each consecutive failure.
    void record_failure(Time now);
    // Records that the worker rejected a request because it was at capacity.
    void record_rejection(Time now);
    // Extends the warm-up to `until`; never shortens it.
    void extend_warming(Time until);

    bool is_ejected(Time now) const {
        return now < ejected_until || (load_report && !load_report->responsive);
    }
    bool is_saturated(Time now) const { return now < saturated_until; }
    bool is_warming(Time now) const { return now < warming_until; }
};

} // namespace willowrill::routing
