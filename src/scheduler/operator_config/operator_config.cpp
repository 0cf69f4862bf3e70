#include "scheduler/operator_config/operator_config.h"

#include "scheduler/net/file.h"
#include "scheduler/operator_config/section.h"

#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

namespace willowrill::operator_config {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_file_bytes = 1U << 20U; // for the operators' file and for each key file

std::string summarize(const std::vector<Problem>& problems) {
    if (problems.empty()) return "no problem";
    std::string summary = problems.front().text();
    if (problems.size() > 1)
        summary +=
            " (and " + std::to_string(problems.size() - 1) + " more; `willowrillctl check` shows them)";
    return summary;
}

void read_endpoint(Section& section, std::string_view key, net::Endpoint& output) {
    std::string text;
    section.read_string(key, text);
    if (text.empty()) return;
    if (const auto parsed = net::Endpoint::parse(text)) {
        output = *parsed;
    } else {
        section.add_problem(key, "found '" + text +
                                     "', allowed: an IPv4 address and a port, such as 10.0.0.4:7946");
    }
}

// Reads a key of 64 hexadecimal digits. Returns an error message on failure. A file that other users can
// access is rejected, because its key may no longer be secret.
std::optional<std::string> read_secret(const std::string& file, Secret& output) {
    struct stat status {};
    if (::stat(file.c_str(), &status) != 0) return "cannot read '" + file + "': " + std::strerror(errno);
    if (!S_ISREG(status.st_mode)) return "'" + file + "' is not a regular file";
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return "'" + file + "' can be used by others than its owner; allowed: mode 600 or 400 (chmod 600)";
    }
    std::string error;
    const auto text = net::read_file(file, max_file_bytes, error);
    if (!text) return "'" + file + "' " + error;
    std::size_t size = 0;
    const char* end = nullptr;
    if (::sodium_hex2bin(output.data(), output.size(), text->data(), text->size(), " \r\n", &size, &end) !=
            0 ||
        size != output.size() || end != text->data() + text->size()) {
        return "'" + file + "' does not hold a key; allowed: 64 hexadecimal digits (`openssl rand -hex 32`)";
    }
    return std::nullopt;
}

void read_keys(const std::string& file, Section& section, MeshSettings& mesh,
               std::vector<Problem>& problems) {
    const std::vector<YAML::Node> nodes = section.read_list("keys");
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Section entry(file, section.path_of("keys") + "[" + std::to_string(i) + "]", nodes[i], problems);
        SealingKey key;
        entry.require("id");
        entry.require("file");
        entry.read_integer("id", key.id, 1, std::numeric_limits<std::uint32_t>::max());
        entry.read_string("file", key.file);
        if (!key.file.empty()) {
            if (auto error = read_secret(key.file, key.secret)) entry.add_problem("file", *error);
        }
        if (std::ranges::find(mesh.keys, key.id, &SealingKey::id) != mesh.keys.end())
            entry.add_problem("id", "found " + std::to_string(key.id) + " twice, allowed: an id of its own");
        mesh.keys.push_back(std::move(key));
    }
    if (nodes.empty() || nodes.size() > 2)
        section.add_problem("keys", "found " + std::to_string(nodes.size()) +
                                        " keys, allowed: 1, or 2 during a change");
    std::uint64_t seal_with = mesh.keys.empty() ? 0 : mesh.keys.front().id;
    section.read_integer("seal_with", seal_with, 1, std::numeric_limits<std::uint32_t>::max());
    const auto seal_key = std::ranges::find(mesh.keys, seal_with, &SealingKey::id);
    if (seal_key != mesh.keys.end()) {
        std::iter_swap(mesh.keys.begin(), seal_key);
    } else if (!mesh.keys.empty()) {
        section.add_problem("seal_with",
                            "found " + std::to_string(seal_with) + ", allowed: the id of a key above");
    }
}

