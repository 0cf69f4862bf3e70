#include "data/exchange.h"

#include "http/server.h"
#include "ownership/ownership.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;
using routing::Time;

constexpr Time connect_timeout{500};
constexpr Time answer_margin{30};     // the answer leaves this long before the client's deadline
constexpr Time default_keep{4000};    // an idle connection whose worker states no time
constexpr Time keep_margin{700};      // a kept connection is given up this long before its worker would
constexpr Time first_event_wait{900}; // a repeatable request that hears nothing for so long goes elsewhere
constexpr Time wait_step{40};         // between looks for a worker while there is none
constexpr std::uint64_t longest_answer = 16U << 20U;
constexpr std::size_t read_bytes = 16384;
constexpr int stale_answers = 4; // answers of earlier requests that are read past on one connection

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }

// Headers that concern one connection only, or that this scheduler sets itself.
bool is_own(http::field known, boost::beast::string_view name) {
    switch (known) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return beast::iequals(name, "Time-Remaining") || beast::iequals(name, "Target-Instance");
    }
}

std::optional<std::int64_t> whole_number(boost::beast::string_view view) {
    std::int64_t out = 0;
    const auto [stop, error] = std::from_chars(view.data(), view.data() + view.size(), out);
    // A fraction is cut off.
    if (error != std::errc() || (stop != view.data() + view.size() && *stop != '.')) return std::nullopt;
    return out;
}

// `Keep-Alive: timeout=5`, in seconds.
Time idle_time(const http::fields& head) {
    const auto found = head.find(http::field::keep_alive);
    if (found == head.end()) return default_keep;
    const std::string value = text(found->value());
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos) return default_keep;
    constexpr std::int64_t ms_per_s = 1000;
    const auto seconds = whole_number({value.data() + at + 8, value.size() - at - 8});
    return seconds ? Time(*seconds * ms_per_s) - keep_margin : default_keep;
}

} // namespace

Exchange::Exchange(Context& context, beast::tcp_stream& client, const ClientRequest& request,
                   SnapshotPtr in_force, const configuration::Route& route, Time arrived)
    : context_(context), client_(client), request_(request), in_force_(std::move(in_force)), route_(route),
      arrived_(arrived), keep_alive_(request.keep_alive()),
      watchdog_(std::make_shared<Watchdog>(context.loop)) {
    Time allowed = route.timeout;
    if (const auto given = request.find("Time-Remaining"); given != request.end())
        if (const auto value = whole_number(given->value())) allowed = std::min(allowed, Time(*value));
    deadline_ = arrived + allowed;
    attempt_id_ = text(request["Attempt-Id"]);
    demand_.route = &route;
    if (route.affinity)
        demand_.prompt = routing::read_prompt(text(request["Prompt-Prefix"]), text(request["Token-Count"]));
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
    service_ = in_force_->configuration.find_service(name);
    demand_.service = service_;
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
        const routing::Bounds bounds{&in_force_->evacuated, context_.schedulers, rank};
        const routing::Choice choice =
            context_.selector.choose(steady_now(), context_.workers, demand_, bounds, context_.cold);
        if (choice.worker == nullptr) {
            if (head_sent_ || sends_ > 0 || steady_now() - arrived_ >= patience) break;
            SteadyTimer pause(context_.loop, wait_step);
            co_await pause.async_wait(asio::use_awaitable);
            demand_.tried.clear(); // those that could not be reached may be back
            continue;
        }
        const AttemptEnd end = co_await attempt(*choice.worker, choice.step);
        if (state_ == ExchangeState::client_left || end == AttemptEnd::answered) break;
        if (!may_send_again(end)) break;
    }
    disarm();
    if (state_ == ExchangeState::client_left) {
        ++context_.counters.client_left;
        co_return;
    }
    if (state_ == ExchangeState::answered) co_return;
    if (head_sent_) { // part of a stream that cannot be finished: the connection ends without its last chunk
        change_state(ExchangeState::aborted);
        ++context_.counters.failed;
        co_return;
    }
    const Error error = final_error();
    co_await refuse(error);
}

