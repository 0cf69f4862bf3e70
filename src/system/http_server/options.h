// The bounds of an HTTP server.
#pragma once

#include "system/budget/byte_budget.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace willowrill::http_server {

inline constexpr std::size_t default_input_bytes = 32U << 20U;

struct Options {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 8U << 20U;
    std::chrono::milliseconds read_timeout{15000}; // for a request to come, and for a response to go
    // Beyond these, the connection that has waited longest for a request is closed for a new one; a new one
    // is closed at once where all have a request.
    std::size_t max_connections = 512;
    // What is read is part of this; a process shares one between all that it reads.
    std::shared_ptr<budget::ByteBudget> input_memory =
        std::make_shared<budget::ByteBudget>(default_input_bytes);
};

// The bounds of one of a few servers in a process that may have `max_files` descriptors.
inline Options options_within(std::size_t max_files, std::shared_ptr<budget::ByteBudget> input_memory) {
    constexpr std::size_t descriptors_per_connection = 8; // the other servers and peers need some as well
    Options options;
    options.max_connections = std::min(options.max_connections, max_files / descriptors_per_connection);
    options.input_memory = std::move(input_memory);
    return options;
}

} // namespace willowrill::http_server
