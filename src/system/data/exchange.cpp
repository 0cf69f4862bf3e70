#include "system/data/exchange.h"

#include "system/http_server/server.h"
#include "system/ownership/ownership.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;
using routing::Time;

constexpr Time connect_timeout{500};
constexpr Time wait_step{40}; // between looks for a worker while there is none

} // namespace

Exchange::Exchange(Context& context, beast::tcp_stream& client, const ClientRequest& request,
                   ActiveConfigurationPtr active_configuration, const configuration::Route& route,
                   Time arrived)
    : context_(context), client_(client), request_(request),
      active_configuration_(std::move(active_configuration)), route_(route), arrived_(arrived),
      keep_alive_(request.keep_alive()), watchdog_(std::make_shared<Watchdog>(context.loop)) {
    Time allowed = route.timeout;
    if (const auto given = request.find("Time-Remaining"); given != request.end())
        if (const auto value = whole_number(given->value())) allowed = std::min(allowed, Time(*value));
    deadline_ = arrived + allowed;
    attempt_id_ = text(request["Attempt-Id"]);
    routing_request_.route = &route;
    if (route.affinity)
        routing_request_.prompt =
            routing::parse_prompt(text(request["Prompt-Prefix"]), text(request["Token-Count"]));
}

Time Exchange::left() const { return deadline_ - steady_now(); }

void Exchange::change_state(ExchangeState next) { state_ = next; }

void Exchange::client_gone() {
    change_state(ExchangeState::client_left);
    disarm();
    ErrorCode ignored;
    if (current_) current_->socket.close(ignored);
}

// Ends the attempt under way at that time.
void Exchange::arm(Time at) {
    const std::uint64_t serial = ++watchdog_->serial;
    watchdog_->timer.expires_after(std::max(Time(0), at - steady_now()));
    watchdog_->timer.async_wait([this, watchdog = watchdog_, serial](ErrorCode aborted) {
        if (aborted || serial != watchdog->serial) return;
        timed_out_ = true;
        ErrorCode ignored;
        if (current_) current_->socket.close(ignored);
        if (left() <= answer_margin) client_.socket().cancel(ignored); // it may not be reading
    });
}

void Exchange::disarm() {
    ++watchdog_->serial;
    watchdog_->timer.cancel();
}

asio::awaitable<void> Exchange::run() {
    ++context_.counters.requests;
    const std::string& name = context_.selector.pick_service(route_);
    service_ = active_configuration_->configuration.find_service(name);
    routing_request_.service = service_;
    if (service_->has_engine) routing_request_.prefill = &context_.prefill_costs[name];
    context_.retries(name).note_request(steady_now());
    const auto rank = [this](const std::string& worker) {
        const std::uint64_t own = ownership::rendezvous_weight(worker, context_.settings.node_name);
        return static_cast<std::size_t>(
            std::ranges::count_if(context_.scheduler_names, [&](const std::string& other) {
                return ownership::rendezvous_weight(worker, other) > own;
            }));
    };
    const Time patience = std::min(route_.target / 5, Time(250));
    while (state_ != ExchangeState::client_left) {
        if (left() <= answer_margin) break;
        const routing::SelectionLimits bounds{&active_configuration_->evacuated, context_.schedulers, rank};
        const routing::Selection selection =
            context_.selector.choose(steady_now(), context_.workers, routing_request_, bounds, context_.cold);
        if (selection.worker == nullptr) {
            if (head_sent_ || sends_ > 0 || steady_now() - arrived_ >= patience) break;
            SteadyTimer pause(context_.loop, wait_step);
            co_await pause.async_wait(asio::use_awaitable);
            routing_request_.tried.clear(); // those that could not be reached may be back
            continue;
        }
        const AttemptEnd end = co_await attempt(selection);
        if (state_ == ExchangeState::client_left || end == AttemptEnd::answered) break;
        if (!may_send_again(end)) break;
    }
    disarm();
    if (state_ == ExchangeState::client_left) {
        ++context_.counters.client_left;
        context_.metrics.add(metrics::Total::requests, "client_left");
        co_return;
    }
    if (state_ == ExchangeState::answered) {
        context_.metrics.add(metrics::Total::requests, "answered");
        co_return;
    }
    context_.metrics.add(metrics::Total::requests, head_sent_      ? "cut_short"
                                                   : may_have_run_ ? "failed"
                                                                   : "refused");
    if (head_sent_) { // part of a stream that cannot be finished: the connection ends without its last chunk
        change_state(ExchangeState::aborted);
        ++context_.counters.failed;
        co_return;
    }
    const Error error = final_error();
    co_await refuse(error);
}

