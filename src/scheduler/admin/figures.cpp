#include "scheduler/admin/figures.h"

#include <string_view>
#include <utility>

namespace willowrill::admin {
namespace {

// Escapes a label value for the Prometheus text format.
std::string escape_label(std::string_view value) {
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') text += '\\';
        c == '\n' ? text += "\\n" : text += c;
    }
    return text;
}

void append_header(std::string& text, std::string_view name, std::string_view type, std::string_view help) {
    text.append("# HELP scheduler_").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE scheduler_").append(name).append(" ").append(type).append("\n");
}

// Appends a metric that has one value and no labels.
void append_metric(std::string& text, std::string_view name, std::string_view type, std::string_view help,
                   std::uint64_t value) {
    append_header(text, name, type, help);
    text.append("scheduler_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

} // namespace

std::string to_prometheus_text(const Metrics& metrics) {
    std::string text;
    append_header(text, "requests", "counter", "Jobs by the answer that their clients were given.");
    for (const ClassMetrics& class_metrics : metrics.classes) {
        for (const auto& [outcome, count] :
             {std::pair{"served", class_metrics.served}, std::pair{"refused", class_metrics.refused},
              std::pair{"failed", class_metrics.failed}}) {
            text.append("scheduler_requests{class=\"")
                .append(escape_label(class_metrics.name))
                .append("\",outcome=\"");
            text.append(outcome).append("\"} ").append(std::to_string(count)).append("\n");
        }
    }
    append_metric(text, "attempts", "counter", "Attempts written whole to intake workers.", metrics.attempts);
    append_metric(text, "in_flight", "gauge", "Jobs taken and not yet ended.", metrics.in_flight);
    append_metric(text, "intake_workers_known", "gauge", "Intake workers in the list.",
                  metrics.workers_known);
    append_metric(text, "intake_workers_excluded", "gauge", "Listed intake workers that are avoided now.",
                  metrics.workers_excluded);
    return text;
}

} // namespace willowrill::admin
