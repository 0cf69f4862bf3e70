// The configuration that operators set: routes, services and limits. A document is parsed and validated as a
// whole; one that is unreadable or inconsistent is rejected with an error that names the offending element.
// Free of I/O and of global state.
#pragma once

#include "system/errors/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace willowrill::configuration {

using Version = std::uint64_t;
using Milliseconds = std::chrono::milliseconds;

// Whether a request can be executed a second time: always, never, or only if its stream is resumable.
enum class RouteClass { safe, non_idempotent, streaming };

struct WeightedService {
    std::string service;
    double weight = 0;
    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host; // lower case, without a port
    std::string path_prefix;
    RouteClass route_class = RouteClass::non_idempotent;
    Milliseconds timeout{0};
    Milliseconds target{0};
    unsigned priority = 0;
    std::vector<WeightedService> distribution; // the sum of the weights is above 0
    unsigned max_attempts = 1;
    bool affinity = false;
    bool resumable = false;
    Milliseconds max_gap{0}; // longest time between two events of a stream that is on time; 0: not configured
    std::vector<std::string> home_regions; // empty: no restriction

    bool operator==(const Route&) const = default;

    // Whether executing a request more than once is harmless.
    bool repeatable() const {
        return route_class == RouteClass::safe || (route_class == RouteClass::streaming && resumable);
    }
};

struct Service {
    std::string name;
    std::string health_path;
    std::size_t max_connections = 0;
    Milliseconds cold_start{0};
    double cold_rate_per_s = 0; // 0: a cold worker has the capacity of a warm one
    bool has_engine = false;
    std::size_t engine_capacity = 0;
    std::uint64_t cache_tokens = 0;
    bool operator==(const Service&) const = default;
};

struct Limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    Milliseconds header_timeout{3000};
    Milliseconds idle_timeout{15000};
};

struct Configuration {
    Version version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    Limits limits;

    const Service* find_service(std::string_view name) const;
};

// Parses and validates a configuration document.
errors::Result<Configuration> parse(std::string_view text);

// Applies a patch that `difference` (patch.h) has computed. The result is not validated again, because
// `difference` only describes configurations that have been validated.
errors::Result<Configuration> apply_difference(const Configuration& base, std::string_view patch);

// Converts the value of a `Host` header to the form that routes use: lower case, without the port.
std::string normalize_host(std::string_view host);

// Looks routes up by host and longest path prefix. Holds pointers into the configuration, which must outlive
// the table.
class RouteTable {
  public:
    explicit RouteTable(const Configuration& configuration);
    // Returns the route of a request, or null if none matches. `path` excludes the query.
    const Route* find(std::string_view host, std::string_view path) const;

  private:
    std::unordered_map<std::string, std::vector<const Route*>> by_host_; // longest prefix first
};

} // namespace willowrill::configuration
