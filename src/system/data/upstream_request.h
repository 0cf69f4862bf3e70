// What is sent to a worker for a client's request, and which headers pass in either direction. Pure.
#pragma once

#include "system/configuration/configuration.h"
#include "system/transport/asio.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace willowrill::data {

using ClientRequest = http::request<http::string_body>;

// Copies out of Beast's views.
std::string text(boost::beast::string_view view);

// The target without its query.
std::string path_of(const ClientRequest& request);

// A whole number; a fraction behind it is cut off.
std::optional<std::int64_t> whole_number(boost::beast::string_view view);

// A header that concerns one connection only, or that this scheduler sets itself.
bool is_own_header(http::field known, boost::beast::string_view name);

// What an attempt adds to the client's request.
struct UpstreamHeaders {
    std::string instance_id;                     // of the worker that is to run it
    std::chrono::milliseconds remaining_time{0}; // that the client will still wait
    std::optional<unsigned> priority;            // where the service is a model's
    std::string last_event_id;                   // of the stream so far, empty at its beginning
};

// The bytes to send; method, path, query and body as they came.
std::string upstream_request(const ClientRequest& request, const UpstreamHeaders& headers);

// For how long a worker keeps an idle connection, less a margin: `Keep-Alive: timeout=5`, in seconds.
std::chrono::milliseconds idle_timeout(const http::fields& head);

} // namespace willowrill::data
