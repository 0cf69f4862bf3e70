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

constexpr std::size_t max_bytes = 1U << 20U; // of a file: an operators' file is no data file

std::string join(const std::vector<Problem>& problems) {
    if (problems.empty()) return "no problem";
    std::string out = problems.front().text();
    if (problems.size() > 1)
        out += " (and " + std::to_string(problems.size() - 1) + " more; `willowrillctl check` shows them)";
    return out;
}

void endpoint(Section& section, std::string_view key, net::Endpoint& into) {
    std::string text;
    section.text(key, text);
    if (text.empty()) return;
    if (const auto parsed = net::Endpoint::parse(text)) {
        into = *parsed;
    } else {
        section.problem(key,
                        "found '" + text + "', allowed: an IPv4 address and a port, such as 10.0.0.4:7946");
    }
}

// A secret that others may read is none: the file is refused rather than used.
std::optional<std::string> read_secret(const std::string& file, Secret& into) {
    struct stat about {};
    if (::stat(file.c_str(), &about) != 0) return "cannot read '" + file + "': " + std::strerror(errno);
    if (!S_ISREG(about.st_mode)) return "'" + file + "' is not a regular file";
    if ((about.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return "'" + file + "' can be used by others than its owner; allowed: mode 600 or 400 (chmod 600)";
    }
    std::string why;
    const auto text = net::read_file(file, max_bytes, why);
    if (!text) return "'" + file + "' " + why;
    std::size_t size = 0;
    const char* end = nullptr;
    if (::sodium_hex2bin(into.data(), into.size(), text->data(), text->size(), " \r\n", &size, &end) != 0 ||
        size != into.size() || end != text->data() + text->size()) {
        return "'" + file + "' holds no key; allowed: 64 hexadecimal digits (`openssl rand -hex 32`)";
    }
    return std::nullopt;
}

void read_keys(const std::string& file, Section& section, MeshSettings& mesh,
               std::vector<Problem>& problems) {
    const std::vector<YAML::Node> nodes = section.list("keys");
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Section one(file, section.path_of("keys") + "[" + std::to_string(i) + "]", nodes[i], problems);
        SealingKey key;
        one.needed("id");
        one.needed("file");
        one.whole("id", key.id, 1, std::numeric_limits<std::uint32_t>::max());
        one.text("file", key.file);
        if (!key.file.empty()) {
            if (auto wrong = read_secret(key.file, key.secret)) one.problem("file", *wrong);
        }
        if (std::ranges::find(mesh.keys, key.id, &SealingKey::id) != mesh.keys.end())
            one.problem("id", "found " + std::to_string(key.id) + " twice, allowed: an id of its own");
        mesh.keys.push_back(std::move(key));
    }
    if (nodes.empty() || nodes.size() > 2)
        section.problem("keys",
                        "found " + std::to_string(nodes.size()) + " keys, allowed: 1, or 2 during a change");
    std::uint64_t first = mesh.keys.empty() ? 0 : mesh.keys.front().id;
    section.whole("seal_with", first, 1, std::numeric_limits<std::uint32_t>::max());
    const auto chosen = std::ranges::find(mesh.keys, first, &SealingKey::id);
    if (chosen != mesh.keys.end()) {
        std::iter_swap(mesh.keys.begin(), chosen);
    } else if (!mesh.keys.empty()) {
        section.problem("seal_with", "found " + std::to_string(first) + ", allowed: the id of a key above");
    }
}

