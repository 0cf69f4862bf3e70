// What a response must be beyond what Beast's parser asks: a status that a final response has, and a body
// that can be understood. Every response is read through this check, whoever sent it. Pure.
#pragma once

#include "system/transport/asio.h"

namespace willowrill::http_reader {

// Success, or why there is no response with this head: http::error::bad_version, http::error::bad_status,
// http::error::bad_transfer_encoding. An interim response (1xx) is none: nothing that is sent asks for one.
ErrorCode check_response_head(const http::response_header<>& head);

} // namespace willowrill::http_reader
