// The head of a worker's response as its client gets it: status, reason and fields as the worker gave them,
// but for the fields that concern one connection only. Pure.
#pragma once

#include "system/transport/asio.h"

#include <cstddef>
#include <string>

namespace willowrill::data {

// The field that tells a client where the body ends, each with its line end.
inline constexpr const char* chunked_field = "Transfer-Encoding: chunked\r\n";
std::string length_field(std::size_t body_bytes);
// Of a response without a body: the length that the worker states, which is that of the body that a GET gets.
// Empty where it states none, or where the status has none.
std::string stated_length_field(const http::response_header<>& head);

// The bytes of the head up to its empty line. `framing_field`: one of the above. `keep_alive`: the client's
// connection stays open after the response.
std::string forwarded_head(const http::response_header<>& head, const std::string& framing_field,
                           bool keep_alive);

} // namespace willowrill::data
