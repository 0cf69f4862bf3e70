// One worker as this scheduler knows it: what the platform lists, what its last report said (L), what was
// dispatched since (X), and what failed. Pure.
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
    std::uint64_t cache_used = 0;
    std::uint64_t cache_total = 0;
    bool answered = true; // false: the prober got no answer, several times in a row
};

struct Dispatch {
    Time at{0};
    double step = 0;
};

struct Worker {
    discovery::Instance instance;
    Time warming_until{-1};
    std::optional<LoadReport> load_report;
    std::deque<Dispatch> dispatches; // not shown by the report yet; their steps are X
    std::size_t in_flight = 0;       // of this scheduler's requests
    Time ejected_until{-1};          // failed to answer this scheduler
    int failures = 0;                // in a row
    Time saturated_until{-1};        // turned a request away
    bool replaced = false; // another instance answers at its address: it never comes back under this id

    double load() const;
    double degradation() const;
    // A fresh report clears what it shows of X.
    void apply_report(const LoadReport& fresh);
    void note_dispatch(Time now, double step);
    void note_success();
    void note_failure(Time now);
    void note_full(Time now);
    bool ejected(Time now) const { return now < ejected_until || (load_report && !load_report->answered); }
};

} // namespace willowrill::routing
