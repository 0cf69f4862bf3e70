// One attempt of a request at one worker: takes or opens a connection, sends the request, reads the response
// to it and passes it on to the client. Counts the dispatch at its worker when it is made, and the request as
// in flight there until it is destroyed. A worker that is silent keeps the request: its attempt says so, and
// goes on. Knows nothing of other workers. One thread.
#pragma once

#include "system/budget/retry_permit.h"
#include "system/data/attempt_group.h"
#include "system/data/attempt_result.h"
#include "system/data/deadline_timer.h"
#include "system/data/held_body.h"
#include "system/data/in_flight_count.h"
#include "system/data/request_context.h"
#include "system/data/response_head.h"
#include "system/data/response_writer.h"
#include "system/data/silence_monitor.h"
#include "system/data/worker_response.h"
#include "system/http_reader/read_failure.h"
#include "system/stream/event_splitter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::data {

class UpstreamAttempt {
  public:
    // `selection` names a worker; `chosen_by`: the state that it was chosen by; `permit`: of an attempt that
    // takes from the retry budget. `request`, `writer` and `group` must live until the attempt has run.
    UpstreamAttempt(RequestContext& request, ResponseWriter& writer, AttemptGroup& group,
                    const routing::Selection& selection, replication::Position chosen_by,
                    std::optional<budget::RetryPermit> permit);
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Runs to the end of the attempt, and keeps it alive meanwhile. Called once.
    static asio::awaitable<AttemptResult> run(std::shared_ptr<UpstreamAttempt> self);
    // Ends the attempt early: its connection is closed, and nothing more of it reaches the client.
    void cancel();

    const std::string& worker_id() const { return worker_id_; }
    bool was_sent() const { return was_sent_; }
    bool is_cancelled() const { return cancelled_; }
    // The worker has been silent for so long that another one may be asked beside it.
    bool is_silent() const { return silence_.is_silent(); }

  private:
    asio::awaitable<AttemptResult> run_to_result();
    void count_dispatch(const routing::Selection& selection);
    bool still_eligible() const;
    void note_send_after_change() const;
    std::string request_bytes(const routing::Worker& worker) const;
    std::size_t max_open_connections() const;
    asio::awaitable<void> obtain_connection();

    void note_sent();
    asio::awaitable<AttemptResult> send_and_read();
    void start_sending();
    asio::awaitable<AttemptResult> read_response();
    // No body follows the head of a response, whatever that says.
    bool responses_lack_body() const { return request_.request.method() == http::verb::head; }
    AttemptFacts facts() const;

    // Whether a response that was read to its end is the worker's whole response. Notes one that is not.
    asio::awaitable<bool> is_whole(const WorkerResponse& response);
    asio::awaitable<AttemptResult> relay_response(WorkerResponse& response);
    asio::awaitable<void> hold_body(WorkerResponse& response, HeldBody& body);
    asio::awaitable<AttemptResult> answer_with(WorkerResponse& response, HeldBody body);
    asio::awaitable<AttemptResult> relay_rest(WorkerResponse& response, HeldBody& held);
    asio::awaitable<bool> relay_body(WorkerResponse& response, HeldBody& held);
    asio::awaitable<AttemptResult> relay_stream(WorkerResponse& response);
    asio::awaitable<bool> relay_events(WorkerResponse& response);
    asio::awaitable<bool> relay_event_bytes(WorkerResponse& response, const std::string& events);
    // A part of the body, behind the head if that has not gone out. False: the client does not take it.
    asio::awaitable<bool> write_part(WorkerResponse& response, const std::string& part);
    asio::awaitable<bool> write_head_and_part(WorkerResponse& response, const std::string& part);
    asio::awaitable<AttemptResult> finish_relay(WorkerResponse& response);
    AttemptResult broken_result() const;
    // Says what was read of a response that is read no further.
    void note_abandoned(const WorkerResponse& response, http_reader::ReadFailure failure) const;
    void note_abandoned(const WorkerResponse& response) const;
    void note_first_event();

    void watch_silence(bool another_attempt_allowed, routing::Time timeout);
    void note_activity();
    void restart_timer();
    void on_timeout();
    bool worker_owes_bytes();
    void on_silence();
    void on_silence_end();
    void on_deadline();
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
    AttemptGroup& group_;
    std::optional<budget::RetryPermit> permit_; // until the request is sent
    WorkerConnectionPtr connecting_;            // while it comes up
    WorkerConnectionPtr connection_;            // null while there is none, and once it is given back
    std::optional<routing::Time> sent_at_;      // until the response begins
    stream::EventSplitter events_;
    bool was_sent_ = false;
    bool is_first_send_ = false; // of the request
    bool writing_ = false;       // to the client; the worker is not read meanwhile
    bool timed_out_ = false;
    bool cancelled_ = false;
    SilenceMonitor silence_;
    DeadlineTimer timer_;
};

} // namespace willowrill::data
