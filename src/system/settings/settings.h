// The settings file that the platform gives to each process of the whole system (environment variable
// WILLOWRILL_BOOT). Fields that are not known are left alone; a known one of the wrong type is an error.
#pragma once

#include "system/errors/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace willowrill::settings {

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    bool operator==(const Endpoint&) const = default;
};

// "10.1.0.13:8161", both ways.
errors::Result<Endpoint> parse_endpoint(const std::string& text);
std::string to_text(const Endpoint& endpoint);

// The bounds of the rules, as far as the program needs them.
struct Timers {
    std::chrono::milliseconds grace{8000};
    std::chrono::milliseconds drain{4000};
    double retry_ratio = 0.2;
    std::chrono::milliseconds retry_window{10000};
    double retry_slack = 20;
    double cold_excess = 1.5;
    double cold_slack = 5;
    std::chrono::milliseconds max_ttl{5000};
};

struct Settings {
    std::string node_name;
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions;    // of each zone
    Endpoint front, readiness, control, directory; // port 0 where the process does not serve it
    std::uint16_t first_internal_port = 0;
    std::uint16_t last_internal_port = 0;
    std::string address; // the machine's own
    std::vector<Endpoint> seeds;
    bool initial_start = false;
    std::string data_path; // empty where there is no disk
    std::size_t tolerated_members = 1;
    Endpoint platform;
    double platform_calls_per_s = 10;
    std::size_t memory_mb = 256;
    std::size_t max_files = 1024;
    Timers timers;

    const std::string& region_of(const std::string& other_zone) const;
};

errors::Result<Settings> parse(const std::string& text);
errors::Result<Settings> load(const std::string& path);

} // namespace willowrill::settings
