#include "system/http/client.h"

#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::http_client {
namespace {

constexpr std::uint64_t longest_body = 8U << 20U;

} // namespace

Client::Client(asio::io_context& loop, std::string host, std::uint16_t port)
    : host_(std::move(host)), port_(port), loop_(loop) {}

void Client::get(const std::string& target, std::chrono::milliseconds timeout, OnResponse done) {
    done_ = std::move(done);
    const std::uint64_t serial = ++serial_;
    if (!connection_) connection_ = std::make_shared<Connection>(loop_);
    const auto connection = connection_;
    connection->request = {http::verb::get, target, 11};
    connection->request.set(http::field::host, host_ + ":" + std::to_string(port_));
    connection->stream.expires_after(timeout);
    if (connection->connected) return write();
    ErrorCode malformed;
    const auto address = asio::ip::make_address(host_, malformed);
    if (malformed) return asio::post(loop_, [self = shared_from_this()] { self->finish(false); });
    connection->stream.async_connect(Tcp::endpoint(address, port_), [self = shared_from_this(), connection,
                                                                     serial, timeout](ErrorCode error) {
        if (serial != self->serial_) return;
        if (error) return self->finish(false);
        transport::prepare(connection->stream.socket(), timeout);
        connection->connected = true;
        self->write();
    });
}

void Client::write() {
    const std::uint64_t serial = serial_;
    const auto connection = connection_;
    const auto on_read = [self = shared_from_this(), connection, serial](ErrorCode error, std::size_t) {
        if (serial == self->serial_) self->finish(!error);
    };
    const auto on_written = [self = shared_from_this(), connection, serial, on_read](ErrorCode error,
                                                                                     std::size_t) {
        if (serial != self->serial_) return;
        if (error) return self->finish(false);
        connection->parser.emplace();
        connection->parser->body_limit(longest_body);
        http::async_read(connection->stream, connection->buffer, *connection->parser, on_read);
    };
    http::async_write(connection->stream, connection->request, on_written);
}

void Client::finish(bool answered) {
    ++serial_;
    const OnResponse done = std::exchange(done_, nullptr);
    std::optional<Response> response;
    if (answered) response = connection_->parser->release();
    if (response && response->keep_alive())
        connection_->stream.expires_never();
    else
        close();
    if (done) done(response ? &*response : nullptr);
}

void Client::close() {
    ++serial_;
    done_ = nullptr;
    if (!connection_) return;
    connection_->stream.close();
    connection_.reset();
}

} // namespace willowrill::http_client
