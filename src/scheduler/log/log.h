// Structured lines on spdlog. An event has a stable name, a sentence for people and fields for machines; the
// text form shows the sentence alone, the JSON form one object a line. Plain spdlog calls go on working in
// both.
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

// The process's logger: standard error, text or JSON lines. `instance` stands in each JSON line. Lines that
// nobody reads are dropped; the next that is read says how many.
void set_up(bool json, std::string instance);
std::uint64_t dropped_lines(); // since the start

inline bool is_enabled(spdlog::level::level_enum level) { return spdlog::should_log(level); }
// Names of events are listed in docs/scheduler/operations.md; they do not change, the sentences may.
void event(spdlog::level::level_enum level, std::string_view name, std::initializer_list<Field> fields,
           std::string_view sentence);

std::unique_ptr<spdlog::formatter> json_lines(std::string instance);
std::string json_text(std::string_view text); // quoted; what is not UTF-8 becomes U+FFFD

} // namespace willowrill::log
