// A blocking HTTP client for the admin server of a scheduler.
#pragma once

#include "scheduler/net/socket.h"

#include <string>

namespace willowrill::ctl {

struct HttpResponse {
    int status = 0; // 0 if there is no response; `error` has the reason
    std::string body, error;
};

// Sends one GET request and waits at most 5 s for the response.
HttpResponse http_get(const net::Endpoint& address, const std::string& path);

} // namespace willowrill::ctl
