#include "system/logging/log.h"

#include "common/log_output/non_blocking_writer.h"

#include <unistd.h>

#include <mutex>

namespace willowrill::logging {
namespace {

std::string_view name_of(Level level) {
    switch (level) {
    case Level::info:
        return "info";
    case Level::warning:
        return "warning";
    case Level::error:
        break;
    }
    return "error";
}

// Standard error, for all threads. Tells how many lines were lost before the first one that can be written
// again.
class Output {
  public:
    void write(std::string_view line) {
        const std::lock_guard lock(mutex_);
        report_dropped();
        writer_.write(line);
    }

    std::uint64_t dropped() {
        const std::lock_guard lock(mutex_);
        return writer_.dropped();
    }

  private:
    void report_dropped() {
        const std::uint64_t unreported = writer_.dropped() - reported_;
        if (unreported == 0 || !writer_.has_room()) return;
        const std::uint64_t dropped_before = writer_.dropped();
        if (writer_.write(fmt::format("level=warning event=log-lines-dropped count={}\n", unreported)))
            reported_ = dropped_before;
    }

    std::mutex mutex_;
    log_output::NonBlockingWriter writer_{STDERR_FILENO};
    std::uint64_t reported_ = 0; // dropped lines that a line of the log has told of
};

// Never destroyed: other threads may log until the process is gone.
Output& output() {
    static auto* const instance = new Output;
    return *instance;
}

} // namespace

Event::Event(Level level, std::string_view name)
    : line_(fmt::format("level={} event={}", name_of(level), name)) {}

Event::~Event() {
    line_.push_back('\n');
    output().write(line_);
}

Event& Event::text(std::string_view key, std::string_view value) {
    fmt::format_to(std::back_inserter(line_), " {}=\"{}\"", key, value);
    return *this;
}

std::uint64_t dropped_lines() { return output().dropped(); }

} // namespace willowrill::logging