MeshSettings read_mesh(const std::string& file, Section section, std::vector<Problem>& problems) {
    MeshSettings mesh;
    section.require("listen");
    section.require("networks");
    section.require("keys");
    read_endpoint(section, "listen", mesh.listen);
    mesh.advertise = mesh.listen;
    read_endpoint(section, "advertise", mesh.advertise);
    if (section.has("listen") && !section.has("advertise") && mesh.listen.address.sin_addr.s_addr == 0)
        section.add_problem("listen",
                            "found the address 0.0.0.0, which peers cannot send to; name `advertise` too");
    if (section.has("listen") && mesh.advertise.address.sin_port == 0)
        section.add_problem("advertise",
                            "found no port, which peers need; name `advertise` with the one to send to");
    for (const auto& [text, line] : section.read_strings("seeds")) {
        if (const auto seed = net::Endpoint::parse(text)) {
            mesh.seeds.push_back(*seed);
        } else {
            problems.push_back({file, line, section.path_of("seeds"),
                                "found '" + text + "', allowed: an IPv4 address and a port"});
        }
    }
    for (const auto& [text, line] : section.read_strings("networks")) {
        if (!mesh.networks.add(text)) {
            problems.push_back(
                {file, line, section.path_of("networks"),
                 "found '" + text +
                     "', allowed: an IPv4 network such as 10.0.0.0/16, no bits set behind its prefix"});
        }
    }
    mesh.bytes_per_second = 250'000;
    section.read_integer("bytes_per_second", mesh.bytes_per_second, 10'000, 1'000'000'000);
    mesh.probe_period = 1s;
    mesh.probe_timeout = 300ms;
    section.read_duration("probe_period", mesh.probe_period, 50ms, 60s);
    section.read_duration("probe_timeout", mesh.probe_timeout, 10ms, 30s);
    if (mesh.probe_timeout * 2 > mesh.probe_period) {
        section.add_problem("probe_timeout", "found " + format_duration(mesh.probe_timeout) +
                                                 ", allowed: at most half of probe_period (" +
                                                 format_duration(mesh.probe_period) +
                                                 "), so that others can be asked within it");
    }
    mesh.indirect_probes = 3;
    section.read_integer("indirect", mesh.indirect_probes, 0, 10);
    mesh.suspicion_multiplier = 4;
    section.read_integer("suspicion", mesh.suspicion_multiplier, 1, 30);
    mesh.forget_after = 24h;
    section.read_duration("forget_after", mesh.forget_after, 1s, 24h * 30);
    mesh.max_age = 30s;
    section.read_duration("max_age", mesh.max_age, 1s, 1h);
    mesh.max_members = 1000;
    section.read_integer("most_members", mesh.max_members, 2, 10'000);
    read_keys(file, section, mesh, problems);
    return mesh;
}

CountsSettings read_counts(Section section) {
    CountsSettings counts{.interval = 250ms,
                          .rate = 0,
                          .burst = 0,
                          .max_skew = 100ms,
                          .fold_after = 1h,
                          .snapshot_every = 5s,
                          .max_tenants = 1000,
                          .max_lives = 2000};
    section.require("rate");
    section.read_duration("interval", counts.interval, 20ms, 60s);
    section.read_integer("rate", counts.rate, 1, 10'000'000);
    counts.burst = counts.rate;
    section.read_integer("burst", counts.burst, 0, 100'000'000);
    section.read_duration("max_skew", counts.max_skew, 0s, 60s);
    section.read_duration("fold_after", counts.fold_after, 1s, 24h * 30);
    section.read_duration("snapshot_every", counts.snapshot_every, 100ms, 1h);
    section.read_integer("most_tenants", counts.max_tenants, 1, 100'000);
    section.read_integer("most_lives", counts.max_lives, 2, 100'000);
    return counts;
}

bool have_same_endpoints(const MeshSettings& a, const MeshSettings& b) {
    return a.listen == b.listen && a.advertise == b.advertise;
}

} // namespace

OperatorConfigError::OperatorConfigError(std::vector<Problem> problems)
    : std::runtime_error(summarize(problems)), problems_(std::move(problems)) {}

OperatorConfig parse(const std::string& file, const std::string& text) {
    std::vector<Problem> problems;
    OperatorConfig config;
    config.file = file;
    if (text.size() > max_file_bytes)
        throw OperatorConfigError(
            {{file, 0, "", "found " + std::to_string(text.size()) + " bytes, allowed: 1 MiB"}});
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(text);
        if (documents.size() > 1) problems.push_back({file, 0, "", "found several documents, allowed: one"});
        Section root(file, "", documents.empty() ? YAML::Node() : documents.front(), problems);
        root.read_string("instance", config.instance);
        root.read_string("state_dir", config.state_dir);
        {
            Section log = root.subsection("log");
            std::string format = "text";
            log.read_choice("format", format, {"text", "json"});
            config.log.format = format == "json" ? LogFormat::json : LogFormat::text;
            log.read_choice("level", config.log.level, {"debug", "info", "warning", "error"});
        }
        if (config.instance.size() > 64)
            root.add_problem("instance",
                             "found " + std::to_string(config.instance.size()) + " bytes, allowed: 64");
        if (root.has("mesh")) config.mesh = read_mesh(file, root.subsection("mesh"), problems);
        if (root.has("counts")) {
            if (!config.mesh)
                root.add_problem("counts", "needs `mesh`, by which instances reach one another");
            config.counts = read_counts(root.subsection("counts"));
        }
    } catch (const YAML::Exception& error) {
        problems.push_back({file, error.mark.line + 1, "", "invalid YAML: " + error.msg});
    }
    if (!problems.empty()) {
        std::ranges::stable_sort(problems, {}, &Problem::line);
        throw OperatorConfigError(std::move(problems));
    }
    return config;
}

OperatorConfig read(const std::string& file) {
    std::string error;
    const auto text = net::read_file(file, max_file_bytes, error);
    if (!text) throw OperatorConfigError({{file, 0, "", error}});
    // A file that is read while it is being written may still be valid YAML. A missing newline at its end
    // shows that it is incomplete.
    if (text->back() != '\n')
        throw OperatorConfigError({{file, 0, "",
                                    "the last line has no newline at its end: the file may be truncated; add "
                                    "a newline if it is complete"}});
    return parse(file, *text);
}

std::vector<std::string> keys_requiring_restart(const OperatorConfig& before, const OperatorConfig& now) {
    std::vector<std::string> keys;
    if (before.instance != now.instance) keys.emplace_back("instance");
    if (before.state_dir != now.state_dir) keys.emplace_back("state_dir");
    if (before.mesh.has_value() != now.mesh.has_value()) keys.emplace_back("mesh");
    if (before.counts.has_value() != now.counts.has_value()) keys.emplace_back("counts");
    if (before.mesh && now.mesh && !have_same_endpoints(*before.mesh, *now.mesh))
        keys.emplace_back("mesh.listen");
    if (before.mesh && now.mesh && before.mesh->max_members != now.mesh->max_members)
        keys.emplace_back("mesh.most_members");
    if (before.counts && now.counts) {
        if (before.counts->max_tenants != now.counts->max_tenants) keys.emplace_back("counts.most_tenants");
        if (before.counts->max_lives != now.counts->max_lives) keys.emplace_back("counts.most_lives");
        // Peers derive their upper bounds from the declared rate and burst: exceeding these in service would
        // make the bounds too low.
        if (before.counts->rate != now.counts->rate) keys.emplace_back("counts.rate");
        if (before.counts->burst != now.counts->burst) keys.emplace_back("counts.burst");
    }
    return keys;
}

} // namespace willowrill::operator_config
