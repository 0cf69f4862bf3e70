// The log of the whole system's programs: one event a line on standard error, as `level=info event=role
// member=...`. Operators search for these keys, so an event's name and its keys are part of what the programs
// promise (docs/system-operations.md). May be called from any thread. Never waits for the log's reader and
// never fails: a line that cannot be written is dropped and counted.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>

namespace willowrill::logging {

enum class Level { info, warning, error };

// One line, written when the object ends: `logging::info("phase").field("node", name);`
class Event {
  public:
    Event(Level level, std::string_view name);
    ~Event();
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;

    // Adds ` key=value`; for values without blanks: numbers, names, addresses.
    template <class Value> Event& field(std::string_view key, const Value& value) {
        fmt::format_to(std::back_inserter(line_), " {}={}", key, value);
        return *this;
    }
    // Adds ` key="value"`; for sentences.
    Event& text(std::string_view key, std::string_view value);

    // The line so far, without its end.
    const std::string& line() const { return line_; }

  private:
    std::string line_;
};

inline Event info(std::string_view name) { return {Level::info, name}; }
inline Event warning(std::string_view name) { return {Level::warning, name}; }
inline Event error(std::string_view name) { return {Level::error, name}; }

// Lines that could not be written since the process started.
std::uint64_t dropped_lines();

} // namespace willowrill::logging
