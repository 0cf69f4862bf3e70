#include "scheduler/admin/figures.h"

#include <string_view>
#include <utility>

namespace willowrill::admin {
namespace {

std::string label(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') out += '\\';
        c == '\n' ? out += "\\n" : out += c;
    }
    return out;
}

void head(std::string& out, std::string_view name, std::string_view type, std::string_view help) {
    out.append("# HELP scheduler_").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE scheduler_").append(name).append(" ").append(type).append("\n");
}

void single(std::string& out, std::string_view name, std::string_view type, std::string_view help,
            std::uint64_t value) {
    head(out, name, type, help);
    out.append("scheduler_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

} // namespace

std::string to_text(const Figures& figures) {
    std::string out;
    head(out, "requests", "counter", "Jobs by the answer that their clients were given.");
    for (const ClassFigures& one : figures.classes) {
        for (const auto& [outcome, count] :
             {std::pair{"served", one.served}, std::pair{"refused", one.refused},
              std::pair{"failed", one.failed}}) {
            out.append("scheduler_requests{class=\"").append(label(one.name)).append("\",outcome=\"");
            out.append(outcome).append("\"} ").append(std::to_string(count)).append("\n");
        }
    }
    single(out, "attempts", "counter", "Attempts written whole to intake workers.", figures.attempts);
    single(out, "in_flight", "gauge", "Jobs taken and not yet ended.", figures.in_flight);
    single(out, "intake_workers_known", "gauge", "Intake workers in the list.", figures.workers_known);
    single(out, "intake_workers_excluded", "gauge", "Listed intake workers that are avoided now.",
           figures.workers_excluded);
    return out;
}

} // namespace willowrill::admin
