#include "system/stream/event_splitter.h"

#include <algorithm>

namespace willowrill::stream {
namespace {

// Of the longest blank line, without its last byte: it may have come in two parts.
constexpr std::size_t max_partial_blank_line = 3;

// Returns the position after the last blank line, or 0 if there is none.
std::size_t end_of_complete_events(std::string_view bytes) {
    std::size_t end = 0;
    for (const std::string_view blank_line : {std::string_view("\n\n"), std::string_view("\r\n\r\n")}) {
        const std::size_t position = bytes.rfind(blank_line);
        if (position != std::string_view::npos) end = std::max(end, position + blank_line.size());
    }
    return end;
}

} // namespace

bool EventSplitter::append(std::string_view bytes) {
    if (buffer_.size() + bytes.size() > max_event_bytes) return false;
    buffer_.append(bytes);
    return true;
}

std::string EventSplitter::take_events() {
    const std::size_t first = searched_ - std::min(searched_, max_partial_blank_line);
    const std::string_view unsearched = std::string_view(buffer_).substr(first);
    searched_bytes_ += unsearched.size();
    searched_ = buffer_.size();
    const std::size_t end_in_unsearched = end_of_complete_events(unsearched);
    if (end_in_unsearched == 0) return "";
    const std::size_t end = first + end_in_unsearched;
    std::string events = buffer_.substr(0, end);
    buffer_.erase(0, end);
    searched_ -= end;
    update_last_event_id(events);
    return events;
}

void EventSplitter::discard_partial_event() {
    buffer_.clear();
    searched_ = 0;
}

void EventSplitter::update_last_event_id(std::string_view events) {
    while (!events.empty()) {
        std::string_view line = events.substr(0, events.find('\n'));
        events.remove_prefix(std::min(events.size(), line.size() + 1));
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!line.starts_with("id:")) continue;
        line.remove_prefix(3);
        if (line.starts_with(' ')) line.remove_prefix(1);
        last_event_id_ = std::string(line);
    }
}

} // namespace willowrill::stream
