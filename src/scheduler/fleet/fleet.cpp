#include "scheduler/fleet/fleet.h"

#include "scheduler/log/log.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace willowrill::fleet {
namespace {

using log::json_quote;
using prometheus::MetricType;

// Marks a series that is not created yet.
constexpr counts::SeriesIndex no_series = std::numeric_limits<counts::SeriesIndex>::max();
constexpr std::array<std::string_view, counts::outcome_count> outcome_names{"served", "refused", "failed",
                                                                            "left"};

std::string member_json(const swim::Member& member) {
    return "{\"name\":" + json_quote(member.id.name) + ",\"life\":" + std::to_string(member.id.life) +
           ",\"address\":" + json_quote(gossip::endpoint_of(member.address).text()) + ",\"state\":\"" +
           std::string(swim::name_of(member.state)) +
           "\",\"incarnation\":" + std::to_string(member.incarnation) + "}";
}

// Collects metrics and writes them in the Prometheus text format.
class MetricsBuilder {
  public:
    // Adds one sample. The samples of one metric that differ by their labels must be added consecutively.
    void add(const std::string& name, const std::string& help, MetricType type, double value,
             std::vector<prometheus::ClientMetric::Label> labels = {}) {
        if (families_.empty() || families_.back().name != "willowrill_" + name)
            families_.push_back({.name = "willowrill_" + name, .help = help, .type = type, .metric = {}});
        prometheus::ClientMetric metric;
        metric.label = std::move(labels);
        (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
        families_.back().metric.push_back(std::move(metric));
    }
    std::string text() const { return prometheus::TextSerializer().Serialize(families_); }

  private:
    std::vector<prometheus::MetricFamily> families_;
};

double as_double(std::uint64_t value) { return static_cast<double>(value); }

} // namespace

Fleet::Fleet(net::Loop& loop, const operator_config::OperatorConfig& site, const config::Settings& settings,
             bool wait_for_address)
    : loop_(loop), names_(settings.names), counts_enabled_(site.counts.has_value()),
      mesh_(loop, site, site.instance.empty() ? settings.name : site.instance, wait_for_address),
      series_(names_.classes.size() * (names_.tenants.size() + 1), no_series) {}

void Fleet::on_message_ended(Index job_class, Index tenant, FinalStatus ending) {
    if (!counts_enabled_) return;
    const std::size_t tenant_count = names_.tenants.size();
    const std::size_t tenant_index = tenant < tenant_count ? tenant : tenant_count;
    counts::SeriesIndex& series = series_[job_class * (tenant_count + 1) + tenant_index];
    counts::CountStore& book = mesh_.node().count_store();
    if (series == no_series)
        series = book.series(tenant_index < tenant_count ? std::string_view(names_.tenants[tenant_index])
                                                         : unknown_tenant,
                             names_.classes[job_class]);
    constexpr std::array<counts::Outcome, counts::outcome_count> outcomes{
        counts::Outcome::served, counts::Outcome::refused, counts::Outcome::failed,
        counts::Outcome::client_left};
    book.count(series, outcomes.at(static_cast<std::size_t>(ending)));
}

std::string Fleet::counts_json() const {
    if (!counts_enabled_) return "";
    const counts::Totals totals = mesh_.node().count_store().totals(loop_.now());
    std::string json =
        "{\"instance\":" + json_quote(mesh_.node().count_store().self().instance) +
        ",\"instances\":" + std::to_string(totals.instances) + ",\"lives\":" + std::to_string(totals.lives) +
        ",\"age_ms\":" + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(totals.age).count()) +
        ",\"slack\":" + std::to_string(totals.slack) + ",\"totals\":[";
    for (const counts::Total& row : totals.rows) {
        if (json.back() != '[') json += ',';
        json += "\n{\"tenant\":" + json_quote(row.tenant) + ",\"class\":" + json_quote(row.job_class) +
                ",\"outcome\":\"" + std::string(outcome_names.at(static_cast<std::size_t>(row.outcome))) +
                "\",\"low\":" + std::to_string(row.low) + ",\"estimate\":" + std::to_string(row.estimate) +
                ",\"high\":" + std::to_string(row.high) + "}";
    }
    return json + "]}\n";
}

