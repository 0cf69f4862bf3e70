// The bounds of an HTTP server.
#pragma once

#include <chrono>
#include <cstddef>

namespace willowrill::http_server {

struct Options {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 8U << 20U;
    std::chrono::milliseconds read_timeout{15000}; // for a request to come, and for a response to go
    std::size_t max_connections = 512;             // others are closed when they are accepted
};

} // namespace willowrill::http_server
