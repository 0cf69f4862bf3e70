#include "system/data/response_writer.h"

#include "common/http_rules/response_rules.h"
#include "system/data/forwarded_head.h"
#include "system/http_server/responses.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds min_write_timeout{500}; // also where the client's deadline has passed

} // namespace

ResponseWriter::ResponseWriter(beast::tcp_stream& client, const ClientRequest& request,
                               const bool& shutting_down)
    : client_(client), request_(request), shutting_down_(shutting_down), keep_alive_(request.keep_alive()) {}

asio::awaitable<void> ResponseWriter::write_response(const http::response_header<>& head,
                                                     const HeldBody& body,
                                                     std::chrono::milliseconds timeout) {
    decide_keep_alive();
    const bool has_body = http_rules::may_have_body(text(request_.method_string()), head.result_int());
    const std::string framing_field = has_body ? length_field(body.size()) : stated_length_field(head);
    const std::string head_bytes = forwarded_head(head, framing_field, keep_alive_);
    std::vector<asio::const_buffer> buffers = has_body ? body.data() : std::vector<asio::const_buffer>();
    buffers.insert(buffers.begin(), asio::buffer(head_bytes));
    ErrorCode error;
    client_.expires_after(std::max(min_write_timeout, timeout));
    co_await asio::async_write(client_, buffers, asio::redirect_error(asio::use_awaitable, error));
    complete_write(error);
}

asio::awaitable<void> ResponseWriter::write_rejection(const errors::Error& error,
                                                      std::chrono::milliseconds timeout) {
    decide_keep_alive();
    auto response = http_server::error_response(request_, error);
    const std::string attempt_id = text(request_["Attempt-Id"]);
    if (!attempt_id.empty()) response.set("Attempt-Id", attempt_id);
    http_server::complete(response, text(request_.method_string()), keep_alive_);
    ErrorCode write_error;
    client_.expires_after(std::max(min_write_timeout, timeout));
    co_await http::async_write(client_, response, asio::redirect_error(asio::use_awaitable, write_error));
    complete_write(write_error);
}

void ResponseWriter::complete_write(ErrorCode error) {
    client_.expires_never();
    if (!client_gone()) change_state(ResponseState::complete);
    if (error) keep_alive_ = false;
}

asio::awaitable<bool> ResponseWriter::write_head(const http::response_header<>& head) {
    decide_keep_alive();
    const std::string bytes = forwarded_head(head, chunked_field, keep_alive_);
    head_sent_ = true;
    change_state(ResponseState::streaming);
    co_return co_await write_bytes(bytes);
}

asio::awaitable<bool> ResponseWriter::write_chunk(const std::string& content) {
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", content.size(), content);
    co_return co_await write_bytes(chunk);
}

asio::awaitable<bool> ResponseWriter::write_last_chunk() {
    const std::string last_chunk = "0\r\n\r\n";
    co_return co_await write_bytes(last_chunk);
}

asio::awaitable<bool> ResponseWriter::write_bytes(const std::string& bytes) {
    ErrorCode error;
    co_await asio::async_write(client_.socket(), asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error && !client_gone();
}

void ResponseWriter::complete_stream(bool last_chunk_written) {
    change_state(ResponseState::complete);
    if (!last_chunk_written) keep_alive_ = false;
}

void ResponseWriter::cancel_write() {
    ErrorCode ignored;
    client_.socket().cancel(ignored);
}

} // namespace willowrill::data
