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

constexpr double most_figure = 1e6;

void set(std::optional<Report>& report, const config::ReportName& field, double value) {
    // Nothing that is counted here is negative, and one absurd figure would stay in means for good.
    if (!std::isfinite(value) || value < 0 || value > most_figure) return;
    if (!report) report.emplace();
    (*report).*field.field = value;
}

std::optional<Report> read_load(const object& load, const std::vector<config::ReportName>& fields) {
    std::optional<Report> report;
    for (const config::ReportName& field : fields) {
        double value = 0;
        if (load[field.wire].get(value) == SUCCESS || load[field.setting].get(value) == SUCCESS)
            set(report, field, value);
    }
    return report;
}

} // namespace

struct ResponseReader::Json {
    simdjson::dom::parser parser;
};

ResponseReader::ResponseReader(const std::vector<config::ReportName>& fields)
    : fields_(fields), json_(std::make_unique<Json>()) {}
ResponseReader::~ResponseReader() = default;

void ResponseReader::begin(std::string id) { id_ = std::move(id); }

std::optional<Verdict> ResponseReader::read(net::http::Parser& parser, std::vector<ProgressNote>& notes) {
    if (parser.bad()) return Verdict{Outcome::reset};
    if (!parser.head_done()) return std::nullopt;
    const net::http::Head& head = parser.head();
    if (head.status != 200) {
        // Only this mark proves that the job was not begun; without it, it may have run.
        const std::string* mark = head.find("x-not-processed");
        const bool unseen = (head.status == 503 || head.status == 504) && mark != nullptr && *mark == "1";
        return Verdict{unseen ? Outcome::full : Outcome::error, read_header(head)};
    }
    std::string& body = parser.body();
    std::size_t used = 0;
    std::optional<Verdict> verdict;
    while (!verdict) {
        std::size_t end = body.find('\n', used);
        if (end == std::string::npos && parser.done()) end = body.size(); // the last line may lack its end
        if (end == std::string::npos || used >= body.size()) break;
        const std::string_view line = std::string_view(body).substr(used, end - used);
        used = std::min(end + 1, body.size());
        if (line.find_first_not_of(" \t\r") != std::string_view::npos) verdict = read_line(line, notes);
    }
    body.erase(0, used);
    if (!verdict && parser.done()) return Verdict{Outcome::reset}; // it ended before the last line
    return verdict; // the head came when the job was taken: a report in it would be old
}

std::optional<Report> ResponseReader::read_probe(net::http::Parser& parser) const {
    if (!parser.done() || parser.head().status != 200) return std::nullopt;
    object json, load;
    if (json_->parser.parse(parser.body().data(), parser.body().size(), true).get(json) != SUCCESS)
        return read_header(parser.head());
    return read_load(json["load"].get(load) == SUCCESS ? load : json, fields_);
}

// A line that is not what the protocol says, or speaks of another job, proves nothing: a reset.
std::optional<Verdict> ResponseReader::read_line(std::string_view line, std::vector<ProgressNote>& notes) {
    object json;
    std::string_view id, state;
    if (json_->parser.parse(line.data(), line.size(), true).get(json) != SUCCESS ||
        json["id"].get(id) != SUCCESS || id != id_ || json["state"].get(state) != SUCCESS)
        return Verdict{Outcome::reset};
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
    Verdict verdict;
    if (object load; json["load"].get(load) == SUCCESS) verdict.report = read_load(load, fields_);
    std::string_view result;
    if (state == "done" && json["result"].get(result) == SUCCESS) {
        verdict.outcome = Outcome::served;
        verdict.result = result;
    } else if (state == "failed") {
        verdict.outcome = Outcome::error;
    } else if (state == "returned") {
        verdict.outcome = Outcome::full;
    }
    return verdict; // `lost`, or a word that is not known: a reset
}

std::optional<Report> ResponseReader::read_header(const net::http::Head& head) const {
    std::optional<Report> report;
    const std::string* header = head.find("x-server-load");
    if (header == nullptr) return report;
    std::string_view rest = *header;
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) continue;
        const std::size_t first = std::min(item.find_first_not_of(' '), equals);
        const std::string_view name = item.substr(first, equals - first);
        const std::string value(item.substr(equals + 1));
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        for (const config::ReportName& field : fields_) {
            if (end != value.c_str() && (name == field.wire || name == field.setting))
                set(report, field, number);
        }
    }
    return report;
}

} // namespace willowrill::upstream
