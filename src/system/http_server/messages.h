// Requests and responses of the system's own HTTP interfaces, and who handles them.
#pragma once

#include "system/transport/asio.h"

#include <functional>

namespace willowrill::http_server {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
// Answers one request. To be called once, from the loop, at once or later.
using Respond = std::function<void(Response)>;
// The request is valid during the call only.
using Handler = std::function<void(const Request&, Respond)>;

} // namespace willowrill::http_server
