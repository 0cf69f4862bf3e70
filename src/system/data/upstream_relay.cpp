// How an attempt passes the worker's response on to the client: whole, or event by event.
#include "system/data/upstream_attempt.h"

#include <utility>

namespace willowrill::data {

asio::awaitable<AttemptResult> UpstreamAttempt::relay_response(WorkerResponse& response) {
    std::string body;
    std::string buffer(read_buffer_bytes, '\0');
    ErrorCode error;
    while (!response.complete() && !error && body.size() <= max_response_body_bytes) {
        const std::size_t got = co_await response.read_some(buffer, error);
        body.append(buffer.data(), got);
    }
    // A response without a length is complete where its connection ended in order, and not where it was
    // reset.
    if (error || !response.complete() || writer_.client_gone()) {
        if (error)
            note_abandoned(response);
        else if (!response.complete() && !writer_.client_gone())
            note_abandoned(response, http_reader::ReadFailure::too_long);
        drop_connection();
        co_return AttemptResult::broken;
    }
    note_first_event();
    release_connection(response, true);
    timer_.cancel();
    co_await writer_.write_response(response.head(), std::move(body), request_.remaining_time());
    const bool success = response.head().result_int() / 100 == 2;
    ++(success ? context_.counters.served : context_.counters.failed);
    co_return AttemptResult::answered;
}

asio::awaitable<AttemptResult> UpstreamAttempt::relay_stream(WorkerResponse& response) {
    request_.events.discard_partial_event();
    const bool complete = co_await relay_events(response);
    if (complete && !writer_.client_gone()) co_return co_await finish_stream(response);
    note_abandoned(response);
    drop_connection();
    co_return broken_result();
}

// Passes on whole events as they come. True where the stream was complete, and the client took it.
asio::awaitable<bool> UpstreamAttempt::relay_events(WorkerResponse& response) {
    std::string buffer(read_buffer_bytes, '\0');
    ErrorCode error;
    while (!response.complete()) {
        const std::size_t got = co_await response.read_some(buffer, error);
        if (error || writer_.client_gone()) co_return false;
        if (!request_.events.append({buffer.data(), got})) {
            note_abandoned(response, http_reader::ReadFailure::too_long);
            co_return false;
        }
        const std::string events = request_.events.take_events();
        if (events.empty()) continue;
        const bool written = co_await relay_event_bytes(response, events);
        if (written) continue;
        // A write that the timer ended says nothing of the client.
        if (!timed_out_) writer_.set_client_gone();
        co_return false;
    }
    const bool all_relayed = request_.events.partial_event().empty();
    co_return all_relayed;
}

asio::awaitable<bool> UpstreamAttempt::relay_event_bytes(WorkerResponse& response,
                                                         const std::string& events) {
    note_first_event();
    // From now on only silence ends it early, and only where it can be resumed.
    start_timer(request_.retry.may_resume(), 2 * request_.route.max_gap);
    bool written = true;
    if (!writer_.head_sent()) written = co_await writer_.write_head(response.head());
    if (written) written = co_await writer_.write_chunk(events);
    co_return written;
}

asio::awaitable<AttemptResult> UpstreamAttempt::finish_stream(WorkerResponse& response) {
    release_connection(response, true);
    timer_.cancel();
    bool written = true;
    if (!writer_.head_sent()) written = co_await writer_.write_head(response.head());
    if (written) written = co_await writer_.write_last_chunk();
    if (writer_.client_gone()) co_return AttemptResult::answered;
    writer_.complete_stream(written);
    ++context_.counters.served;
    co_return AttemptResult::answered;
}

} // namespace willowrill::data
