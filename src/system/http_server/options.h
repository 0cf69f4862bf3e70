// The bounds of an HTTP server.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace willowrill::http_server {

struct Options {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 8U << 20U;
    std::chrono::milliseconds read_timeout{15000}; // for a request to come, and for a response to go
    // Beyond these, the connection that has waited longest for a request is closed for a new one; a new one
    // is closed at once where all have a request.
    std::size_t max_connections = 512;
};

// The bounds of one of a few servers in a process that may have `max_files` descriptors.
inline Options options_within(std::size_t max_files) {
    constexpr std::size_t descriptors_per_connection = 8; // the other servers and peers need some as well
    Options options;
    options.max_connections = std::min(options.max_connections, max_files / descriptors_per_connection);
    return options;
}

} // namespace willowrill::http_server
