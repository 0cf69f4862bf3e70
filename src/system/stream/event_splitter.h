// Cuts a `text/event-stream` into whole events and keeps the id of the last one passed on, so that a stream
// which breaks off in the middle of an event can be resumed after the last whole one. Pure. Bounded: an event
// may be `longest_event` bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace willowrill::stream {

inline constexpr std::size_t longest_event = 1U << 20U;

class EventSplitter {
  public:
    // Takes in bytes as they come. False where an event grows beyond all bounds.
    bool append(std::string_view bytes);
    // The whole events that have come since the last call; empty where there are none.
    std::string take_events();
    // Bytes after the last whole event.
    std::string_view rest() const { return rest_; }
    // Forgets a partial event: its stream has broken off.
    void drop_rest() { rest_.clear(); }
    // Id of the last whole event taken, empty where none had one.
    const std::string& last_id() const { return last_id_; }

  private:
    void note_ids(std::string_view events);

    std::string rest_;
    std::string last_id_;
};

} // namespace willowrill::stream
