#include "system/data/response_writer.h"

#include "system/http_server/server.h"

#include <fmt/format.h>

#include <algorithm>

namespace willowrill::data {
namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::chrono::milliseconds min_write_timeout{500}; // also where the client's deadline has passed

} // namespace

ResponseWriter::ResponseWriter(beast::tcp_stream& client, const ClientRequest& request,
                               const bool& shutting_down)
    : client_(client), request_(request), shutting_down_(shutting_down), keep_alive_(request.keep_alive()) {}

asio::awaitable<void> ResponseWriter::write_response(const http::response_header<>& head,
                                                     const HeldBody& body,
                                                     std::chrono::milliseconds timeout) {
    decide_keep_alive();
    http::response<HeldBodyResponse> response(head.result(), http_1_1, &body);
    response.reason(head.reason());
    for (const auto& field : head)
        if (!is_own_header(field.name(), field.name_string()))
            response.insert(field.name_string(), field.value());
    response.keep_alive(keep_alive_);
    response.prepare_payload();
    co_await write_whole(response, timeout);
}

asio::awaitable<void> ResponseWriter::write_rejection(const errors::Error& error,
                                                      std::chrono::milliseconds timeout) {
    decide_keep_alive();
    auto response = http_server::error_response(request_, error);
    const std::string attempt_id = text(request_["Attempt-Id"]);
    if (!attempt_id.empty()) response.set("Attempt-Id", attempt_id);
    response.keep_alive(keep_alive_);
    response.prepare_payload();
    co_await write_whole(response, timeout);
}

template <class Body>
asio::awaitable<void> ResponseWriter::write_whole(const http::response<Body>& response,
                                                  std::chrono::milliseconds timeout) {
    ErrorCode error;
    client_.expires_after(std::max(min_write_timeout, timeout));
    co_await http::async_write(client_, response, asio::redirect_error(asio::use_awaitable, error));
    client_.expires_never();
    if (!client_gone()) change_state(ResponseState::complete);
    if (error) keep_alive_ = false;
}

asio::awaitable<bool> ResponseWriter::write_head(const http::response_header<>& head) {
    decide_keep_alive();
    const std::string bytes = stream_head(head);
    head_sent_ = true;
    change_state(ResponseState::streaming);
    co_return co_await write_bytes(bytes);
}

std::string ResponseWriter::stream_head(const http::response_header<>& head) const {
    std::string out =
        fmt::format("HTTP/1.1 {} {}\r\n", static_cast<unsigned>(head.result_int()), text(head.reason()));
    for (const auto& field : head)
        if (!is_own_header(field.name(), field.name_string()))
            out += text(field.name_string()) + ": " + text(field.value()) + "\r\n";
    out += "Transfer-Encoding: chunked\r\n";
    if (!keep_alive_) out += "Connection: close\r\n";
    return out + "\r\n";
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
