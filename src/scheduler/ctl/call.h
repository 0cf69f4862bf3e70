// One call to a scheduler's operators' address, waited for.
#pragma once

#include "scheduler/net/socket.h"

#include <string>

namespace willowrill::ctl {

struct Answer {
    int status = 0; // 0: none, and `error` says why
    std::string body, error;
};

Answer get(const net::Endpoint& address, const std::string& path);

} // namespace willowrill::ctl
