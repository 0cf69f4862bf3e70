// Responses that the system's own interfaces have in common. Pure.
#pragma once

#include "system/errors/error.h"
#include "system/http_server/messages.h"

#include <string>

namespace willowrill::http_server {

// A response to `request` with a JSON document. `status`: an HTTP status.
Response json_response(const Request& request, unsigned status, std::string body);
// The response that the table of error kinds gives.
Response error_response(const Request& request, const errors::Error& error);

} // namespace willowrill::http_server
