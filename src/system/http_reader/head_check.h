// What a message must be beyond what Beast's parser asks: a status that a final response has, and a body
// that can be understood. Every message is read through these checks, whoever sent it. Pure.
#pragma once

#include "system/transport/asio.h"

namespace willowrill::http_reader {

// Success, or why there is no response with this head: http::error::bad_version, http::error::bad_status,
// http::error::bad_transfer_encoding, http::error::unexpected_body for a coded one. An interim response (1xx)
// is none, and a coded body is not the sender's: nothing that is sent asks for either.
ErrorCode check_response_head(const http::response_header<>& head);

// Success, or http::error::bad_transfer_encoding where there is no request with this head. The parser takes a
// body in a coding that it does not know for none, and its bytes for the next request.
ErrorCode check_request_head(const http::request_header<>& head);

// Whether a field goes on in a second line. The parser joins such lines, so that the value is not the
// sender's.
bool has_folded_field(asio::const_buffer lines);

} // namespace willowrill::http_reader
