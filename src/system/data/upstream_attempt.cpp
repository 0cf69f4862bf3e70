#include "system/data/upstream_attempt.h"

#include "system/logging/log.h"
#include "system/transport/socket_options.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {
namespace {

using routing::Time;

constexpr Time connect_timeout{500};
// Of a request that may be repeated: another worker is asked after so long without an event, at the earliest.
constexpr Time min_silence_timeout{900};
constexpr int max_earlier_responses = 4; // that are discarded on one connection
// Of a worker's promise that it did not run the request: its head says all, and another worker waits.
constexpr std::size_t max_promise_body_bytes = 65536;
constexpr unsigned lowest_priority = 9;
constexpr std::size_t noteworthy_bytes = 1U << 20U; // of a response that was not read to its end
constexpr std::size_t min_connections = 4;          // to one worker, whatever this scheduler's share

// The label of the metric for responses that say nothing of this attempt; null for one that does.
const char* discard_reason(ResponseKind kind) {
    if (kind == ResponseKind::earlier) return "earlier_request";
    return kind == ResponseKind::unusable ? "unusable" : nullptr;
}

} // namespace

UpstreamAttempt::UpstreamAttempt(RequestContext& request, ResponseWriter& writer, AttemptGroup& group,
                                 const routing::Selection& selection, replication::Position chosen_by,
                                 std::optional<budget::RetryPermit> permit)
    : context_(request.data_plane), request_(request), writer_(writer),
      address_(selection.worker->instance.address), worker_id_(selection.worker->instance.id),
      zone_(selection.worker->instance.zone), chosen_by_(chosen_by), chosen_at_(steady_now()),
      tier_(selection.tier), tokens_to_prefill_(selection.tokens_to_prefill),
      worker_queue_empty_(selection.queue_empty), in_flight_(context_.workers_handle(), *selection.worker),
      outgoing_(std::make_shared<OutgoingRequest>()), group_(group), permit_(std::move(permit)),
      timer_(context_.loop) {
    count_dispatch(selection);
    outgoing_->bytes = request_bytes(*selection.worker);
}

// Before anything is awaited, so that requests of the same moment see each other.
void UpstreamAttempt::count_dispatch(const routing::Selection& selection) {
    const configuration::Service& service = request_.service;
    if (service.has_engine) context_.prefill_costs[service.name].record_dispatch(tokens_to_prefill_);
    routing::Worker& worker = *selection.worker;
    worker.record_dispatch(steady_now(), selection.load_increment);
    if (worker.is_warming(steady_now())) context_.cold.record_send(steady_now(), worker.instance.id);
}

std::string UpstreamAttempt::request_bytes(const routing::Worker& worker) const {
    UpstreamHeaders headers;
    headers.instance_id = worker.instance.id;
    headers.remaining_time = request_.remaining_time();
    if (request_.service.has_engine) headers.priority = std::min(request_.route.priority, lowest_priority);
    headers.last_event_id = request_.last_event_id;
    return upstream_request(request_.request, headers);
}

// This scheduler's share, with room for shares that are not used evenly.
std::size_t UpstreamAttempt::max_open_connections() const {
    const std::size_t schedulers = std::max<std::size_t>(1, context_.schedulers);
    return std::max(min_connections, request_.newest_service().max_connections * 3 / 4 / schedulers);
}

asio::awaitable<void> UpstreamAttempt::obtain_connection() {
    const std::size_t max_open = max_open_connections();
    connection_ = context_.pool.take_idle(address_, request_.used_connections);
    if (connection_) co_return;
    const Time timeout = std::min(connect_timeout, request_.remaining_time());
    connection_ = co_await context_.pool.connect(address_, timeout, max_open, connecting_);
    connecting_ = nullptr;
}

asio::awaitable<AttemptResult> UpstreamAttempt::run(std::shared_ptr<UpstreamAttempt> self) {
    const AttemptResult result = co_await self->run_to_result();
    const bool broke_off = result == AttemptResult::broken || result == AttemptResult::broken_midway;
    if (!self->cancelled_) co_return result;
    if (!self->was_sent_) co_return AttemptResult::unused;
    co_return broke_off ? AttemptResult::cancelled : result;
}

asio::awaitable<AttemptResult> UpstreamAttempt::run_to_result() {
    co_await obtain_connection();
    if (connection_ && cancelled_) drop_connection();
    if (!connection_) co_return AttemptResult::unreachable;
    if (!still_eligible()) {
        drop_connection();
        co_return AttemptResult::ineligible;
    }
    note_sent();
    watch_silence(request_.retry.may_repeat(), request_.route.target);
    const AttemptResult result = co_await send_and_read();
    connection_ = nullptr;
    timer_.cancel();
    if (was_sent_ && permit_) permit_->spend();
    co_return result;
}

