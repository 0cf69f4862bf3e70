#include "system/http_server/session.h"

#include "system/errors/error.h"
#include "system/http_reader/read.h"
#include "system/http_server/responses.h"

#include <cstdint>
#include <utility>

namespace willowrill::http_server {
namespace {

using errors::ErrorKind;

// Beside the longest head: a head over its limit is told from one that is not complete.
constexpr std::size_t framing_margin_bytes = 512;
// The body as it was read, and what its handler makes of it.
constexpr std::size_t copies_of_body = 2;

// Whether the client is to be told that its request was no HTTP: not where the connection merely ended.
bool is_malformed(const ErrorCode& error) {
    if (!error || error == http::error::end_of_stream || error == http::error::partial_message) return false;
    return error.category() == http::make_error_code(http::error::bad_method).category();
}

} // namespace

Session::Session(std::shared_ptr<SessionContext> context, Tcp::socket socket)
    : context_(std::move(context)), stream_(std::move(socket)),
      input_(context_->options.input_memory, context_->options.header_bytes + framing_margin_bytes) {
    ++context_->open_sessions;
}

Session::~Session() { --context_->open_sessions; }

void Session::read() {
    context_->waiting.push_back(*this);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(context_->options.header_bytes));
    parser_->body_limit(context_->options.body_bytes);
    body_memory_.emplace(context_->options.input_memory, copies_of_body);
    input_.trim();
    stream_.expires_after(context_->options.read_timeout);
    http_reader::async_read(stream_, input_, *parser_, http_reader::ReadUntil::end, *body_memory_,
                            [self = shared_from_this()](ErrorCode error) { self->on_read(error); });
}

void Session::close() {
    unlink();
    stream_.close();
}

void Session::on_read(ErrorCode error) {
    if (is_linked()) unlink();
    request_method_ = http_reader::method_of(*parser_, input_);
    if (error == asio::error::no_memory)
        return write(error_response({}, {ErrorKind::overloaded, "no memory for the request now"}), true);
    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow)
        return write(error_response({}, {ErrorKind::request_too_large, error.message()}), true);
    if (is_malformed(error))
        return write(error_response({}, {ErrorKind::malformed_request, error.message()}), true);
    if (error) return;
    stream_.expires_never();
    const Request request = parser_->release();
    const bool last = !request.keep_alive();
    context_->handler(request, [self = shared_from_this(), last](Response response) {
        self->write(std::move(response), last);
    });
}

void Session::write(Response response, bool last) {
    complete(response, request_method_, !last);
    response_ = std::move(response);
    stream_.expires_after(context_->options.read_timeout);
    http::async_write(stream_, response_,
                      [self = shared_from_this(), last](ErrorCode error, std::size_t /*bytes*/) {
                          self->on_written(error, last);
                      });
}

void Session::on_written(ErrorCode error, bool last) {
    if (error) return;
    if (!last) return read();
    ErrorCode ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

} // namespace willowrill::http_server
