#include "system/http_client/client.h"

#include "system/http_reader/read.h"
#include "system/http_reader/read_failure.h"
#include "system/logging/log.h"
#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::http_client {
namespace {

constexpr std::size_t copies_of_body = 2; // as it is read, a string may hold twice its length
// A small response is read whatever others hold.
constexpr std::size_t uncounted_body_bytes = 4096;
constexpr unsigned http_version = 11; // 1.1, as Beast writes it

} // namespace

Client::Client(asio::io_context& loop, std::string host, std::uint16_t port, Options options)
    : host_(std::move(host)), port_(port), loop_(loop), options_(std::move(options)) {}

void Client::get(const std::string& target, std::chrono::milliseconds timeout, OnResponse done) {
    done_ = std::move(done);
    ++request_number_;
    if (!connection_) connection_ = std::make_shared<Connection>(loop_, options_);
    const auto connection = connection_;
    connection->request = {http::verb::get, target, http_version};
    connection->request.set(http::field::host, host_ + ":" + std::to_string(port_));
    connection->stream.expires_after(timeout);
    if (connection->connected)
        write();
    else
        connect(connection, timeout);
}

void Client::connect(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds timeout) {
    ErrorCode malformed;
    const auto address = asio::ip::make_address(host_, malformed);
    if (malformed) return asio::post(loop_, [self = shared_from_this()] { self->finish(false); });
    const auto on_connected = [self = shared_from_this(), connection, number = request_number_,
                               timeout](ErrorCode error) {
        if (number != self->request_number_) return;
        if (error) return self->finish(false);
        transport::configure_socket(connection->stream.socket(), timeout);
        connection->connected = true;
        self->write();
    };
    connection->stream.async_connect(Tcp::endpoint(address, port_), on_connected);
}

void Client::write() {
    const auto connection = connection_;
    const auto on_written = [self = shared_from_this(), connection,
                             number = request_number_](ErrorCode error, std::size_t /*bytes*/) {
        if (number != self->request_number_) return;
        if (error) return self->finish(false);
        self->read(connection, number);
    };
    http::async_write(connection->stream, connection->request, on_written);
}

void Client::read(const std::shared_ptr<Connection>& connection, std::uint64_t request_number) {
    connection->parser.emplace();
    connection->parser->header_limit(max_framing_bytes - 1);
    connection->parser->body_limit(options_.max_body_bytes);
    connection->body_memory.emplace(options_.input_memory, copies_of_body, uncounted_body_bytes);
    http_reader::async_read(connection->stream, connection->input, *connection->parser,
                            http_reader::ReadUntil::end, *connection->body_memory,
                            [self = shared_from_this(), connection, request_number](ErrorCode error) {
                                if (request_number == self->request_number_) self->on_read(error);
                            });
}

void Client::on_read(ErrorCode error) {
    if (error)
        report_unreadable(error);
    else
        unreadable_reported_ = false;
    finish(!error);
}

void Client::report_unreadable(ErrorCode error) {
    const http_reader::ReadFailure failure = http_reader::failure_of(error);
    if (!http_reader::is_fault_of_sender(failure) || std::exchange(unreadable_reported_, true)) return;
    logging::warning("answer-unreadable")
        .text("server", host_ + ":" + std::to_string(port_))
        .text("target", std::string(connection_->request.target()))
        .field("reason", name_of(failure))
        .text("detail", error.message());
}

void Client::finish(bool answered) {
    ++request_number_;
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
    ++request_number_;
    done_ = nullptr;
    if (!connection_) return;
    connection_->stream.close();
    connection_.reset();
}

} // namespace willowrill::http_client
