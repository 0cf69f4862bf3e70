#include "system/logging/log.h"

#include <cstdio>

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

} // namespace

Event::Event(Level level, std::string_view name)
    : line_(fmt::format("level={} event={}", name_of(level), name)) {}

Event::~Event() { fmt::print(stderr, "{}\n", line_); }

Event& Event::text(std::string_view key, std::string_view value) {
    fmt::format_to(std::back_inserter(line_), " {}=\"{}\"", key, value);
    return *this;
}

} // namespace willowrill::logging