const char* Exchange::name_of(AttemptEnd end) {
    switch (end) {
    case AttemptEnd::answered:
        return "answered";
    case AttemptEnd::not_executed:
        return "not_executed";
    case AttemptEnd::misdirected:
        return "misdirected";
    case AttemptEnd::unreachable:
        return "unreachable";
    case AttemptEnd::broken:
        return "broken";
    case AttemptEnd::broken_midway:
        break;
    }
    return "broken_midway";
}

bool Exchange::may_send_again(AttemptEnd end) {
    if (left() <= answer_margin) return false;
    if (end == AttemptEnd::unreachable) return true; // nothing was sent
    // The instance it was sent to is gone, so that no worker of the service has had it by that send; the
    // arrival counts for the budget all the same.
    if (end == AttemptEnd::misdirected) --sends_;
    if (sends_ >= route_.max_attempts) return false;
    const bool ran = end == AttemptEnd::broken || end == AttemptEnd::broken_midway;
    if (ran && !route_.repeatable()) return false;
    if (end == AttemptEnd::broken_midway && events_.last_id().empty()) return false;
    return context_.retries(service_->name).take(steady_now(), context_.schedulers);
}

Error Exchange::final_error() const {
    const bool late = left() <= answer_margin;
    if (!may_have_run_)
        return late ? Error{ErrorKind::deadline_passed_unsent, "no worker took it in time"}
                    : Error{ErrorKind::overloaded, "no worker can take it now"};
    return late ? Error{ErrorKind::deadline_passed, "the worker did not answer in time"}
                : Error{ErrorKind::worker_failed, "the worker broke off"};
}

std::string Exchange::request_for(const routing::Worker& worker) const {
    constexpr unsigned lowest_rank = 9;
    UpstreamHeaders headers;
    headers.instance_id = worker.instance.id;
    headers.left = left();
    if (service_->has_engine) headers.priority = std::min(route_.priority, lowest_rank);
    headers.last_event_id = events_.last_id();
    return upstream_request(request_, headers);
}

void Exchange::note_choice(const routing::Selection& selection) {
    using metrics::Total;
    metrics::Metrics& metrics = context_.metrics;
    const bool to_holder = selection.tier == routing::Tier::cache_holder;
    metrics.add(Total::choices, routing::name_of(selection.tier));
    if (routing_request_.prompt.shared_tokens > 0)
        metrics.add(Total::shared_tokens, to_holder ? "holder" : "other", {},
                    static_cast<double>(routing_request_.prompt.shared_tokens));
    const auto note = [&](const char* reason, std::size_t workers) {
        if (workers > 0) metrics.add(Total::passed_over, reason, {}, static_cast<double>(workers));
    };
    note("full", selection.skipped.saturated);
    note("resting", selection.skipped.ejected);
    note("cold", selection.skipped.warming);
    if (selection.worker->load_report)
        metrics.observe(metrics::Duration::reading_age, steady_now() - selection.worker->load_report->as_of);
}

void Exchange::note_first_event() {
    if (!sent_at_) return;
    context_.metrics.observe(metrics::Duration::first_event_wait, steady_now() - *sent_at_,
                             routing::name_of(tier_), sends_ == 1 ? "first" : "later");
    // What crosses regions is on its way for longer than a prompt may take.
    if (service_->has_engine && nothing_waits_ && tier_ != routing::Tier::elsewhere)
        context_.prefill_costs[service_->name].note_answer(steady_now() - *sent_at_, tokens_to_read_);
    sent_at_.reset();
}