MeshSettings read_mesh(const std::string& file, Section section, std::vector<Problem>& problems) {
    MeshSettings mesh;
    section.needed("listen");
    section.needed("networks");
    section.needed("keys");
    endpoint(section, "listen", mesh.listen);
    mesh.advertise = mesh.listen;
    endpoint(section, "advertise", mesh.advertise);
    if (section.has("listen") && !section.has("advertise") && mesh.listen.address.sin_addr.s_addr == 0)
        section.problem("listen",
                        "found the address 0.0.0.0, which peers cannot send to; name `advertise` too");
    if (section.has("listen") && mesh.advertise.address.sin_port == 0)
        section.problem("advertise",
                        "found no port, which peers need; name `advertise` with the one to send to");
    for (const auto& [text, line] : section.texts("seeds")) {
        if (const auto seed = net::Endpoint::parse(text)) {
            mesh.seeds.push_back(*seed);
        } else {
            problems.push_back({file, line, section.path_of("seeds"),
                                "found '" + text + "', allowed: an IPv4 address and a port"});
        }
    }
    for (const auto& [text, line] : section.texts("networks")) {
        if (!mesh.networks.add(text)) {
            problems.push_back(
                {file, line, section.path_of("networks"),
                 "found '" + text +
                     "', allowed: an IPv4 network such as 10.0.0.0/16, no bits set behind its prefix"});
        }
    }
    mesh.bytes_per_second = 250'000;
    section.whole("bytes_per_second", mesh.bytes_per_second, 10'000, 1'000'000'000);
    mesh.probe_period = 1s;
    mesh.probe_timeout = 300ms;
    section.span("probe_period", mesh.probe_period, 50ms, 60s);
    section.span("probe_timeout", mesh.probe_timeout, 10ms, 30s);
    if (mesh.probe_timeout * 2 > mesh.probe_period) {
        section.problem("probe_timeout",
                        "found " + to_text(mesh.probe_timeout) + ", allowed: at most half of probe_period (" +
                            to_text(mesh.probe_period) + "), so that others can be asked within it");
    }
    mesh.indirect_probes = 3;
    section.whole("indirect", mesh.indirect_probes, 0, 10);
    mesh.suspicion_multiplier = 4;
    section.whole("suspicion", mesh.suspicion_multiplier, 1, 30);
    mesh.forget_after = 24h;
    section.span("forget_after", mesh.forget_after, 1s, 24h * 30);
    mesh.max_age = 30s;
    section.span("max_age", mesh.max_age, 1s, 1h);
    mesh.max_members = 1000;
    section.whole("most_members", mesh.max_members, 2, 10'000);
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
    section.needed("rate");
    section.span("interval", counts.interval, 20ms, 60s);
    section.whole("rate", counts.rate, 1, 10'000'000);
    counts.burst = counts.rate;
    section.whole("burst", counts.burst, 0, 100'000'000);
    section.span("max_skew", counts.max_skew, 0s, 60s);
    section.span("fold_after", counts.fold_after, 1s, 24h * 30);
    section.span("snapshot_every", counts.snapshot_every, 100ms, 1h);
    section.whole("most_tenants", counts.max_tenants, 1, 100'000);
    section.whole("most_lives", counts.max_lives, 2, 100'000);
    return counts;
}

bool same_place(const MeshSettings& a, const MeshSettings& b) {
    return a.listen == b.listen && a.advertise == b.advertise;
}

} // namespace

OperatorConfigError::OperatorConfigError(std::vector<Problem> problems)
    : std::runtime_error(join(problems)), problems_(std::move(problems)) {}

OperatorConfig parse(const std::string& file, const std::string& text) {
    std::vector<Problem> problems;
    OperatorConfig site;
    site.file = file;
    if (text.size() > max_bytes)
        throw OperatorConfigError(
            {{file, 0, "", "found " + std::to_string(text.size()) + " bytes, allowed: 1 MiB"}});
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(text);
        if (documents.size() > 1) problems.push_back({file, 0, "", "found several documents, allowed: one"});
        Section top(file, "", documents.empty() ? YAML::Node() : documents.front(), problems);
        top.text("instance", site.instance);
        top.text("state_dir", site.state_dir);
        {
            Section log = top.below("log");
            std::string format = "text";
            log.one_of("format", format, {"text", "json"});
            site.log.format = format == "json" ? LogFormat::json : LogFormat::text;
            log.one_of("level", site.log.level, {"debug", "info", "warning", "error"});
        }
        if (site.instance.size() > 64)
            top.problem("instance", "found " + std::to_string(site.instance.size()) + " bytes, allowed: 64");
        if (top.has("mesh")) site.mesh = read_mesh(file, top.below("mesh"), problems);
        if (top.has("counts")) {
            if (!site.mesh) top.problem("counts", "needs `mesh`, by which instances reach one another");
            site.counts = read_counts(top.below("counts"));
        }
    } catch (const YAML::Exception& error) {
        problems.push_back({file, error.mark.line + 1, "", "no YAML: " + error.msg});
    }
    if (!problems.empty()) {
        std::ranges::stable_sort(problems, {}, &Problem::line);
        throw OperatorConfigError(std::move(problems));
    }
    return site;
}

OperatorConfig read(const std::string& file) {
    std::string why;
    const auto text = net::read_file(file, max_bytes, why);
    if (!text) throw OperatorConfigError({{file, 0, "", why}});
    // Read while it is written, a file may still be YAML: its last line shows that something is missing.
    if (text->back() != '\n')
        throw OperatorConfigError(
            {{file, 0, "", "its last line has no end: is it cut short? End it with a newline"}});
    return parse(file, *text);
}

std::vector<std::string> keys_requiring_restart(const OperatorConfig& before, const OperatorConfig& now) {
    std::vector<std::string> out;
    if (before.instance != now.instance) out.emplace_back("instance");
    if (before.state_dir != now.state_dir) out.emplace_back("state_dir");
    if (before.mesh.has_value() != now.mesh.has_value()) out.emplace_back("mesh");
    if (before.counts.has_value() != now.counts.has_value()) out.emplace_back("counts");
    if (before.mesh && now.mesh && !same_place(*before.mesh, *now.mesh)) out.emplace_back("mesh.listen");
    if (before.mesh && now.mesh && before.mesh->max_members != now.mesh->max_members)
        out.emplace_back("mesh.most_members");
    if (before.counts && now.counts) {
        if (before.counts->max_tenants != now.counts->max_tenants) out.emplace_back("counts.most_tenants");
        if (before.counts->max_lives != now.counts->max_lives) out.emplace_back("counts.most_lives");
        // What peers were told must not turn out to have been too little.
        if (before.counts->rate != now.counts->rate) out.emplace_back("counts.rate");
        if (before.counts->burst != now.counts->burst) out.emplace_back("counts.burst");
    }
    return out;
}

} // namespace willowrill::operator_config
