// The operators' configuration: routes, services and limits. Read whole and checked whole; what cannot be
// read or contradicts itself is refused with a sentence that names the place. Pure.
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

// What a second run of a request would do.
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
    std::vector<WeightedService> distribution; // weights add up to more than 0
    unsigned max_attempts = 1;
    bool affinity = false;
    bool resumable = false;
    Milliseconds max_gap{0}; // between events of a stream that is in time; 0 where none is stated
    std::vector<std::string> home_regions; // empty: anywhere

    bool operator==(const Route&) const = default;

    // A second run harms nobody.
    bool repeatable() const {
        return route_class == RouteClass::safe || (route_class == RouteClass::streaming && resumable);
    }
};

struct Service {
    std::string name;
    std::string health_path;
    std::size_t max_connections = 0;
    Milliseconds cold_start{0};
    double cold_rate_per_s = 0; // 0: a cold worker bears as much as a warm one
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

errors::Result<Configuration> parse(std::string_view text);

// The configuration after a patch that `difference` (patch.h) made. Not checked as a whole again.
errors::Result<Configuration> altered(const Configuration& base, std::string_view patch);

// A `Host` header's value as routes hold it.
std::string normal_host(std::string_view host);

// Finds routes by host and longest path prefix. Points into the configuration, which must outlive it.
class RouteTable {
  public:
    explicit RouteTable(const Configuration& configuration);
    // The route of a request, or null. `path` without the query.
    const Route* find(std::string_view host, std::string_view path) const;

  private:
    std::unordered_map<std::string, std::vector<const Route*>> by_host_; // longest prefix first
};

} // namespace willowrill::configuration
