// A client's HTTP request read as a message. No sockets here.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/net/clock.h"
#include "scheduler/net/http.h"

#include <string>

namespace willowrill::frontend {

struct Rejection {
    int status = 400;
    std::string reason;
};

// False, with the rejection, where the request cannot be a message.
bool read_message(net::http::Parser& request, const config::Settings& settings, net::Time now,
                  core::Message& message, Rejection& rejection);

} // namespace willowrill::frontend