std::string Fleet::members_json() const {
    const swim::Swim& members = mesh_.node().members();
    std::string json = "{\"self\":" + member_json(members.self()) + ",\"members\":[";
    for (const auto& [id, member] : members.others())
        json += (json.back() == '[' ? "\n" : ",\n") + member_json(member);
    return json + "]}\n";
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::string Fleet::prometheus_text() const {
    MetricsBuilder metrics;
    const gossip::MeshCounters& mesh = mesh_.counters();
    for (std::size_t cause = 0; cause < gossip::drop_reason_count; ++cause) {
        metrics.add("mesh_dropped_datagrams_total", "Datagrams dropped unread or without effect, by cause.",
                    MetricType::Counter, as_double(mesh.dropped[cause]),
                    {{"cause", gossip::name_of(static_cast<gossip::DropReason>(cause))}});
    }
    const auto counter = [&](const std::string& name, const std::string& help, std::uint64_t value) {
        metrics.add(name, help, MetricType::Counter, as_double(value));
    };
    const auto gauge = [&](const std::string& name, const std::string& help, double value) {
        metrics.add(name, help, MetricType::Gauge, value);
    };
    counter("mesh_received_datagrams_total", "Datagrams received, dropped ones too.", mesh.received);
    counter("mesh_received_bytes_total", "Bytes of these.", mesh.received_bytes);
    counter("mesh_sent_datagrams_total", "Datagrams sent.", mesh.sent);
    counter("mesh_sent_bytes_total", "Bytes of these.", mesh.sent_bytes);
    counter("mesh_unsent_datagrams_total", "Datagrams that the system did not take.", mesh.unsent);
    const gossip::Node& node = mesh_.node();
    counter("mesh_held_back_total", "Messages of counts held back by bytes_per_second.",
            node.statistics().frames_held_back);
    std::array<std::size_t, 4> states{};
    ++states[static_cast<std::size_t>(node.members().self().state)];
    for (const auto& [id, member] : node.members().others())
        ++states.at(static_cast<std::size_t>(member.state));
    for (std::size_t i = 0; i < states.size(); ++i) {
        metrics.add("members", "Instances known, this one too, by state.", MetricType::Gauge,
                    as_double(states[i]),
                    {{"state", std::string(swim::name_of(static_cast<swim::State>(i)))}});
    }
    const swim::Statistics& members = node.members().statistics();
    counter("members_probes_failed_total", "Probes that nobody answered.", members.probes_failed);
    counter("members_refuted_total", "Times this instance was suspected and said otherwise.",
            members.refuted);
    counter("members_conflicts_total", "News of two living instances with one name.", members.conflicts);
    if (!counts_enabled_) return metrics.text();
    const counts::CountStore& book = node.count_store();
    const counts::Statistics& counts = book.statistics();
    const counts::Totals totals = book.totals_summary(loop_.now());
    gauge("counts_age_seconds", "Age of the oldest news of an instance that may still count.",
          std::chrono::duration<double>(totals.age).count());
    gauge("counts_slack_jobs", "By how much each total's high lies above its low.", as_double(totals.slack));
    gauge("counts_lives", "Lives of instances that are known and not folded.", as_double(totals.lives));
    gauge("counts_memory_bytes", "Memory of the counts, about.", as_double(book.memory_bytes()));
    counter("counts_cells_applied_total", "Cells of others that were news.", counts.cells_applied);
    counter("counts_cells_known_total", "Cells of others that were known already.", counts.cells_known);
    for (const auto& [cause, value] :
         {std::pair{"gap", counts.sections_gap}, std::pair{"unknown_life", counts.sections_unknown},
          std::pair{"bad", counts.sections_invalid}}) {
        metrics.add("counts_sections_refused_total", "Parts of counts not taken over, by cause.",
                    MetricType::Counter, as_double(value), {{"cause", cause}});
    }
    counter("counts_over_limit_total", "Lives, tenants or classes beyond the limits.", counts.over_limit);
    counter("counts_over_rate_total", "Times this instance counted more than it declares.", counts.over_rate);
    counter("counts_skewed_clocks_total", "Instances found with a clock ahead by more than max_skew.",
            counts.skewed_clocks);
    counter("counts_folds_total", "Times that former lives of this instance were folded.", counts.folds);
    counter("counts_raised_total", "Folded cells raised as a returning instance knew more.",
            counts.cells_corrected);
    counter("counts_folded_returned_total", "Folded lives that were brought back, and not taken in.",
            counts.folded_lives_rejected);
    counter("counts_snapshots_written_total", "Snapshots on disk, complete.", mesh_.snapshots_written());
    return metrics.text();
}

} // namespace willowrill::fleet
