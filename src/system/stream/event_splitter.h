// Splits a `text/event-stream` into complete events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace willowrill::stream {

inline constexpr std::size_t max_event_bytes = 1U << 20U;

// Buffers a stream up to the end of an event and remembers the id of the last complete event, so that a
// stream that breaks off within an event can be resumed after the last complete one. Buffers at most
// `max_event_bytes`. Not thread-safe.
class EventSplitter {
  public:
    // Appends bytes of the stream. Returns false, and appends nothing, if the buffer would exceed
    // `max_event_bytes`.
    bool append(std::string_view bytes);
    // Removes the complete events from the buffer and returns them; empty if there are none.
    std::string take_events();
    // Returns the buffered bytes. After `take_events` these are the start of an incomplete event.
    std::string_view partial_event() const { return buffer_; }
    // Discards an incomplete event after its stream has broken off.
    void discard_partial_event();
    // Returns how many bytes were searched for the end of an event so far: about as many as were appended.
    std::size_t searched_bytes() const { return searched_bytes_; }
    // Returns the id of the last complete event that had one; empty if none had.
    const std::string& last_event_id() const { return last_event_id_; }

  private:
    void update_last_event_id(std::string_view events);

    std::string buffer_;
    std::size_t searched_ = 0; // of the buffer, without an end of an event that lies within
    std::size_t searched_bytes_ = 0;
    std::string last_event_id_;
};

} // namespace willowrill::stream
