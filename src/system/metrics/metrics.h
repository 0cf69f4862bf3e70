// The metrics of a process, in Prometheus' text format. The closed list of what is measured is here, its
// names and labels in metrics.cpp; prometheus-cpp keeps the values. One thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace willowrill::metrics {

// Counters.
enum class Total {
    requests,            // of clients, by outcome
    attempts,            // requests sent to workers, by outcome
    refusals,            // answers that nothing has run, by reason
    choices,             // of a worker, by its tier
    passed_over,         // workers that were not considered for a choice, by reason
    shared_tokens,       // of prompts sent, by whether to the worker that is to hold their parts
    probes,              // by kind
    connections,         // to workers, opened
    internal_bytes,      // sent to other processes of the system, by kind and by what they cross
    internal_messages,   // likewise
    orders,              // of operators, by kind and status
    platform_calls,      // by result
    refused_sessions,    // with other processes of the system, by what the peer is and by who refused
    skipped_messages,    // of other processes that were not understood, by what the peer is
    unknown_fields,      // of messages that were understood but for these, by what the peer is
    held_back,           // messages not sent, as the peer has not announced their feature
    states_sent,         // replicated states sent to core members, by whether whole or as a delta
    missing_bases,       // deltas of states that could not be applied
    discarded_responses, // of workers, that were not passed on to a client, by reason
    responses_not_held,  // of workers, that were passed on as they came, as there was no memory to hold them
    abandoned_responses, // of workers, that were not read to their end, by part and reason
    silences,            // of workers that have a request, by what came of asking another one
    ended_silences,      // of workers that went on with their response
    sends_after_change,  // to workers, of requests that began with an older state, by the choice's state
};

// Histograms of times.
enum class Duration {
    first_event_wait, // of answered attempts, by tier and by whether it was the first attempt
    reading_age,      // of the load reading that a choice went by
    order_wait,       // of operators' orders, by kind
};

// Gauges.
enum class Level {
    sessions,
    is_primary,
    epoch,
    workers,
    members,
    cluster_version,
    max_version,
    dropped_log_lines, // since the process started
    resident_bytes,
    open_descriptors,
    input_bytes // held of what came in and is not done with
};

// Where a message goes, seen from its sender.
enum class Crossing { none, zone, region, unknown };
Crossing crossing(std::string_view zone, std::string_view region, std::string_view other_zone,
                  std::string_view other_region);
const char* name_of(Crossing crossing);

class Metrics {
  public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // `first`, `second`: label values in the order of the table; a counter with one label leaves the second
    // empty.
    void add(Total total, std::string_view first = {}, std::string_view second = {}, double amount = 1);
    void observe(Duration duration, std::chrono::milliseconds value, std::string_view first = {},
                 std::string_view second = {});
    void set(Level level, double value);

    // All of it, in Prometheus' text format.
    std::string text() const;

  private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace willowrill::metrics