void UpstreamAttempt::note_sent() {
    note_send_after_change();
    was_sent_ = true;
    is_first_send_ = request_.retry.nothing_sent();
    request_.retry.note_sent();
    request_.routing_request.tried_workers.insert(worker_id_);
    request_.used_connections.push_back(connection_);
    ++context_.counters.attempts;
    sent_at_ = steady_now();
}

// While the connection came up, the worker's zone may have been evacuated, or the worker may have begun to
// drain.
bool UpstreamAttempt::still_eligible() const {
    const auto found = context_.workers.find(worker_id_);
    return found != context_.workers.end() &&
           context_.selector.is_eligible(found->second, request_.routing_request,
                                         request_.selection_limits());
}

// Which state led to a send, for those whose request began with an older one than the newest.
void UpstreamAttempt::note_send_after_change() const {
    const replication::Position newest = context_.active_configuration->position;
    const replication::Position began_with = request_.began_with->position;
    if (began_with == newest) return;
    context_.metrics.add(metrics::Total::sends_after_change, chosen_by_ == newest ? "newest" : "superseded");
    logging::info("send-after-change")
        .field("node", context_.settings.node_name)
        .text("attempt_id", request_.attempt_id)
        .field("worker", worker_id_)
        .field("zone", zone_)
        .field("began_with", to_text(began_with))
        .field("chosen_by", to_text(chosen_by_))
        .field("newest", to_text(newest))
        .field("waited_ms", (steady_now() - chosen_at_).count());
}

void UpstreamAttempt::cancel() {
    cancelled_ = true;
    timer_.cancel();
    ErrorCode ignored;
    for (const WorkerConnectionPtr& connection : {connecting_, connection_})
        if (connection) connection->socket.close(ignored);
}

// Another worker may be asked once this one has been silent for so long, where the route allows it. Whether
// that can be done is asked then; this attempt goes on until the response is due.
void UpstreamAttempt::watch_silence(bool another_attempt_allowed, Time timeout) {
    if (another_attempt_allowed)
        silence_.start(steady_now(), std::max(min_silence_timeout, timeout));
    else
        silence_.stop();
    restart_timer();
}

void UpstreamAttempt::note_activity() {
    if (silence_.note_activity(steady_now())) on_silence_end();
}

void UpstreamAttempt::restart_timer() {
    const Time due = request_.deadline.response_due();
    const Time at = std::min(due, silence_.due().value_or(due));
    timer_.start(at - steady_now(), [this] { on_timeout(); });
}

void UpstreamAttempt::on_timeout() {
    const Time now = steady_now();
    if (request_.deadline.is_due(now)) return on_deadline();
    if (!worker_owes_bytes()) silence_.note_activity(now);
    if (silence_.expire(now)) on_silence();
    restart_timer();
}

// Where the client is slow to take what it got, or this process to read what has come, the worker is not
// silent.
bool UpstreamAttempt::worker_owes_bytes() {
    return connection_ && !writing_ && transport::pending(connection_->socket) != transport::Pending::bytes;
}

// Other requests are better off elsewhere until the worker goes on.
void UpstreamAttempt::on_silence() {
    const auto worker = context_.workers.find(worker_id_);
    if (worker != context_.workers.end()) worker->second.record_failure(steady_now());
    group_.notify();
}

void UpstreamAttempt::on_silence_end() {
    context_.metrics.add(metrics::Total::ended_silences);
    const auto worker = context_.workers.find(worker_id_);
    if (worker != context_.workers.end()) worker->second.record_success();
    restart_timer();
}

void UpstreamAttempt::on_deadline() {
    timed_out_ = true;
    ErrorCode ignored;
    if (connection_) connection_->socket.close(ignored);
    if (writing_) writer_.cancel_write();
}

// The request goes out while the response is read: a worker may answer before it has read a long body. Then
// the rest of the body is still due on this connection, and nothing else may follow on it.
asio::awaitable<AttemptResult> UpstreamAttempt::send_and_read() {
    start_sending();
    const AttemptResult result = co_await read_response();
    if (!outgoing_->nothing_sent() || result != AttemptResult::broken) co_return result;
    request_.retry.note_nothing_sent();
    was_sent_ = false;
    --context_.counters.attempts;
    co_return AttemptResult::unreachable;
}

