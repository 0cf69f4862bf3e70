// Splits a `text/event-stream` into complete events and keeps the id of the last one passed on, so that a
// stream which breaks off in the middle of an event can be resumed after the last complete one. Pure; one
// thread. Bounded: an event may have `max_event_bytes`.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace willowrill::stream {

inline constexpr std::size_t max_event_bytes = 1U << 20U;

class EventSplitter {
  public:
    // Adds bytes of the stream. False, and nothing is added, where more than `max_event_bytes` would wait.
    bool append(std::string_view bytes);
    // The complete events that have come since the last call; empty where there are none.
    std::string take_events();
    // Bytes after the last complete event.
    std::string_view partial_event() const { return rest_; }
    // Forgets a partial event: its stream has broken off.
    void discard_partial_event() { rest_.clear(); }
    // Id of the last complete event taken, empty where none had one.
    const std::string& last_event_id() const { return last_id_; }

  private:
    void record_ids(std::string_view events);

    std::string rest_;
    std::string last_id_;
};

} // namespace willowrill::stream