asio::awaitable<Exchange::AttemptEnd> Exchange::attempt(const routing::Selection& selection) {
    routing::Worker& chosen = *selection.worker;
    note_choice(selection);
    tier_ = selection.tier;
    tokens_to_read_ = selection.tokens_to_prefill;
    nothing_waits_ = selection.queue_empty;
    if (service_->has_engine) context_.prefill_costs[service_->name].note_dispatch(tokens_to_read_);
    const std::string id = chosen.instance.id, address = chosen.instance.address;
    const std::size_t shares = std::max<std::size_t>(1, context_.schedulers);
    const std::size_t most_open = std::max<std::size_t>(4, service_->max_connections * 3 / 4 / shares);
    // Counted before anything is awaited, so that requests of the same moment see each other.
    chosen.note_dispatch(steady_now(), selection.load_increment);
    ++chosen.in_flight;
    if (chosen.warming(steady_now())) context_.cold.note_send(steady_now(), id);
    const auto outgoing = std::make_shared<OutgoingRequest>();
    outgoing->bytes = request_for(chosen);

    change_state(ExchangeState::connecting);
    current_ = context_.pool.take_idle(address);
    if (!current_)
        current_ = co_await context_.pool.connect(address, std::min(connect_timeout, left()), most_open);
    AttemptEnd end = AttemptEnd::unreachable;
    if (current_ && state_ != ExchangeState::client_left) {
        const WorkerConnectionPtr connection = current_;
        change_state(ExchangeState::sending);
        ++sends_;
        ++context_.counters.attempts;
        timed_out_ = false;
        sent_at_ = steady_now();
        const bool can_move = route_.repeatable() && sends_ < route_.max_attempts;
        arm(can_move ? std::min(deadline_ - answer_margin,
                                steady_now() + std::max(first_event_wait, route_.target))
                     : deadline_ - answer_margin);
        end = co_await send_and_converse(connection, address, outgoing);
    } else if (current_) {
        context_.pool.drop(address, current_);
    }
    current_ = nullptr;
    disarm();

    context_.metrics.add(metrics::Total::attempts, name_of(end));
    if (end == AttemptEnd::broken || end == AttemptEnd::broken_midway) may_have_run_ = true;
    routing_request_.tried.insert(id);
    const auto found = context_.workers.find(id); // it may have left the list meanwhile
    if (found == context_.workers.end()) co_return end;
    routing::Worker& worker = found->second;
    if (worker.in_flight > 0) --worker.in_flight;
    if (state_ == ExchangeState::client_left) co_return end;
    switch (end) {
    case AttemptEnd::answered:
        worker.note_success();
        break;
    case AttemptEnd::not_executed:
        ++context_.counters.not_executed;
        worker.note_full(steady_now());
        break;
    case AttemptEnd::misdirected:
        ++context_.counters.not_executed;
        worker.replaced = true;
        break;
    case AttemptEnd::unreachable:
        ++context_.counters.unreachable;
        worker.note_failure(steady_now());
        break;
    case AttemptEnd::broken:
    case AttemptEnd::broken_midway:
        ++context_.counters.broken;
        worker.note_failure(steady_now());
        break;
    }
    co_return end;
}

asio::awaitable<void> Exchange::refuse(const Error& error) {
    if (errors::answer_to(error.kind).retry_after)
        context_.metrics.add(metrics::Total::refusals, errors::answer_to(error.kind).reason);
    keep_alive_ = keep_alive_ && !context_.leaving;
    auto answer = http_server::error_response(request_, error);
    if (!attempt_id_.empty()) answer.set("Attempt-Id", attempt_id_);
    answer.keep_alive(keep_alive_);
    answer.prepare_payload();
    ++(answer.result_int() == 503 ? context_.counters.refused : context_.counters.failed);
    ErrorCode failed;
    client_.expires_after(std::max(Time(500), left()));
    co_await http::async_write(client_, answer, asio::redirect_error(asio::use_awaitable, failed));
    client_.expires_never();
    if (state_ != ExchangeState::client_left) change_state(ExchangeState::answered);
    if (failed) keep_alive_ = false;
}

} // namespace willowrill::data
