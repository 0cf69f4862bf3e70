#include "system/data/proxied_request.h"

#include "system/ownership/ownership.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

namespace willowrill::data {
namespace {

using routing::Time;

constexpr Time worker_poll_period{40};   // while no worker can take the request
constexpr Time silence_poll_period{250}; // while its workers are silent, and no other one can be asked
constexpr Time max_worker_wait{250};
constexpr int worker_wait_share = 5; // of the route's latency target, that may pass without a worker

// The route's time-out, or what the client says that it still waits, if that is less.
Time request_timeout(const ClientRequest& request, const configuration::Route& route) {
    const auto header = request.find("Time-Remaining");
    if (header == request.end()) return route.timeout;
    const auto stated = whole_number(header->value());
    return stated ? std::min(route.timeout, Time(*stated)) : route.timeout;
}

} // namespace

ProxiedRequest::ProxiedRequest(Context& context, beast::tcp_stream& client, const ClientRequest& request,
                               const ActiveConfigurationPtr& active_configuration,
                               const configuration::Route& route, Time arrived)
    : context_(context), arrived_(arrived),
      request_(context, request, active_configuration, route,
               *active_configuration->configuration.find_service(context.selector.pick_service(route)),
               RequestDeadline(arrived, request_timeout(request, route))),
      writer_(client, request, context.shutting_down), attempts_(context.loop) {
    routing::RoutingRequest& routing_request = request_.routing_request;
    routing_request.route = &route;
    routing_request.service = &request_.service;
    if (route.affinity)
        routing_request.prompt =
            routing::parse_prompt(text(request["Prompt-Prefix"]), text(request["Token-Count"]));
    if (request_.service.has_engine)
        routing_request.prefill_cost = &context_.prefill_costs[request_.service.name];
}

void ProxiedRequest::client_gone() {
    writer_.set_client_gone();
    attempts_.cancel_all();
}

void ProxiedRequest::give_up() {
    given_up_ = true;
    attempts_.cancel_all();
}

asio::awaitable<void> ProxiedRequest::run() {
    ++context_.counters.requests;
    context_.retries(request_.service.name)->record_request(steady_now());
    std::exception_ptr failure;
    try {
        co_await make_attempts();
    } catch (...) {
        failure = std::current_exception();
    }
    // Attempts refer to this object until they have ended.
    attempts_.cancel_all();
    co_await attempts_.wait_until_empty();
    if (failure) std::rethrow_exception(failure);
    take_ended_attempts();
    co_await finish();
}

asio::awaitable<void> ProxiedRequest::make_attempts() {
    while (!is_settled()) {
        if (attempts_.all_silent()) start_attempt();
        if (attempts_.empty()) {
            if (!may_wait_for_worker()) co_return;
            co_await wait_for_worker();
            continue;
        }
        std::optional<Time> max_wait;
        if (attempts_.all_silent()) max_wait = silence_poll_period;
        co_await attempts_.wait_for_change(max_wait);
        take_ended_attempts();
    }
}

// Nothing more is to be attempted, or waited for.
bool ProxiedRequest::is_settled() const {
    if (ended_early() || writer_.state() == ResponseState::complete) return true;
    const bool no_more_attempts = attempts_.held_failure() || request_.deadline.is_due(steady_now());
    return no_more_attempts && attempts_.empty();
}

// Starts one beside those under way, where all that it takes is there. Nothing is taken otherwise.
void ProxiedRequest::start_attempt() {
    if (attempts_.held_failure()) return;
    RetryAnswer answer = ask_for_attempt();
    if (answer.decision != RetryDecision::allowed) return note_silence(name_of(answer.decision));
    const routing::Selection selection = select_worker();
    if (selection.worker == nullptr) return note_silence("no_worker");
    note_silence("started");
    note_selection(selection);
    const replication::Position chosen_by = context_.active_configuration->position;
    attempts_.start(std::make_shared<UpstreamAttempt>(request_, writer_, attempts_, selection, chosen_by,
                                                      std::move(answer.permit)));
}

RetryAnswer ProxiedRequest::ask_for_attempt() {
    RetryConditions conditions;
    conditions.now = steady_now();
    conditions.schedulers = context_.schedulers;
    conditions.response_begun = writer_.head_sent();
    conditions.has_resume_position = !request_.last_event_id.empty();
    conditions.newest_route = request_.newest_route();
    return request_.retry.decide(conditions, context_.retries(request_.service.name));
}

// Counts a silence once, by what came of asking for another attempt first.
void ProxiedRequest::note_silence(const char* other_attempt) {
    if (attempts_.empty() || silence_counted_) return;
    silence_counted_ = true;
    context_.metrics.add(metrics::Total::silences, other_attempt);
}

void ProxiedRequest::take_ended_attempts() {
    if (!attempts_.all_silent()) silence_counted_ = false;
    for (const EndedAttempt& ended : attempts_.take_ended()) {
        if (ended.failure) std::rethrow_exception(ended.failure);
        context_.metrics.add(metrics::Total::attempts, name_of(ended.result));
        request_.retry.note_result(ended.result);
        request_.routing_request.tried_workers.insert(ended.worker_id);
        const auto worker = context_.workers.find(ended.worker_id); // it may have left the list meanwhile
        if (worker != context_.workers.end() && !ended_early()) note_result(worker->second, ended);
    }
}

routing::Selection ProxiedRequest::select_worker() {
    routing::SelectionLimits limits = request_.selection_limits();
    limits.scheduler_rank = [this](const std::string& worker_id) { return succession_rank(worker_id); };
    return context_.selector.choose(steady_now(), context_.workers, request_.routing_request, limits,
                                    context_.cold);
}

// This scheduler's place among those that may send to a worker that is warming up.
std::size_t ProxiedRequest::succession_rank(const std::string& worker_id) const {
    const std::uint64_t own = ownership::rendezvous_weight(worker_id, context_.settings.node_name);
    const auto precedes = [&](const std::string& other) {
        return ownership::rendezvous_weight(worker_id, other) > own;
    };
    return static_cast<std::size_t>(std::ranges::count_if(context_.scheduler_names, precedes));
}

bool ProxiedRequest::may_wait_for_worker() const {
    if (writer_.head_sent() || !request_.retry.nothing_sent()) return false;
    const Time max_wait = std::min(request_.route.target / worker_wait_share, max_worker_wait);
    return steady_now() - arrived_ < max_wait;
}

asio::awaitable<void> ProxiedRequest::wait_for_worker() {
    SteadyTimer pause(context_.loop, worker_poll_period);
    co_await pause.async_wait(asio::use_awaitable);
    request_.routing_request.tried_workers.clear(); // those that could not be reached may be back
}

void ProxiedRequest::note_selection(const routing::Selection& selection) {
    using metrics::Total;
    metrics::Metrics& metrics = context_.metrics;
    const bool to_cache_holder = selection.tier == routing::Tier::cache_holder;
    metrics.add(Total::choices, routing::name_of(selection.tier));
    if (request_.routing_request.prompt.shared_tokens > 0)
        metrics.add(Total::shared_tokens, to_cache_holder ? "holder" : "other", {},
                    static_cast<double>(request_.routing_request.prompt.shared_tokens));
    const auto note_skipped = [&](const char* reason, std::size_t workers) {
        if (workers > 0) metrics.add(Total::passed_over, reason, {}, static_cast<double>(workers));
    };
    note_skipped("full", selection.skipped.saturated);
    note_skipped("resting", selection.skipped.ejected);
    note_skipped("cold", selection.skipped.warming);
    const auto& load_report = selection.worker->load_report;
    if (load_report) metrics.observe(metrics::Duration::reading_age, steady_now() - load_report->as_of);
}

void ProxiedRequest::note_result(routing::Worker& worker, const EndedAttempt& attempt) {
    switch (attempt.result) {
    case AttemptResult::answered:
    case AttemptResult::failure_held:
        worker.record_success();
        break;
    case AttemptResult::not_executed:
        ++context_.counters.not_executed;
        worker.record_rejection(steady_now());
        break;
    case AttemptResult::misdirected:
        ++context_.counters.not_executed;
        worker.replaced = true;
        break;
    case AttemptResult::unreachable:
        ++context_.counters.unreachable;
        worker.record_failure(steady_now());
        break;
    case AttemptResult::cancelled: // these say nothing of the worker
    case AttemptResult::ineligible:
    case AttemptResult::unused:
        break;
    case AttemptResult::broken:
    case AttemptResult::broken_midway:
        ++context_.counters.broken;
        // A silence was recorded when it became too long.
        if (!attempt.was_silent) worker.record_failure(steady_now());
        break;
    }
}

// The label of the request's metric.
const char* ProxiedRequest::outcome() const {
    if (writer_.client_gone()) return "client_left";
    if (writer_.state() == ResponseState::complete) return "answered";
    if (writer_.head_sent()) return "cut_short";
    return request_.retry.may_have_run() ? "failed" : "refused";
}

asio::awaitable<void> ProxiedRequest::finish() {
    context_.metrics.add(metrics::Total::requests, outcome());
    switch (writer_.state()) {
    case ResponseState::complete:
    case ResponseState::aborted:
        break;
    case ResponseState::client_gone:
        ++context_.counters.client_left;
        break;
    case ResponseState::streaming:
        writer_.abort();
        ++context_.counters.failed;
        break;
    case ResponseState::not_started:
        co_await answer_without_success();
        break;
    }
}

asio::awaitable<void> ProxiedRequest::answer_without_success() {
    if (!attempts_.held_failure()) co_return co_await reject();
    const HeldFailure& failure = *attempts_.held_failure();
    co_await writer_.write_response(failure.head, failure.body, request_.remaining_time());
    context_.counters.count_answer(false);
}

asio::awaitable<void> ProxiedRequest::reject() {
    const errors::Error error =
        given_up_ ? request_.retry.shutdown_error() : request_.retry.final_error(steady_now());
    const errors::Answer answer = errors::answer_to(error.kind);
    if (answer.retry_after) context_.metrics.add(metrics::Total::refusals, answer.reason);
    constexpr unsigned service_unavailable = 503;
    ++(answer.status == service_unavailable ? context_.counters.refused : context_.counters.failed);
    co_await writer_.write_rejection(error, request_.remaining_time());
}

} // namespace willowrill::data
