// What the program is told at its start, from the environment and the file named by PROXY_CONFIG.
#pragma once

#include "scheduler/net/socket.h"

#include <willowrill/dispatcher.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::config {

// One plain line for whoever starts the program.
class ConfigError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Positions of names, as the module wants them. Kinds and zones may be met later that no setting lists.
struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;

    static willowrill::Index find(const std::vector<std::string>& names, std::string_view name);
    static willowrill::Index find_or_add(std::vector<std::string>& names, std::string_view name);
};

using ReportField = std::optional<double> willowrill::Report::*;

// A value of the load reports: what the settings call it, and what it is called on the sockets.
struct ReportFieldNames {
    std::string setting_name, wire_name;
    ReportField field;
};

struct Settings {
    std::string name;
    net::Endpoint listen, discovery;
    std::optional<net::Endpoint> mgmt; // the second address; without it, there is none
    // The same as the file has them, or as above where it has none: what a later file is held against, since
    // the environment goes before the file only at the start.
    std::string name_in_file;
    net::Endpoint listen_in_file, discovery_in_file;
    std::string mgmt_in_file;
    std::string settings_json_in_file; // the text of `settings`, without blanks
    std::string remembered_list_json;  // the remembered list, as JSON in discovery's form; may be empty
    std::size_t memory_mb = 0, max_sockets = 0;
    std::size_t max_open_requests = 0;
    willowrill::Duration connection_idle{0}, connect_timeout{0};
    Names names;
    std::vector<ReportFieldNames> report_fields; // those that the settings name
    willowrill::Settings dispatcher;
    std::vector<std::string> warnings; // for the log, on what is served under but can hardly be meant
};

using Environment = std::function<const char*(const char*)>; // as std::getenv

// Kept for the listeners, discovery, operators' calls, an upgrade, signals and the standard streams.
inline constexpr std::size_t reserved_descriptors = 32;

// How many connections each side may hold, within the descriptors that the process is allowed and the memory:
// the buffers of all of them must fit when full.
std::size_t max_connections_per_side(const Settings& settings, std::size_t descriptors);

// How many bytes the messages that are open may take, with all their copies.
std::size_t max_message_bytes(const Settings& settings);

Settings read(const Environment& environment);                           // throws ConfigError
Settings parse(std::string_view config, const Environment& environment); // the same, from the file's text

} // namespace willowrill::config
