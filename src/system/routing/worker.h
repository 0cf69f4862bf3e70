// One worker as this scheduler knows it: what the platform lists, what its last report said (L), what was
// dispatched since (X), and what failed. All times are steady. Pure; one thread.
#pragma once

#include "system/discovery/instances.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace willowrill::routing {

using Time = std::chrono::milliseconds; // steady

// A worker's report of its load, as its prober passed it on.
struct LoadReport {
    Time as_of{0}; // when the worker was in that state, at the latest
    std::size_t active = 0;
    std::size_t queued = 0;
    std::uint64_t cache_used = 0;  // tokens
    std::uint64_t cache_total = 0; // tokens; 0: the worker has no cache
    bool responsive = true;        // false: the prober got no answer, several times in a row
};

struct Dispatch {
    Time at{0};
    double load_increment = 0;
};

struct Worker {
    discovery::Instance instance;
    std::optional<Time> warming_until;
    std::optional<LoadReport> load_report;
    std::deque<Dispatch> dispatches;     // not shown by the report yet; their increments are X
    std::size_t in_flight = 0;           // of this scheduler's requests
    std::optional<Time> ejected_until;   // failed to answer this scheduler
    int failures = 0;                    // in a row
    std::optional<Time> saturated_until; // rejected a request
    bool replaced = false; // another instance answers at its address: it never comes back under this id

    // L: the share of the capacity in use, or of the cache that cannot be evicted, whichever is higher.
    double reported_load() const;
    // X: what the dispatches add that the report does not show yet.
    double dispatch_degradation() const;

    // An older report than the one known is ignored; a newer one clears what it shows of X.
    void apply_report(const LoadReport& fresh);
    void record_dispatch(Time now, double load_increment);
    void record_success();
    // Ejects the worker, for longer with each failure in a row.
    void record_failure(Time now);
    // The worker rejected a request for want of capacity.
    void record_rejection(Time now);
    // Warming up lasts until then, or longer where that is known already.
    void extend_warming(Time until);

    bool is_ejected(Time now) const {
        return now < ejected_until || (load_report && !load_report->responsive);
    }
    bool is_saturated(Time now) const { return now < saturated_until; }
    bool is_warming(Time now) const { return now < warming_until; }
};

} // namespace willowrill::routing
