#include "system/data/client_session.h"

#include "system/data/client_watch.h"
#include "system/http_reader/read.h"
#include "system/http_server/server.h"

#include <array>
#include <string>
#include <utility>

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;

constexpr std::chrono::milliseconds body_timeout{15000};
constexpr std::chrono::milliseconds rejection_timeout{1000};
// The body as it was read, and a copy that is sent to a worker.
constexpr std::size_t copies_of_body = 2;
constexpr std::chrono::milliseconds discard_timeout{1000};
constexpr std::size_t discard_buffer_bytes = 16384;
// Beside the longest head: a head over its limit is told from one that is not complete.
constexpr std::size_t framing_margin_bytes = 512;

std::size_t max_framing_bytes(const configuration::Limits& limits) {
    return limits.max_header_bytes + framing_margin_bytes;
}

// What to tell a client whose bytes could not be read as a request; nothing where it left, or was idle for
// too long.
std::optional<Error> unreadable_error(ErrorCode error, bool has_bytes) {
    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow)
        return Error{ErrorKind::request_too_large, error.message()};
    if (error == beast::error::timeout && has_bytes)
        return Error{ErrorKind::request_timed_out, error.message()};
    const bool from_parser = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool ended = error == http::error::end_of_stream || error == http::error::partial_message;
    if (!from_parser || ended) return std::nullopt;
    return Error{ErrorKind::malformed_request, error.message()};
}

http::response<http::string_body> error_response(const ClientRequest& request, const Error& error,
                                                 bool keep_alive) {
    auto response = http_server::error_response(request, error);
    if (const auto id = request.find("Attempt-Id"); id != request.end())
        response.set("Attempt-Id", id->value());
    http_server::complete(response, text(request.method_string()), keep_alive);
    return response;
}

} // namespace

ClientSession::ClientSession(Context& context, std::shared_ptr<ClientCounts> counts, Tcp::socket socket)
    : context_(context), counts_(std::move(counts)), connection_count_(counts_->connections),
      stream_(std::move(socket)),
      input_(context.input_memory.requests,
             max_framing_bytes(context.active_configuration->configuration.limits)) {}

asio::awaitable<void> ClientSession::run(std::shared_ptr<ClientSession> self) {
    bool more = true;
    while (more)
        more = co_await self->serve_request();
    self->close();
}

void ClientSession::close_if_idle() {
    if (is_idle()) stream_.cancel();
}

void ClientSession::give_up_request() {
    if (proxied_ != nullptr) proxied_->give_up();
}

asio::awaitable<bool> ClientSession::serve_request() {
    const bool has_bytes = co_await await_request();
    if (!has_bytes) co_return false;
    const configuration::Limits& limits = context_.active_configuration->configuration.limits; // as of now
    input_.set_max_bytes(max_framing_bytes(limits));
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
    if (requests_read_ > 0) stream_.expires_after(limits.header_timeout);
    ErrorCode error;
    BodyMemory memory(context_.input_memory.requests, copies_of_body); // until the response is complete
    co_await read_request(parser, memory, error);
    if (error == asio::error::no_memory) co_return co_await reject_for_memory(parser.get());
    if (error) co_return co_await reject_unreadable(error, parser);
    ++requests_read_;
    const ClientRequest request = parser.release();
    co_return co_await respond(request);
}

// Waits for the first bytes of a request. False where the client left, or was idle for too long. The first
// request of a connection must be there with its header when this wait would end.
asio::awaitable<bool> ClientSession::await_request() {
    const configuration::Limits& limits = context_.active_configuration->configuration.limits;
    stream_.expires_after(requests_read_ == 0 ? limits.header_timeout : limits.idle_timeout);
    if (input_.size() > 0) co_return true;
    input_.trim();
    ErrorCode error;
    const asio::mutable_buffer room = input_.prepare(error);
    awaits_request_ = true;
    const std::size_t got =
        co_await stream_.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
    awaits_request_ = false;
    input_.commit(got);
    co_return !error;
}

