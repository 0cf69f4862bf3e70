// What a worker's answer means: outcomes, notes and load reports. No sockets here.
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

struct Verdict {
    willowrill::Outcome outcome = willowrill::Outcome::reset;
    std::optional<willowrill::Report> report{};
    std::string result{}; // of a job that was done, unescaped
};

struct ProgressNote {
    bool started = false; // else progress
    double share = 0;
};

// Reads the answer to one attempt as it comes in.
class ResponseReader {
  public:
    explicit ResponseReader(const std::vector<config::ReportName>& fields);
    ~ResponseReader();

    void begin(std::string id); // of the message that is out

    // The load report in the whole answer to a probe: in its body, bare or as `load`, or in the header. None
    // where it is no 200, or holds nothing that the settings name and that can be.
    std::optional<willowrill::Report> read_probe(net::http::Parser& parser) const;

    // Looks at what the parser holds, and takes lines out of its body. Gives the verdict once there is one.
    std::optional<Verdict> read(net::http::Parser& parser, std::vector<ProgressNote>& notes);

  private:
    std::optional<Verdict> read_line(std::string_view line, std::vector<ProgressNote>& notes);
    std::optional<willowrill::Report> read_header(const net::http::Head& head) const;

    struct Json;
    const std::vector<config::ReportName>& fields_;
    std::unique_ptr<Json> json_;
    std::string id_;
};

} // namespace willowrill::upstream
