#include "system/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

namespace willowrill::metrics {
namespace {

struct Description {
    const char* name;
    const char* help;
    const char* first_label;  // null: none
    const char* second_label; // null: none
};

// In the order of the enumerations.
constexpr std::array totals{
    Description{"willowrill_requests_total", "Requests of clients", "outcome", nullptr},
    Description{"willowrill_attempts_total", "Requests sent to workers", "outcome", nullptr},
    Description{"willowrill_refusals_total", "Answers that nothing has run", "reason", nullptr},
    Description{"willowrill_choices_total", "Choices of a worker", "tier", nullptr},
    Description{"willowrill_passed_over_total", "Workers not considered for a choice", "reason", nullptr},
    Description{"willowrill_shared_tokens_total", "Shared tokens of prompts sent", "sent_to", nullptr},
    Description{"willowrill_probes_total", "Questions to workers for their load", "kind", nullptr},
    Description{"willowrill_connections_total", "Connections opened to workers", nullptr, nullptr},
    Description{"willowrill_internal_bytes_total", "Bytes sent inside the system", "kind", "crossing"},
    Description{"willowrill_internal_messages_total", "Messages sent inside the system", "kind", "crossing"},
    Description{"willowrill_orders_total", "Orders of operators", "kind", "status"},
    Description{"willowrill_platform_calls_total", "Calls to the platform", "result", nullptr},
    Description{"willowrill_refused_sessions_total", "Sessions refused for their protocol version", "peer",
                "by"},
    Description{"willowrill_skipped_messages_total", "Messages that were not understood", "peer", nullptr},
    Description{"willowrill_unknown_fields_total", "Fields of messages that were not understood", "peer",
                nullptr},
    Description{"willowrill_held_back_messages_total", "Messages that the peer has not announced", nullptr,
                nullptr},
    Description{"willowrill_states_sent_total", "Replicated states sent to core members", "form", nullptr},
    Description{"willowrill_missing_state_bases_total", "Deltas of states that could not be applied", nullptr,
                nullptr},
    Description{"willowrill_discarded_responses_total", "Responses of workers that were not passed on",
                "reason", nullptr},
    Description{"willowrill_responses_not_held_total",
                "Responses passed on as they came, without memory to hold them", nullptr, nullptr},
    Description{"willowrill_abandoned_responses_total",
                "Responses of workers that were not read to their end", "part", "reason"},
    Description{"willowrill_silences_total", "Silences of workers that have a request", "other_attempt",
                nullptr},
    Description{"willowrill_ended_silences_total", "Silent workers that went on with their response", nullptr,
                nullptr},
    Description{"willowrill_sends_after_change_total",
                "Requests sent to workers after the state they began with was superseded", "chosen_by",
                nullptr},
};
constexpr std::array durations{
    Description{"willowrill_first_event_wait_seconds", "From sending to the first bytes of an answer", "tier",
                "attempt"},
    Description{"willowrill_reading_age_seconds", "Age of the load reading of a choice", nullptr, nullptr},
    Description{"willowrill_order_wait_seconds", "From an order to its answer", "kind", nullptr},
};
constexpr std::array levels{
    Description{"willowrill_sessions", "Schedulers that have a session here", nullptr, nullptr},
    Description{"willowrill_is_primary", "1 where this member is the primary", nullptr, nullptr},
    Description{"willowrill_epoch", "The newest epoch known", nullptr, nullptr},
    Description{"willowrill_workers", "Workers listed", nullptr, nullptr},
    Description{"willowrill_members", "Schedulers known", nullptr, nullptr},
    Description{"willowrill_cluster_version", "Lowest protocol version spoken in the cluster", nullptr,
                nullptr},
    Description{"willowrill_max_protocol_version", "Highest protocol version this program speaks", nullptr,
                nullptr},
    Description{"willowrill_dropped_log_lines", "Lines that the log could not take since the start", nullptr,
                nullptr},
    Description{"willowrill_resident_bytes", "Resident memory of the process", nullptr, nullptr},
    Description{"willowrill_open_descriptors", "Descriptors that the process has open", nullptr, nullptr},
    Description{"willowrill_input_bytes", "Memory reserved for what came in and is not done with", nullptr,
                nullptr},
};

const prometheus::Histogram::BucketBoundaries bounds_s{0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                       0.3,   0.5,  0.75, 1.0,  2.0, 5.0};

prometheus::Labels labels_of(const Description& description, std::string_view first,
                             std::string_view second) {
    prometheus::Labels out;
    if (description.first_label != nullptr) out.emplace(description.first_label, first);
    if (description.second_label != nullptr) out.emplace(description.second_label, second);
    return out;
}

} // namespace

struct Metrics::Families {
    prometheus::Registry registry;
    std::array<prometheus::Family<prometheus::Counter>*, totals.size()> counters{};
    std::array<prometheus::Family<prometheus::Histogram>*, durations.size()> histograms{};
    std::array<prometheus::Gauge*, levels.size()> gauges{};
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {
    for (std::size_t i = 0; i < totals.size(); ++i)
        families_->counters[i] = &prometheus::BuildCounter()
                                      .Name(totals[i].name)
                                      .Help(totals[i].help)
                                      .Register(families_->registry);
    for (std::size_t i = 0; i < durations.size(); ++i)
        families_->histograms[i] = &prometheus::BuildHistogram()
                                        .Name(durations[i].name)
                                        .Help(durations[i].help)
                                        .Register(families_->registry);
    for (std::size_t i = 0; i < levels.size(); ++i)
        families_->gauges[i] = &prometheus::BuildGauge()
                                    .Name(levels[i].name)
                                    .Help(levels[i].help)
                                    .Register(families_->registry)
                                    .Add({});
}

Metrics::~Metrics() = default;

void Metrics::add(Total total, std::string_view first, std::string_view second, double amount) {
    const auto index = static_cast<std::size_t>(total);
    families_->counters[index]->Add(labels_of(totals[index], first, second)).Increment(amount);
}

void Metrics::observe(Duration duration, std::chrono::milliseconds value, std::string_view first,
                      std::string_view second) {
    const auto index = static_cast<std::size_t>(duration);
    families_->histograms[index]
        ->Add(labels_of(durations[index], first, second), bounds_s)
        .Observe(std::chrono::duration<double>(value).count());
}

void Metrics::set(Level level, double value) {
    families_->gauges[static_cast<std::size_t>(level)]->Set(value);
}

std::string Metrics::text() const {
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

Crossing crossing(std::string_view zone, std::string_view region, std::string_view other_zone,
                  std::string_view other_region) {
    if (other_zone.empty()) return Crossing::unknown;
    if (zone == other_zone) return Crossing::none;
    return region == other_region ? Crossing::zone : Crossing::region;
}

const char* name_of(Crossing crossing) {
    switch (crossing) {
    case Crossing::none:
        return "none";
    case Crossing::zone:
        return "zone";
    case Crossing::region:
        return "region";
    case Crossing::unknown:
        break;
    }
    return "unknown";
}

} // namespace willowrill::metrics
