// How an attempt passes the worker's response on to the client: whole, as it comes, or event by event.
#include "system/data/upstream_attempt.h"

#include "system/transport/socket_options.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {

using http_reader::ReadFailure;

namespace {

// Of an event that is not complete, held whatever others hold.
constexpr std::size_t uncounted_event_bytes = 16384;

// Between two looks at whether the worker has the whole request. Until the attempt's own timeout.
constexpr std::chrono::milliseconds peer_end_poll_period{5};

// A growing string may take twice its length.
std::size_t counted_event_bytes(std::size_t held) {
    return 2 * (held - std::min(held, uncounted_event_bytes));
}

} // namespace

// A worker that closes its connection while the request is still on its way to it closes its side first, and
// resets the connection when the rest arrives. A worker that ends its response so and reads on does not.
asio::awaitable<bool> UpstreamAttempt::is_whole(const WorkerResponse& response) {
    if (!response.ends_with_connection()) co_return true;
    SteadyTimer timer(context_.loop);
    while (connection_->socket.is_open() && outgoing_->state != SendState::failed) {
        const transport::PeerEnd end = transport::peer_end(connection_->socket);
        if (end == transport::PeerEnd::reset) break;
        if (end == transport::PeerEnd::in_order && outgoing_->state == SendState::sent) co_return true;
        timer.expires_after(peer_end_poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    note_abandoned(response, connection_->socket.is_open() ? ReadFailure::ended : ReadFailure::timed_out);
    co_return false;
}

asio::awaitable<AttemptResult> UpstreamAttempt::relay_response(WorkerResponse& response) {
    HeldBody body(context_.input_memory.responses);
    co_await hold_body(response, body);
    const bool too_long = body.size() > max_response_body_bytes;
    if (response.last_error() || too_long || writer_.client_gone()) {
        if (too_long)
            note_abandoned(response, ReadFailure::too_long);
        else
            note_abandoned(response);
        drop_connection();
        co_return AttemptResult::broken;
    }
    if (!response.complete()) co_return co_await relay_rest(response, body);
    const bool whole = co_await is_whole(response);
    if (whole) co_return co_await answer_with(response, std::move(body));
    drop_connection();
    co_return AttemptResult::broken;
}

// Reads the body to its end, or for as long as there is memory for it.
asio::awaitable<void> UpstreamAttempt::hold_body(WorkerResponse& response, HeldBody& body) {
    while (!response.complete() && !response.last_error() && body.size() <= max_response_body_bytes) {
        const asio::mutable_buffer room = body.prepare();
        if (room.size() == 0) co_return;
        const std::size_t got = co_await response.read_some(room);
        body.commit(got);
        if (got > 0) note_activity();
    }
}

// A failure is not passed on while another attempt could still succeed.
asio::awaitable<AttemptResult> UpstreamAttempt::answer_with(WorkerResponse& response, HeldBody body) {
    note_first_event();
    const bool holds = !is_success(response.head()) && group_.has_others(*this);
    if (!holds && !group_.claim_response(*this)) {
        drop_connection();
        co_return broken_result();
    }
    release_connection(response, true);
    timer_.cancel();
    if (holds) {
        group_.hold_failure({response.head(), std::move(body)});
        co_return AttemptResult::failure_held;
    }
    co_await writer_.write_response(response.head(), body, request_.remaining_time());
    context_.counters.count_answer(is_success(response.head()));
    co_return AttemptResult::answered;
}

// Without memory to hold it, a response goes to the client as it comes, no faster than the client takes it.
// No other attempt may follow then.
asio::awaitable<AttemptResult> UpstreamAttempt::relay_rest(WorkerResponse& response, HeldBody& held) {
    context_.metrics.add(metrics::Total::responses_not_held);
    note_first_event();
    watch_silence(false, routing::Time(0));
    bool complete = group_.claim_response(*this);
    if (complete) complete = co_await relay_body(response, held);
    if (complete) co_return co_await finish_relay(response);
    drop_connection();
    co_return broken_result();
}

asio::awaitable<bool> UpstreamAttempt::relay_body(WorkerResponse& response, HeldBody& held) {
    for (const asio::const_buffer& part : held.data()) {
        const std::string bytes(static_cast<const char*>(part.data()), part.size());
        const bool written = co_await write_part(response, bytes);
        if (!written) co_return false;
    }
    held.clear();
    std::string buffer(read_buffer_bytes, '\0');
    while (!response.complete()) {
        const std::size_t got = co_await response.read_some(asio::buffer(buffer));
        if (response.last_error() || writer_.client_gone()) {
            note_abandoned(response);
            co_return false;
        }
        if (response.body_bytes() > max_response_body_bytes) {
            note_abandoned(response, ReadFailure::too_long);
            co_return false;
        }
        if (got == 0) continue;
        const std::string part = buffer.substr(0, got);
        const bool written = co_await write_part(response, part);
        if (!written) co_return false;
    }
    co_return co_await is_whole(response);
}

asio::awaitable<AttemptResult> UpstreamAttempt::relay_stream(WorkerResponse& response) {
    const bool complete = co_await relay_events(response);
    if (complete && !writer_.client_gone()) co_return co_await finish_relay(response);
    note_abandoned(response);
    drop_connection();
    co_return broken_result();
}

// Passes on whole events as they come. True where the stream was complete, and the client took it.
asio::awaitable<bool> UpstreamAttempt::relay_events(WorkerResponse& response) {
    budget::ByteBudget::Reservation memory(context_.input_memory.responses);
    std::string buffer(read_buffer_bytes, '\0');
    while (!response.complete()) {
        const std::size_t got = co_await response.read_some(asio::buffer(buffer));
        if (response.last_error() || writer_.client_gone()) co_return false;
        if (!memory.grow_to(counted_event_bytes(events_.partial_event().size() + got))) {
            note_abandoned(response, ReadFailure::no_memory);
            co_return false;
        }
        if (!events_.append({buffer.data(), got})) {
            note_abandoned(response, ReadFailure::too_long);
            co_return false;
        }
        const std::string events = events_.take_events();
        memory.shrink_to(counted_event_bytes(events_.partial_event().size()));
        if (events.empty()) continue;
        const bool written = co_await relay_event_bytes(response, events);
        if (!written) co_return false;
    }
    const bool all_relayed = events_.partial_event().empty();
    if (!all_relayed) co_return false;
    co_return co_await is_whole(response);
}

asio::awaitable<bool> UpstreamAttempt::relay_event_bytes(WorkerResponse& response,
                                                         const std::string& events) {
    if (!group_.claim_response(*this)) co_return false;
    const bool is_first = sent_at_.has_value();
    note_first_event();
    note_activity();
    // From now on the pauses between events count, and only where the stream can be resumed.
    if (is_first) watch_silence(request_.retry.may_resume(), 2 * request_.route.max_gap);
    if (!events_.last_event_id().empty()) request_.last_event_id = events_.last_event_id();
    co_return co_await write_part(response, events);
}

asio::awaitable<bool> UpstreamAttempt::write_part(WorkerResponse& response, const std::string& part) {
    writing_ = true;
    const bool written = co_await write_head_and_part(response, part);
    writing_ = false;
    note_activity();
    // A write that the timer ended says nothing of the client.
    if (!written && !timed_out_) writer_.set_client_gone();
    co_return written;
}

asio::awaitable<bool> UpstreamAttempt::write_head_and_part(WorkerResponse& response,
                                                           const std::string& part) {
    bool written = true;
    if (!writer_.head_sent()) written = co_await writer_.write_head(response.head());
    if (written) written = co_await writer_.write_chunk(part);
    co_return written;
}

asio::awaitable<AttemptResult> UpstreamAttempt::finish_relay(WorkerResponse& response) {
    if (!group_.claim_response(*this)) {
        drop_connection();
        co_return broken_result();
    }
    release_connection(response, true);
    timer_.cancel();
    bool written = true;
    if (!writer_.head_sent()) written = co_await writer_.write_head(response.head());
    if (written) written = co_await writer_.write_last_chunk();
    if (writer_.client_gone()) co_return AttemptResult::answered;
    writer_.complete_stream(written);
    context_.counters.count_answer(is_success(response.head()));
    co_return AttemptResult::answered;
}

} // namespace willowrill::data
