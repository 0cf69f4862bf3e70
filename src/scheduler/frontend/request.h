// Converts a client's HTTP request to a message. Does no I/O.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/net/clock.h"
#include "scheduler/net/http.h"

#include <string>

namespace willowrill::frontend {

// Why a request is rejected: status and body of the response.
struct Rejection {
    int status = 400;
    std::string reason;
};

// Fills `message` and moves the body out of `request`. Returns false and sets `rejection` if the request is
// invalid. `now` is the time at which the request arrived.
bool read_message(net::http::Parser& request, const config::Settings& settings, net::Time now,
                  core::Message& message, Rejection& rejection);

} // namespace willowrill::frontend