bool Exchange::may_send_again(AttemptEnd end) {
    if (left() <= answer_margin) return false;
    if (end == AttemptEnd::unreachable) return true; // nothing was sent
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

std::string Exchange::upstream_request(const routing::Worker& worker) const {
    std::string out;
    out.reserve(request_.body().size() + 1024);
    out += text(request_.method_string()) + " " + text(request_.target()) + " HTTP/1.1\r\n";
    for (const auto& field : request_) {
        if (is_own(field.name(), field.name_string())) continue;
        if (beast::iequals(field.name_string(), "Priority") ||
            beast::iequals(field.name_string(), "Last-Event-Id"))
            continue;
        out += text(field.name_string()) + ": " + text(field.value()) + "\r\n";
    }
    constexpr unsigned lowest_rank = 9;
    if (service_->has_engine) out += fmt::format("Priority: {}\r\n", std::min(route_.priority, lowest_rank));
    std::string last_id = events_.last_id();
    if (last_id.empty()) last_id = text(request_["Last-Event-Id"]);
    if (!last_id.empty()) out += "Last-Event-Id: " + last_id + "\r\n";
    out += fmt::format("Time-Remaining: {}\r\nTarget-Instance: {}\r\n",
                       std::max<std::int64_t>(1, left().count()), worker.instance.id);
    const bool has_body = request_.method() != http::verb::get && request_.method() != http::verb::head;
    if (has_body || !request_.body().empty())
        out += fmt::format("Content-Length: {}\r\n", request_.body().size());
    out += "\r\n";
    out += request_.body();
    return out;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::attempt(routing::Worker& chosen, double step) {
    const std::string id = chosen.instance.id, address = chosen.instance.address;
    const std::size_t shares = std::max<std::size_t>(1, context_.schedulers);
    const std::size_t most_open = std::max<std::size_t>(4, service_->max_connections * 3 / 4 / shares);
    // Counted before anything is awaited, so that requests of the same moment see each other.
    chosen.note_dispatch(steady_now(), step);
    ++chosen.in_flight;
    if (steady_now() < chosen.cold_until) context_.cold.note_send(steady_now(), id);
    const std::string bytes = upstream_request(chosen);

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
        const bool can_move = route_.repeatable() && sends_ < route_.max_attempts;
        arm(can_move ? std::min(deadline_ - answer_margin,
                                steady_now() + std::max(first_event_wait, route_.target))
                     : deadline_ - answer_margin);
        ErrorCode error;
        co_await asio::async_write(connection->socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        end = AttemptEnd::broken;
        if (!error) {
            if (!head_sent_) change_state(ExchangeState::awaiting_head);
            end = co_await converse(connection, address);
        } else {
            context_.pool.drop(address, connection);
        }
    } else if (current_) {
        context_.pool.drop(address, current_);
    }
    current_ = nullptr;
    disarm();

    if (end == AttemptEnd::broken || end == AttemptEnd::broken_midway) may_have_run_ = true;
    demand_.tried.insert(id);
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

// Reads the answer to this attempt, past late answers to earlier requests.
asio::awaitable<Exchange::AttemptEnd> Exchange::converse(const WorkerConnectionPtr& connection,
                                                         const std::string& address) {
    for (int stale = 0; stale < stale_answers; ++stale) {
        http::response_parser<http::buffer_body> parser;
        parser.header_limit(65536);
        parser.body_limit(
            std::numeric_limits<std::uint64_t>::max()); // none at all is taken for 0 by this Beast
        if (request_.method() == http::verb::head) parser.skip(true);
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) break;
        const auto& head = parser.get();
        const bool not_executed =
            head.find("Not-Executed") != head.end() || head.result() == http::status::misdirected_request;
        const auto id = head.find("Attempt-Id");
        const bool ours = id == head.end() ? not_executed : text(id->value()) == attempt_id_;
        const bool is_stream = head.result() == http::status::ok && ours && !not_executed &&
                               route_.route_class == configuration::RouteClass::streaming;
        if (is_stream) co_return co_await relay_stream(connection, parser, address);
        if (ours && !not_executed && !head_sent_) co_return co_await relay_whole(connection, parser, address);
        if (ours && !not_executed) break; // a stream was to go on, and this is no stream

        std::string ignored_body(read_bytes, '\0');
        while (!parser.is_done() && !error) {
            parser.get().body().data = ignored_body.data();
            parser.get().body().size = ignored_body.size();
            parser.get().body().more = true;
            co_await http::async_read(connection->socket, connection->buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error == http::error::need_buffer) error = {};
        }
        if (ours) {
            settle(address, connection, head, !error && parser.keep_alive());
            co_return AttemptEnd::not_executed;
        }
        if (error || !parser.keep_alive()) break;
    }
    context_.pool.drop(address, connection);
    co_return head_sent_ ? AttemptEnd::broken_midway : AttemptEnd::broken;
}

// Keeps the connection for later, or not.
void Exchange::settle(const std::string& address, const WorkerConnectionPtr& connection,
                      const http::fields& head, bool keep_alive) {
    if (keep_alive)
        context_.pool.keep(address, connection, idle_time(head));
    else
        context_.pool.drop(address, connection);
}

asio::awaitable<Exchange::AttemptEnd> Exchange::relay_whole(const WorkerConnectionPtr& connection,
                                                            http::response_parser<http::buffer_body>& parser,
                                                            const std::string& address) {
    std::string body, piece(read_bytes, '\0');
    ErrorCode error;
    while (!parser.is_done() && !error && body.size() <= longest_answer) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        co_await http::async_read(connection->socket, connection->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) error = {};
        body.append(piece.data(), piece.size() - parser.get().body().size);
    }
    // Without a length or chunks nobody can tell a whole body from one cut short.
    const bool framed = parser.chunked() || parser.content_length();
    if (error || !parser.is_done() || (!framed && !body.empty()) || state_ == ExchangeState::client_left) {
        context_.pool.drop(address, connection);
        co_return AttemptEnd::broken;
    }
    const auto& head = parser.get();
    const bool ok = head.result_int() / 100 == 2;
    if (ok && head.find("Server-Seal") == head.end()) {
        context_.pool.drop(address, connection);
        co_return AttemptEnd::broken;
    }
    settle(address, connection, head, parser.keep_alive());
    disarm();
    current_ = nullptr;
    keep_alive_ = keep_alive_ && !context_.leaving;
    http::response<http::string_body> answer(head.result(), 11);
    answer.reason(head.reason());
    for (const auto& field : head)
        if (!is_own(field.name(), field.name_string())) answer.insert(field.name_string(), field.value());
    answer.body() = std::move(body);
    answer.keep_alive(keep_alive_);
    answer.prepare_payload();
    client_.expires_after(std::max(Time(500), left()));
    co_await http::async_write(client_, answer, asio::redirect_error(asio::use_awaitable, error));
    client_.expires_never();
    if (state_ != ExchangeState::client_left) change_state(ExchangeState::answered);
    if (error) keep_alive_ = false;
    ++(ok ? context_.counters.served : context_.counters.failed);
    co_return AttemptEnd::answered;
}

asio::awaitable<bool> Exchange::send_head(const http::response_header<>& head) {
    keep_alive_ = keep_alive_ && !context_.leaving;
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\n", static_cast<unsigned>(head.result_int()), text(head.reason()));
    for (const auto& field : head)
        if (!is_own(field.name(), field.name_string()))
            out += text(field.name_string()) + ": " + text(field.value()) + "\r\n";
    out += "Transfer-Encoding: chunked\r\n";
    if (!keep_alive_) out += "Connection: close\r\n";
    out += "\r\n";
    head_sent_ = true;
    change_state(ExchangeState::relaying);
    co_return co_await write_client(out);
}

asio::awaitable<bool> Exchange::write_client(const std::string& bytes) {
    ErrorCode error;
    co_await asio::async_write(client_.socket(), asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error && state_ != ExchangeState::client_left;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::relay_stream(const WorkerConnectionPtr& connection,
                                                             http::response_parser<http::buffer_body>& parser,
                                                             const std::string& address) {
    const bool resumable = route_.resumable;
    std::string piece(read_bytes, '\0');
    ErrorCode error;
    bool client_ok = true;
    events_.drop_rest();
    while (!parser.is_done() && !error && client_ok) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        co_await http::async_read_some(connection->socket, connection->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) error = {};
        const std::size_t got = piece.size() - parser.get().body().size;
        if (error || state_ == ExchangeState::client_left) break;
        if (!events_.append({piece.data(), got})) {
            error = http::error::body_limit;
            break;
        }
        std::string whole = events_.take_events();
        if (whole.empty()) continue;
        // From now on only silence ends it early, and only where it can be resumed.
        const bool can_move = resumable && sends_ < route_.max_attempts;
        const Time longest = std::max(first_event_wait, 2 * route_.longest_gap);
        arm(can_move ? std::min(deadline_ - answer_margin, steady_now() + longest)
                     : deadline_ - answer_margin);
        if (!head_sent_) client_ok = co_await send_head(parser.get().base());
        const std::string chunk = fmt::format("{:x}\r\n{}\r\n", whole.size(), whole);
        if (client_ok) client_ok = co_await write_client(chunk);
    }
    const bool whole_stream = parser.is_done() && !error && client_ok && events_.rest().empty();
    const bool framed = parser.chunked() || parser.content_length();
    if (!whole_stream || !framed || state_ == ExchangeState::client_left) {
        context_.pool.drop(address, connection);
        if (!client_ok && state_ != ExchangeState::client_left && !timed_out_) client_gone();
        co_return head_sent_ ? AttemptEnd::broken_midway : AttemptEnd::broken;
    }
    settle(address, connection, parser.get(), parser.keep_alive());
    current_ = nullptr;
    disarm();
    if (!head_sent_) client_ok = co_await send_head(parser.get().base());
    const std::string last_chunk = "0\r\n\r\n";
    if (client_ok) client_ok = co_await write_client(last_chunk);
    if (state_ == ExchangeState::client_left) co_return AttemptEnd::answered;
    change_state(ExchangeState::answered);
    if (!client_ok) keep_alive_ = false;
    ++context_.counters.served;
    co_return AttemptEnd::answered;
}

asio::awaitable<void> Exchange::refuse(const Error& error) {
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
