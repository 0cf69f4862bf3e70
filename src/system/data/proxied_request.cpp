#include "system/data/proxied_request.h"

#include "system/ownership/ownership.h"

#include <algorithm>

namespace willowrill::data {
namespace {

using routing::Time;

constexpr Time worker_poll_period{40}; // while no worker can take the request
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
      writer_(client, request, context.shutting_down) {
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
    if (attempt_) attempt_->abort();
}

void ProxiedRequest::give_up() {
    given_up_ = true;
    if (attempt_) attempt_->abort();
}

asio::awaitable<void> ProxiedRequest::run() {
    ++context_.counters.requests;
    context_.retries(request_.service.name).record_request(steady_now());
    co_await make_attempts();
    co_await finish();
}

asio::awaitable<void> ProxiedRequest::make_attempts() {
    while (!ended_early() && !request_.deadline.is_due(steady_now())) {
        const routing::Selection selection = select_worker();
        if (selection.worker == nullptr) {
            if (!may_wait_for_worker()) co_return;
            co_await wait_for_worker();
            continue;
        }
        const AttemptResult result = co_await make_attempt(selection);
        if (ended_early() || result == AttemptResult::answered) co_return;
        if (!retry_allowed(result)) co_return;
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

asio::awaitable<AttemptResult> ProxiedRequest::make_attempt(const routing::Selection& selection) {
    note_selection(selection);
    const std::string worker_id = selection.worker->instance.id;
    attempt_.emplace(request_, writer_, selection, context_.active_configuration->position);
    const AttemptResult result = co_await attempt_->run();
    attempt_.reset();
    context_.metrics.add(metrics::Total::attempts, name_of(result));
    request_.retry.note_result(result);
    request_.routing_request.tried_workers.insert(worker_id);
    const auto found = context_.workers.find(worker_id); // it may have left the list meanwhile
    if (found != context_.workers.end() && !ended_early()) note_result(found->second, result);
    co_return result;
}

bool ProxiedRequest::retry_allowed(AttemptResult result) {
    RetryConditions conditions;
    conditions.now = steady_now();
    conditions.schedulers = context_.schedulers;
    conditions.has_resume_position = !request_.events.last_event_id().empty();
    conditions.newest_route = request_.newest_route();
    budget::RetryBudget& budget = context_.retries(request_.service.name);
    return request_.retry.decide(result, conditions, budget) == RetryDecision::allowed;
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

void ProxiedRequest::note_result(routing::Worker& worker, AttemptResult result) {
    switch (result) {
    case AttemptResult::answered:
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
    case AttemptResult::ineligible: // says nothing of the worker
        break;
    case AttemptResult::broken:
    case AttemptResult::broken_midway:
        ++context_.counters.broken;
        worker.record_failure(steady_now());
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
        co_await reject();
        break;
    }
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
