#include "system/stream/event_splitter.h"

#include <algorithm>

namespace willowrill::stream {
namespace {

// Just past the last blank line, or 0.
std::size_t end_of_events(std::string_view bytes) {
    std::size_t end = 0;
    for (const std::string_view blank : {std::string_view("\n\n"), std::string_view("\r\n\r\n")}) {
        const std::size_t at = bytes.rfind(blank);
        if (at != std::string_view::npos) end = std::max(end, at + blank.size());
    }
    return end;
}

} // namespace

bool EventSplitter::append(std::string_view bytes) {
    if (rest_.size() + bytes.size() > max_event_bytes) return false;
    rest_.append(bytes);
    return true;
}

std::string EventSplitter::take_events() {
    const std::size_t end = end_of_events(rest_);
    std::string out = rest_.substr(0, end);
    rest_.erase(0, end);
    record_ids(out);
    return out;
}

void EventSplitter::record_ids(std::string_view events) {
    while (!events.empty()) {
        std::string_view line = events.substr(0, events.find('\n'));
        events.remove_prefix(std::min(events.size(), line.size() + 1));
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (!line.starts_with("id:")) continue;
        line.remove_prefix(3);
        if (line.starts_with(' ')) line.remove_prefix(1);
        last_id_ = std::string(line);
    }
}

} // namespace willowrill::stream
