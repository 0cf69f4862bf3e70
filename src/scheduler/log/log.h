// Structured logging on top of spdlog. An event has a stable name, a text for people and fields for machines.
// The text format prints the text alone; the JSON format prints one object per line. Plain spdlog calls work
// in both formats.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace willowrill::log {

struct Field {
    std::string_view name;
    std::variant<std::uint64_t, double, std::string_view> value;
};

// Installs the process's default logger, which writes text or JSON lines to standard error. `instance` is a
// field of each JSON line. The logger never blocks: lines that cannot be written at once are dropped, and the
// next line that can be written is preceded by a warning with their number.
void configure_logging(bool json, std::string instance);
std::uint64_t dropped_lines(); // since `configure_logging`

inline bool is_enabled(spdlog::level::level_enum level) { return spdlog::should_log(level); }
// Logs one event. The names of events are listed in docs/scheduler/operations.md and are stable; the texts
// may change.
void event(spdlog::level::level_enum level, std::string_view name, std::initializer_list<Field> fields,
           std::string_view text);

// A formatter that writes each message as one JSON object and a newline.
std::unique_ptr<spdlog::formatter> make_json_formatter(std::string instance);
// A quoted and escaped JSON string; each byte that is not valid UTF-8 becomes U+FFFD.
std::string json_quote(std::string_view text);

} // namespace willowrill::log
