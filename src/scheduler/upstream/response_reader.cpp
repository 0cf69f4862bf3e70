#include "scheduler/upstream/response_reader.h"

#include <simdjson.h>

#include <cmath>
#include <cstdlib>

namespace willowrill::upstream {
namespace {

using simdjson::SUCCESS;
using simdjson::dom::object;
using willowrill::Outcome;
using willowrill::Report;

constexpr double max_load_value = 1e6;

void set_load_value(std::optional<Report>& report, const config::ReportFieldNames& field, double value) {
    // No load value can be negative, and a single absurd one would distort moving averages for a long time.
    if (!std::isfinite(value) || value < 0 || value > max_load_value) return;
    if (!report) report.emplace();
    (*report).*field.field = value;
}

std::optional<Report> read_load(const object& load, const std::vector<config::ReportFieldNames>& fields) {
    std::optional<Report> report;
    for (const config::ReportFieldNames& field : fields) {
        double value = 0;
        if (load[field.wire_name].get(value) == SUCCESS || load[field.setting_name].get(value) == SUCCESS)
            set_load_value(report, field, value);
    }
    return report;
}

} // namespace

struct ResponseReader::Json {
    simdjson::dom::parser parser;
};

ResponseReader::ResponseReader(const std::vector<config::ReportFieldNames>& fields)
    : fields_(fields), json_(std::make_unique<Json>()) {}
ResponseReader::~ResponseReader() = default;

void ResponseReader::begin(std::string id) { id_ = std::move(id); }

std::optional<AttemptResult> ResponseReader::read(net::http::Parser& parser,
                                                  std::vector<ProgressNote>& notes) {
    if (parser.bad()) return AttemptResult{Outcome::reset};
    if (!parser.head_done()) return std::nullopt;
    const net::http::Head& head = parser.head();
    if (head.status != 200) {
        // Only this header proves that the job did not run; without it, it may have.
        const std::string* not_processed = head.find("x-not-processed");
        const bool is_unprocessed =
            (head.status == 503 || head.status == 504) && not_processed != nullptr && *not_processed == "1";
        return AttemptResult{is_unprocessed ? Outcome::full : Outcome::error, read_load_header(head)};
    }
    std::string& body = parser.body();
    std::size_t consumed_bytes = 0;
    std::optional<AttemptResult> attempt_result;
    while (!attempt_result) {
        std::size_t end = body.find('\n', consumed_bytes);
        if (end == std::string::npos && parser.done())
            end = body.size(); // the last line may lack a line break
        if (end == std::string::npos || consumed_bytes >= body.size()) break;
        const std::string_view line = std::string_view(body).substr(consumed_bytes, end - consumed_bytes);
        consumed_bytes = std::min(end + 1, body.size());
        if (line.find_first_not_of(" \t\r") != std::string_view::npos)
            attempt_result = read_line(line, notes);
    }
    body.erase(0, consumed_bytes);
    if (!attempt_result && parser.done())
        return AttemptResult{Outcome::reset}; // the stream ended before the result
    return attempt_result; // no load from the head: it dates from when the job was accepted
}

std::optional<Report> ResponseReader::read_probe(net::http::Parser& parser) const {
    if (!parser.done() || parser.head().status != 200) return std::nullopt;
    object json, load;
    if (json_->parser.parse(parser.body().data(), parser.body().size(), true).get(json) != SUCCESS)
        return read_load_header(parser.head());
    return read_load(json["load"].get(load) == SUCCESS ? load : json, fields_);
}

// A malformed line, or one about another job, proves nothing about this one and counts as a reset.
std::optional<AttemptResult> ResponseReader::read_line(std::string_view line,
                                                       std::vector<ProgressNote>& notes) {
    object json;
    std::string_view id, state;
    if (json_->parser.parse(line.data(), line.size(), true).get(json) != SUCCESS ||
        json["id"].get(id) != SUCCESS || id != id_ || json["state"].get(state) != SUCCESS)
        return AttemptResult{Outcome::reset};
    if (state == "started") {
        notes.push_back({.started = true});
        return std::nullopt;
    }
    if (state == "running") {
        ProgressNote note;
        if (json["share"].get(note.share) != SUCCESS) note.share = 0;
        notes.push_back(note);
        return std::nullopt;
    }
    AttemptResult attempt_result;
    if (object load; json["load"].get(load) == SUCCESS) attempt_result.report = read_load(load, fields_);
    std::string_view result;
    if (state == "done" && json["result"].get(result) == SUCCESS) {
        attempt_result.outcome = Outcome::served;
        attempt_result.result = result;
    } else if (state == "failed") {
        attempt_result.outcome = Outcome::error;
    } else if (state == "returned") {
        attempt_result.outcome = Outcome::full;
    }
    return attempt_result; // `lost` and unknown states count as a reset
}

std::optional<Report> ResponseReader::read_load_header(const net::http::Head& head) const {
    std::optional<Report> report;
    const std::string* header = head.find("x-server-load");
    if (header == nullptr) return report;
    std::string_view remaining = *header;
    while (!remaining.empty()) {
        const std::string_view item = remaining.substr(0, remaining.find(','));
        remaining.remove_prefix(std::min(remaining.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) continue;
        const std::size_t name_start = std::min(item.find_first_not_of(' '), equals);
        const std::string_view name = item.substr(name_start, equals - name_start);
        const std::string value(item.substr(equals + 1));
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        for (const config::ReportFieldNames& field : fields_) {
            if (end != value.c_str() && (name == field.wire_name || name == field.setting_name))
                set_load_value(report, field, number);
        }
    }
    return report;
}

} // namespace willowrill::upstream
