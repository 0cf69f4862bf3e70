// Interprets workers' responses: outcomes, progress notes and load reports. Does no I/O.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/net/http.h"

#include <willowrill/dispatcher.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::upstream {

// How an attempt ended.
struct AttemptResult {
    willowrill::Outcome outcome = willowrill::Outcome::reset;
    std::optional<willowrill::Report> report{};
    std::string result{}; // of a served job, with JSON escapes resolved
};

// A worker's note that it has started a job, or how much of it is done.
struct ProgressNote {
    bool started = false;
    double share = 0; // of the job, if not `started`
};

// Reads the response to one attempt incrementally: a stream of JSON lines, of which the last is the result.
class ResponseReader {
  public:
    explicit ResponseReader(const std::vector<config::ReportFieldNames>& fields);
    ~ResponseReader();

    void begin(std::string id); // of the message whose response follows

    // Returns the load report in the complete response to a probe: the JSON body, its `load` member, or the
    // X-Server-Load header. Returns nothing if the status is not 200 or no configured field has a valid
    // value.
    std::optional<willowrill::Report> read_probe(net::http::Parser& parser) const;

    // Consumes complete lines from the parser's body and appends progress to `notes`. Returns the result once
    // it is known.
    std::optional<AttemptResult> read(net::http::Parser& parser, std::vector<ProgressNote>& notes);

  private:
    std::optional<AttemptResult> read_line(std::string_view line, std::vector<ProgressNote>& notes);
    std::optional<willowrill::Report> read_load_header(const net::http::Head& head) const;

    struct Json;
    const std::vector<config::ReportFieldNames>& fields_;
    std::unique_ptr<Json> json_;
    std::string id_;
};

} // namespace willowrill::upstream