asio::awaitable<void> ClientSession::read_request(Parser& parser, BodyMemory& memory, ErrorCode& error) {
    co_await http_reader::async_read(stream_, input_, parser, http_reader::ReadUntil::head, memory,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        stream_.expires_never();
        co_return;
    }
    stream_.expires_after(body_timeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) co_await send_continue();
    co_await http_reader::async_read(stream_, input_, parser, http_reader::ReadUntil::end, memory,
                                     asio::redirect_error(asio::use_awaitable, error));
    stream_.expires_never();
}

asio::awaitable<void> ClientSession::send_continue() {
    static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    co_await asio::async_write(stream_, asio::buffer(line),
                               asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> ClientSession::respond(const ClientRequest& request) {
    const routing::Time arrived = steady_now();
    const ActiveConfigurationPtr active_configuration = context_.active_configuration; // as of now
    const std::string path = path_of(request);
    const configuration::Route* route =
        active_configuration->routes.find(text(request[http::field::host]), path);
    // Errors are named before they are awaited with: GCC 12 destroys such temporaries twice (its bug 99576).
    if (route == nullptr) {
        const Error error{ErrorKind::unknown_route, path};
        co_return co_await reject(request, error);
    }
    if (request.find("Attempt-Id") == request.end()) {
        const Error error{ErrorKind::malformed_request, "Attempt-Id is missing"};
        co_return co_await reject(request, error);
    }
    co_return co_await proxy(request, active_configuration, *route, arrived);
}

asio::awaitable<bool> ClientSession::proxy(const ClientRequest& request,
                                           const ActiveConfigurationPtr& configuration,
                                           const configuration::Route& route, routing::Time arrived) {
    const ScopedCount active_request(counts_->active_requests);
    ProxiedRequest proxied(context_, stream_, request, configuration, route, arrived);
    const ClientWatch watch(stream_.socket(), [&proxied] { proxied.client_gone(); });
    proxied_ = &proxied;
    co_await proxied.run();
    proxied_ = nullptr;
    co_return proxied.reusable() && !context_.shutting_down;
}

// Bytes that are no request are answered where there were any; then the connection ends.
asio::awaitable<bool> ClientSession::reject_unreadable(ErrorCode error, const Parser& parser) {
    const std::optional<Error> reason = unreadable_error(error, parser.got_some());
    if (!reason) co_return false;
    ++context_.counters.bad;
    ClientRequest request; // of which its method alone may be relied on
    request.method_string(http_reader::method_of(parser, input_));
    const auto response = error_response(request, *reason, false);
    co_await write_rejection(response);
    co_return false;
}

// The body is not there, so that the connection cannot be used again.
asio::awaitable<bool> ClientSession::reject_for_memory(const ClientRequest& request) {
    ++context_.counters.refused;
    context_.metrics.add(metrics::Total::refusals, "body memory");
    const Error error{ErrorKind::overloaded, "no memory for the body now"};
    const auto response = error_response(request, error, false);
    const bool written = co_await write_rejection(response);
    if (written) co_await discard_rest_of_request();
    co_return false;
}

asio::awaitable<void> ClientSession::discard_rest_of_request() {
    ErrorCode error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    stream_.expires_after(discard_timeout);
    std::array<char, discard_buffer_bytes> discarded{};
    while (!error)
        co_await stream_.async_read_some(asio::buffer(discarded),
                                         asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<bool> ClientSession::reject(const ClientRequest& request, const Error& error) {
    ++context_.counters.bad;
    const bool keep_alive = request.keep_alive() && !context_.shutting_down;
    const auto response = error_response(request, error, keep_alive);
    const bool written = co_await write_rejection(response);
    const bool reusable = written && keep_alive;
    co_return reusable;
}

asio::awaitable<bool> ClientSession::write_rejection(const http::response<http::string_body>& response) {
    ErrorCode error;
    stream_.expires_after(rejection_timeout);
    co_await http::async_write(stream_, response, asio::redirect_error(asio::use_awaitable, error));
    stream_.expires_never();
    co_return !error;
}

// Without a shutdown before it: a client whose next request stays unread is to see a reset, and no orderly
// end.
void ClientSession::close() {
    ErrorCode ignored;
    stream_.socket().close(ignored);
}

} // namespace willowrill::data