void UpstreamAttempt::start_sending() {
    connection_->outgoing = outgoing_;
    const auto on_written = [connection = connection_, outgoing = outgoing_](ErrorCode error,
                                                                             std::size_t written) {
        outgoing->finish(error, written);
        // Nothing was taken, so no response will come; otherwise one may be on its way.
        ErrorCode ignored;
        if (outgoing->nothing_sent()) connection->socket.cancel(ignored);
    };
    asio::async_write(connection_->socket, asio::buffer(outgoing_->bytes), on_written);
}

AttemptFacts UpstreamAttempt::facts() const {
    const bool is_stream_route = request_.route.route_class == configuration::RouteClass::streaming;
    return {request_.attempt_id, is_stream_route && !responses_lack_body(), connection_->reused,
            writer_.head_sent()};
}

// Reads the response to this attempt, past late responses to earlier requests.
asio::awaitable<AttemptResult> UpstreamAttempt::read_response() {
    for (int earlier = 0; earlier < max_earlier_responses; ++earlier) {
        WorkerResponse response(connection_, responses_lack_body());
        const bool has_head = co_await response.read_head();
        if (!has_head) {
            note_abandoned(response);
            break;
        }
        const ResponseKind kind = classify_response(response.head(), facts());
        if (kind == ResponseKind::stream) co_return co_await relay_stream(response);
        if (kind == ResponseKind::complete) co_return co_await relay_response(response);
        if (const char* const reason = discard_reason(kind))
            context_.metrics.add(metrics::Total::discarded_responses, reason);
        if (kind == ResponseKind::unusable) {
            note_abandoned(response, http_reader::ReadFailure::unusable);
            break;
        }
        const bool promised = kind != ResponseKind::earlier;
        const bool complete =
            co_await response.discard_body(promised ? max_promise_body_bytes : max_response_body_bytes);
        if (promised) {
            release_connection(response, complete);
            co_return kind == ResponseKind::misdirected ? AttemptResult::misdirected
                                                        : AttemptResult::not_executed;
        }
        if (!complete || !response.keep_alive()) break;
    }
    drop_connection();
    co_return broken_result();
}

void UpstreamAttempt::note_abandoned(const WorkerResponse& response) const {
    if (response.last_error()) note_abandoned(response, http_reader::failure_of(response.last_error()));
}

void UpstreamAttempt::note_abandoned(const WorkerResponse& response, http_reader::ReadFailure failure) const {
    const char* const part = response.has_head() ? "body" : "head";
    context_.metrics.add(metrics::Total::abandoned_responses, part, name_of(failure));
    const bool is_long = std::max(response.buffered_bytes(), response.body_bytes()) > noteworthy_bytes;
    if (!http_reader::is_fault_of_sender(failure) && !is_long) return;
    logging::warning("response-abandoned")
        .field("node", context_.settings.node_name)
        .text("attempt_id", request_.attempt_id)
        .field("worker", worker_id_)
        .field("part", part)
        .field("reason", name_of(failure))
        .field("body_bytes", response.body_bytes())
        .field("buffered_bytes", response.buffered_bytes());
}

AttemptResult UpstreamAttempt::broken_result() const {
    return writer_.head_sent() ? AttemptResult::broken_midway : AttemptResult::broken;
}

// Keeps the connection for later, or not: never one on which some of the request is still to be sent.
void UpstreamAttempt::release_connection(const WorkerResponse& response, bool complete) {
    if (!complete || !response.keep_alive() || outgoing_->state != SendState::sent) return drop_connection();
    const WorkerConnectionPtr released = std::exchange(connection_, nullptr);
    context_.pool.keep(address_, released, idle_timeout(response.head()));
}

void UpstreamAttempt::drop_connection() {
    const WorkerConnectionPtr dropped = std::exchange(connection_, nullptr);
    context_.pool.drop(address_, dropped);
}

void UpstreamAttempt::note_first_event() {
    if (!sent_at_) return;
    const Time waited = steady_now() - *sent_at_;
    sent_at_.reset();
    context_.metrics.observe(metrics::Duration::first_event_wait, waited, routing::name_of(tier_),
                             is_first_send_ ? "first" : "later");
    const configuration::Service& service = request_.service;
    // What crosses regions is on its way for longer than a prompt may take.
    if (service.has_engine && worker_queue_empty_ && tier_ != routing::Tier::other_region)
        context_.prefill_costs[service.name].record_response_start(waited, tokens_to_prefill_);
}

} // namespace willowrill::data
