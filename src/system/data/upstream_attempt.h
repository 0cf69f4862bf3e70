// One attempt of a request at one worker: takes or opens a connection, sends the request, reads the response
// to it and passes it on to the client. Counts the dispatch at its worker when it is made, and the request as
// in flight there until it is destroyed. Knows nothing of other workers. One thread.
#pragma once

#include "system/data/attempt_result.h"
#include "system/data/deadline_timer.h"
#include "system/data/held_body.h"
#include "system/data/in_flight_count.h"
#include "system/data/request_context.h"
#include "system/data/response_head.h"
#include "system/data/response_writer.h"
#include "system/data/worker_response.h"
#include "system/http_reader/read_failure.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::data {

class UpstreamAttempt {
  public:
    // `selection` names a worker; `chosen_by`: the state that it was chosen by. `request` and `writer` must
    // outlive this object.
    UpstreamAttempt(RequestContext& request, ResponseWriter& writer, const routing::Selection& selection,
                    replication::Position chosen_by);
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Runs to the end of the attempt. Called once.
    asio::awaitable<AttemptResult> run();
    // Ends the attempt early: its connection is closed, or not used where it is still coming up.
    void abort();

  private:
    void count_dispatch(const routing::Selection& selection);
    bool still_eligible() const;
    void note_send_after_change() const;
    std::string request_bytes(const routing::Worker& worker) const;
    std::size_t max_open_connections() const;
    asio::awaitable<void> obtain_connection();

    asio::awaitable<AttemptResult> send_and_read();
    void start_sending();
    asio::awaitable<AttemptResult> read_response();
    AttemptFacts facts() const;

    // Whether a response that was read to its end is the worker's whole response. Notes one that is not.
    asio::awaitable<bool> is_whole(const WorkerResponse& response);
    asio::awaitable<AttemptResult> relay_response(WorkerResponse& response);
    asio::awaitable<void> hold_body(WorkerResponse& response, HeldBody& body);
    asio::awaitable<AttemptResult> answer_with(WorkerResponse& response, const HeldBody& body);
    asio::awaitable<AttemptResult> relay_rest(WorkerResponse& response, HeldBody& held);
    asio::awaitable<bool> relay_body(WorkerResponse& response, HeldBody& held);
    asio::awaitable<AttemptResult> relay_stream(WorkerResponse& response);
    asio::awaitable<bool> relay_events(WorkerResponse& response);
    asio::awaitable<bool> relay_event_bytes(WorkerResponse& response, const std::string& events);
    // A part of the body, behind the head if that has not gone out. False: the client does not take it.
    asio::awaitable<bool> write_part(WorkerResponse& response, const std::string& part);
    asio::awaitable<AttemptResult> finish_relay(WorkerResponse& response);
    void count_answer(const WorkerResponse& response) const;
    AttemptResult broken_result() const;
    // Says what was read of a response that is read no further.
    void note_abandoned(const WorkerResponse& response, http_reader::ReadFailure failure) const;
    void note_abandoned(const WorkerResponse& response) const;
    void note_first_event();

    void start_timer(bool another_attempt_allowed, routing::Time silence_timeout);
    void on_timeout();
    void release_connection(const WorkerResponse& response, bool complete);
    void drop_connection();

    Context& context_;
    RequestContext& request_;
    ResponseWriter& writer_;
    const std::string address_;
    const std::string worker_id_, zone_;
    const replication::Position chosen_by_;
    const routing::Time chosen_at_;
    const routing::Tier tier_;
    const std::uint64_t tokens_to_prefill_;
    const bool worker_queue_empty_; // as far as was known when it was selected
    InFlightCount in_flight_;
    std::shared_ptr<OutgoingRequest> outgoing_;
    WorkerConnectionPtr connection_;       // null while there is none, and once it is given back
    std::optional<routing::Time> sent_at_; // until the response begins
    bool timed_out_ = false;
    bool aborted_ = false;
    DeadlineTimer timer_;
};

} // namespace willowrill::data
