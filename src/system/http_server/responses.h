// Responses that the system's own interfaces have in common. Pure.
#pragma once

#include "system/errors/error.h"
#include "system/http_server/messages.h"

#include <string>
#include <string_view>

namespace willowrill::http_server {

// A response to `request` with a JSON document. `status`: an HTTP status.
Response json_response(const Request& request, unsigned status, std::string body);
// The response that the table of error kinds gives.
Response error_response(const Request& request, const errors::Error& error);

// Completes a response to a request with this method before it is written: what it says of its length and of
// its connection, and no body where none may follow the head.
void complete(Response& response, std::string_view request_method, bool keep_alive);

} // namespace willowrill::http_server
