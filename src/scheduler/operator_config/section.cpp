#include "scheduler/operator_config/section.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace willowrill::operator_config {
namespace {

using std::chrono::nanoseconds;

// The units of durations, the largest first.
struct Unit {
    std::string_view name;
    std::int64_t nanoseconds;
};
constexpr std::array<Unit, 5> units{{{"h", 3'600'000'000'000},
                                     {"m", 60'000'000'000},
                                     {"s", 1'000'000'000},
                                     {"ms", 1'000'000},
                                     {"us", 1'000}}};

std::string_view describe_type(const YAML::Node& node) {
    if (node.IsMap()) return "a mapping";
    if (node.IsSequence()) return "a list";
    return node.IsNull() ? "nothing" : "a value";
}

// Quotes a value for a message: truncated if it is long, control characters replaced by blanks.
std::string quote(std::string_view text) {
    constexpr std::size_t max_length = 60;
    std::string quoted = "'";
    for (const char c : text.substr(0, max_length))
        quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    return quoted + (text.size() > max_length ? "...'" : "'");
}

} // namespace

std::string format_duration(nanoseconds duration) {
    for (const Unit& unit : units) {
        if (duration.count() != 0 && duration.count() % unit.nanoseconds == 0)
            return std::to_string(duration.count() / unit.nanoseconds) + std::string(unit.name);
    }
    return duration.count() == 0 ? "0s" : std::to_string(duration.count()) + "ns";
}

std::optional<nanoseconds> parse_duration(std::string_view text) {
    std::int64_t count = 0;
    const auto [number_end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view unit_name = text.substr(static_cast<std::size_t>(number_end - text.data()));
    if (error != std::errc{} || count < 0) return std::nullopt;
    for (const Unit& unit : units) {
        if (unit_name != unit.name) continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.nanoseconds) return std::nullopt;
        return nanoseconds(count * unit.nanoseconds);
    }
    return std::nullopt;
}

Section::Section(std::string file, std::string path, const YAML::Node& node, std::vector<Problem>& problems)
    : file_(std::move(file)), path_(std::move(path)), node_(node), problems_(problems) {
    if (node_ && !node_.IsNull() && !node_.IsMap()) {
        problems_.push_back({file_, line(), path_,
                             "found " + std::string(describe_type(node_)) + ", expected a mapping of keys"});
        node_ = YAML::Node();
    }
}

Section::~Section() {
    if (!node_ || !node_.IsMap()) return;
    std::vector<std::string> seen_keys;
    for (const auto& entry : node_) {
        const int entry_line = entry.first.Mark().line + 1;
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        // yaml-cpp silently uses the first of two equal keys.
        if (std::ranges::find(seen_keys, key) != seen_keys.end())
            problems_.push_back({file_, entry_line, path_of(key), "found twice, allowed once"});
        seen_keys.push_back(key);
        if (std::ranges::find(requested_keys_, std::string_view(key)) != requested_keys_.end()) continue;
        std::string message = "unknown key";
        if (const std::string suggestion = closest_match(key, requested_keys_); !suggestion.empty())
            message += "; did you mean '" + suggestion + "'?";
        message += " Allowed here: ";
        for (std::size_t i = 0; i < requested_keys_.size(); ++i)
            message += (i > 0 ? ", " : "") + std::string(requested_keys_[i]);
        problems_.push_back({file_, entry_line, path_of(key), message});
    }
}

int Section::line() const { return node_.Mark().line + 1; }

std::string Section::path_of(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

int Section::line_of(std::string_view key) const {
    if (node_.IsMap()) {
        if (const YAML::Node found = std::as_const(node_)[std::string(key)]; found.IsDefined())
            return found.Mark().line + 1;
    }
    return line();
}

void Section::add_problem(std::string_view key, std::string message) {
    problems_.push_back({file_, line_of(key), path_of(key), std::move(message)});
}

void Section::require(std::string_view key) {
    if (!has(key)) add_problem(key, "missing, required here");
}

std::optional<YAML::Node> Section::find(std::string_view key) {
    if (std::ranges::find(requested_keys_, key) == requested_keys_.end()) requested_keys_.push_back(key);
    if (!node_.IsMap()) return std::nullopt;
    const YAML::Node found = std::as_const(node_)[std::string(key)];
    if (!found.IsDefined() || found.IsNull()) return std::nullopt;
    return found;
}

bool Section::has(std::string_view key) { return find(key).has_value(); }

std::optional<std::string> Section::find_scalar(std::string_view key, std::string_view expected) {
    const auto found = find(key);
    if (!found) return std::nullopt;
    if (found->IsScalar() && !found->Scalar().empty()) return found->Scalar();
    add_problem(key, "found " + (found->IsScalar() ? "an empty string" : std::string(describe_type(*found))) +
                         ", expected " + std::string(expected));
    return std::nullopt;
}

void Section::read_string(std::string_view key, std::string& output) {
    if (auto found = find_scalar(key, "a string")) output = std::move(*found);
}

void Section::read_choice(std::string_view key, std::string& output,
                          const std::vector<std::string_view>& allowed) {
    std::string choices;
    for (const std::string_view item : allowed)
        choices += (choices.empty() ? "" : ", ") + std::string(item);
    const auto found = find_scalar(key, "one of: " + choices);
    if (!found) return;
    if (std::ranges::find(allowed, std::string_view(*found)) == allowed.end())
        return add_problem(key, "found " + quote(*found) + ", allowed: " + choices);
    output = *found;
}

void Section::read_bool(std::string_view key, bool& output) {
    const auto found = find_scalar(key, "true or false");
    if (!found) return;
    if (*found != "true" && *found != "false")
        return add_problem(key, "found " + quote(*found) + ", allowed: true, false");
    output = *found == "true";
}

void Section::read_integer(std::string_view key, std::uint64_t& output, std::uint64_t min_value,
                           std::uint64_t max_value) {
    const std::string range =
        "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value);
    const auto found = find_scalar(key, range);
    if (!found) return;
    std::uint64_t value = 0;
    const char* end = found->data() + found->size();
    const auto [parsed_end, error] = std::from_chars(found->data(), end, value);
    if (error != std::errc{} || parsed_end != end || value < min_value || value > max_value)
        return add_problem(key, "found " + quote(*found) + ", allowed: " + range);
    output = value;
}

void Section::read_duration(std::string_view key, nanoseconds& output, nanoseconds min_value,
                            nanoseconds max_value) {
    const std::string range =
        "a duration from " + format_duration(min_value) + " to " + format_duration(max_value);
    const auto found = find_scalar(key, range + ", such as 200ms, 5s, 10m");
    if (!found) return;
    const auto value = parse_duration(*found);
    if (!value || *value < min_value || *value > max_value)
        return add_problem(key,
                           "found " + quote(*found) + ", allowed: " + range + " (units us, ms, s, m, h)");
    output = *value;
}

std::vector<YAML::Node> Section::read_list(std::string_view key) {
    const auto found = find(key);
    if (!found) return {};
    if (!found->IsSequence()) {
        add_problem(key, "found " + std::string(describe_type(*found)) + ", expected a list");
        return {};
    }
    return {found->begin(), found->end()};
}

std::vector<std::pair<std::string, int>> Section::read_strings(std::string_view key) {
    std::vector<std::pair<std::string, int>> strings;
    for (const YAML::Node& item : read_list(key)) {
        if (item.IsScalar() && !item.Scalar().empty()) {
            strings.emplace_back(item.Scalar(), item.Mark().line + 1);
        } else {
            problems_.push_back({file_, item.Mark().line + 1, path_of(key),
                                 "found " + std::string(describe_type(item)) + " in a list of strings"});
        }
    }
    return strings;
}

Section Section::subsection(std::string_view key) {
    return Section(file_, path_of(key), find(key).value_or(YAML::Node()), problems_);
}

} // namespace willowrill::operator_config
