// How an exchange talks to the worker of an attempt, and passes its answer on to the client.
#include "system/data/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace willowrill::data {
namespace {

using routing::Time;

constexpr std::uint32_t longest_head = 65536;
constexpr std::size_t longest_answer = 16U << 20U;
constexpr std::size_t read_bytes = 16384;
constexpr int most_earlier_answers = 4; // that are read past on one connection

} // namespace

// The request goes out while the answer is read: a worker may answer before it has read a long body. Then the
// rest of the body is still due on this connection, and nothing else may follow on it.
asio::awaitable<Exchange::AttemptEnd>
Exchange::send_and_converse(const WorkerConnectionPtr& connection, const std::string& address,
                            const std::shared_ptr<OutgoingRequest>& outgoing) {
    connection->sending = outgoing;
    asio::async_write(connection->socket, asio::buffer(outgoing->bytes),
                      [connection, outgoing](ErrorCode error, std::size_t written) {
                          outgoing->written = written;
                          outgoing->done = true;
                          outgoing->failed = static_cast<bool>(error);
                          std::string().swap(outgoing->bytes); // the connection may rest for long
                          ErrorCode ignored;
                          // Nothing was taken, so no answer will come; otherwise one may be on its way.
                          if (error && written == 0) connection->socket.cancel(ignored);
                      });
    if (!head_sent_) change_state(ExchangeState::awaiting_head);
    AttemptEnd end = co_await converse(connection, address);
    const bool nothing_sent = outgoing->failed && outgoing->written == 0;
    if (nothing_sent && end == AttemptEnd::broken) {
        --sends_;
        --context_.counters.attempts;
        end = AttemptEnd::unreachable;
    }
    co_return end;
}

AttemptFacts Exchange::facts_of(const WorkerConnection& connection) const {
    return {attempt_id_, route_.route_class == configuration::RouteClass::streaming, connection.reused,
            head_sent_};
}

// Reads the answer to this attempt, past late answers to earlier requests.
asio::awaitable<Exchange::AttemptEnd> Exchange::converse(const WorkerConnectionPtr& connection,
                                                         const std::string& address) {
    for (int earlier = 0; earlier < most_earlier_answers; ++earlier) {
        Parser parser;
        parser.header_limit(longest_head);
        // None at all is taken for 0 by this Beast.
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (request_.method() == http::verb::head) parser.skip(true);
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) break;
        const AnswerMeaning meaning = meaning_of(parser.get(), facts_of(*connection));
        if (meaning == AnswerMeaning::stream) co_return co_await relay_stream(connection, parser, address);
        if (meaning == AnswerMeaning::whole) co_return co_await relay_whole(connection, parser, address);
        if (meaning == AnswerMeaning::unusable) break;
        const bool whole = co_await read_past(connection, parser);
        const bool misdirected = meaning == AnswerMeaning::misdirected;
        if (misdirected || meaning == AnswerMeaning::not_executed) {
            settle(address, connection, parser.get(), whole && parser.keep_alive());
            co_return misdirected ? AttemptEnd::misdirected : AttemptEnd::not_executed;
        }
        if (!whole || !parser.keep_alive()) break;
    }
    context_.pool.drop(address, connection);
    co_return head_sent_ ? AttemptEnd::broken_midway : AttemptEnd::broken;
}

// Reads the rest of an answer that goes to nobody. Says whether it was whole.
asio::awaitable<bool> Exchange::read_past(const WorkerConnectionPtr& connection, Parser& parser) {
    std::string ignored(read_bytes, '\0');
    ErrorCode error;
    std::size_t read = 0;
    while (!parser.is_done() && !error && read <= longest_answer)
        read += co_await read_body(connection, parser, ignored, error);
    co_return parser.is_done() && !error;
}

// Reads some of the body into the piece; returns how many bytes it got.
asio::awaitable<std::size_t> Exchange::read_body(const WorkerConnectionPtr& connection, Parser& parser,
                                                 std::string& piece, ErrorCode& error) {
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    parser.get().body().more = true;
    co_await http::async_read_some(connection->socket, connection->buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    co_return piece.size() - parser.get().body().size;
}

// Keeps the connection for later, or not: never one on which some of the request is still to be sent.
void Exchange::settle(const std::string& address, const WorkerConnectionPtr& connection,
                      const http::fields& head, bool keep_alive) {
    const bool all_sent = connection->sending && connection->sending->done && !connection->sending->failed;
    if (keep_alive && all_sent)
        context_.pool.keep(address, connection, idle_time(head));
    else
        context_.pool.drop(address, connection);
}

asio::awaitable<Exchange::AttemptEnd> Exchange::relay_whole(const WorkerConnectionPtr& connection,
                                                            Parser& parser, const std::string& address) {
    std::string body, piece(read_bytes, '\0');
    ErrorCode error;
    while (!parser.is_done() && !error && body.size() <= longest_answer) {
        const std::size_t got = co_await read_body(connection, parser, piece, error);
        body.append(piece.data(), got);
    }
    // An answer without a length is whole where its connection ended in order, and not where it was reset.
    if (error || !parser.is_done() || state_ == ExchangeState::client_left) {
        context_.pool.drop(address, connection);
        co_return AttemptEnd::broken;
    }
    note_first_event();
    const auto& head = parser.get();
    const bool ok = head.result_int() / 100 == 2;
    settle(address, connection, head, parser.keep_alive());
    disarm();
    current_ = nullptr;
    keep_alive_ = keep_alive_ && !context_.leaving;
    http::response<http::string_body> answer(head.result(), 11);
    answer.reason(head.reason());
    for (const auto& field : head)
        if (!is_own_header(field.name(), field.name_string()))
            answer.insert(field.name_string(), field.value());
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
        if (!is_own_header(field.name(), field.name_string()))
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
                                                             Parser& parser, const std::string& address) {
    const bool resumable = route_.resumable;
    std::string piece(read_bytes, '\0');
    ErrorCode error;
    bool client_ok = true;
    events_.drop_rest();
    while (!parser.is_done() && !error && client_ok) {
        const std::size_t got = co_await read_body(connection, parser, piece, error);
        if (error || state_ == ExchangeState::client_left) break;
        if (!events_.append({piece.data(), got})) {
            error = http::error::body_limit;
            break;
        }
        std::string whole = events_.take_events();
        if (whole.empty()) continue;
        note_first_event();
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
    if (!whole_stream || state_ == ExchangeState::client_left) {
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

} // namespace willowrill::data
