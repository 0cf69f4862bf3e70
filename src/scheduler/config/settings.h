// The scheduler's configuration, read at its start from the environment and from the file that PROXY_CONFIG
// names.
#pragma once

#include "scheduler/net/socket.h"

#include <willowrill/dispatcher.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::config {

// The configuration is invalid. `what()` is one line for the operator.
class ConfigError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Names whose positions serve as indices in the dispatcher. Kinds and zones that the settings do not list are
// appended when they are first seen.
struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;

    // Returns the position of a name, or `willowrill::none` if it is unknown.
    static willowrill::Index find(const std::vector<std::string>& names, std::string_view name);
    static willowrill::Index find_or_add(std::vector<std::string>& names, std::string_view name);
};

using ReportField = std::optional<double> willowrill::Report::*;

// A field of the workers' load reports: its name in the settings and its name on the wire.
struct ReportFieldNames {
    std::string setting_name, wire_name;
    ReportField field;
};

struct Settings {
    std::string name;
    net::Endpoint listen, discovery;
    std::optional<net::Endpoint> mgmt; // the address for operators' calls; none if unset
    // The values of the file, or those above if the file has none. A reload compares the file with these,
    // because environment variables take precedence only at the start.
    std::string name_in_file;
    net::Endpoint listen_in_file, discovery_in_file;
    std::string mgmt_in_file;
    std::string settings_json_in_file; // the object `settings`, minified
    std::string remembered_list_json;  // the remembered worker list in discovery's format; may be empty
    std::size_t memory_mb = 0, max_sockets = 0;
    std::size_t max_open_requests = 0;
    willowrill::Duration connection_idle{0}, connect_timeout{0};
    Names names;
    std::vector<ReportFieldNames> report_fields; // the fields that the settings name
    willowrill::Settings dispatcher;
    // Log messages on settings that are accepted but probably unintended.
    std::vector<std::string> warnings;
};

// Looks up an environment variable like std::getenv.
using Environment = std::function<const char*(const char*)>;

// Descriptors reserved for the listeners, discovery, operators' calls, a hot restart, signals and the
// standard streams.
inline constexpr std::size_t reserved_descriptors = 32;

// Returns how many connections each side may hold. The bounds are the descriptors that the process may open
// and the memory, which must hold the buffers of all connections when these are full.
std::size_t max_connections_per_side(const Settings& settings, std::size_t descriptors);

// Returns how many bytes the open messages, with all their copies, may take.
std::size_t max_message_bytes(const Settings& settings);

// Reads the file that PROXY_CONFIG names. Throws ConfigError.
Settings read(const Environment& environment);
// Parses the text of a configuration file. Throws ConfigError.
Settings parse(std::string_view config, const Environment& environment);

} // namespace willowrill::config
