#include "scheduler/operator_config/section.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace willowrill::operator_config {
namespace {

using std::chrono::nanoseconds;

struct Unit {
    std::string_view name;
    std::int64_t nanoseconds;
};
constexpr std::array<Unit, 5> units{{{"h", 3'600'000'000'000},
                                     {"m", 60'000'000'000},
                                     {"s", 1'000'000'000},
                                     {"ms", 1'000'000},
                                     {"us", 1'000}}};

std::string_view kind_of(const YAML::Node& node) {
    if (node.IsMap()) return "a mapping";
    if (node.IsSequence()) return "a list";
    return node.IsNull() ? "nothing" : "a value";
}

std::string quoted(std::string_view text) { // long values are not repeated in full
    constexpr std::size_t most = 60;
    std::string out = "'";
    for (const char c : text.substr(0, most))
        out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    return out + (text.size() > most ? "...'" : "'");
}

} // namespace

std::string to_text(nanoseconds span) {
    for (const Unit& unit : units) {
        if (span.count() != 0 && span.count() % unit.nanoseconds == 0)
            return std::to_string(span.count() / unit.nanoseconds) + std::string(unit.name);
    }
    return span.count() == 0 ? "0s" : std::to_string(span.count()) + "ns";
}

std::optional<nanoseconds> to_span(std::string_view text) {
    std::int64_t count = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view name = text.substr(static_cast<std::size_t>(stop - text.data()));
    if (error != std::errc{} || count < 0) return std::nullopt;
    for (const Unit& unit : units) {
        if (name != unit.name) continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.nanoseconds) return std::nullopt;
        return nanoseconds(count * unit.nanoseconds);
    }
    return std::nullopt;
}

Section::Section(std::string file, std::string path, const YAML::Node& node, std::vector<Problem>& problems)
    : file_(std::move(file)), path_(std::move(path)), node_(node), problems_(problems) {
    if (node_ && !node_.IsNull() && !node_.IsMap()) {
        problems_.push_back(
            {file_, line(), path_, "found " + std::string(kind_of(node_)) + ", wanted a mapping of keys"});
        node_ = YAML::Node();
    }
}

Section::~Section() {
    if (!node_ || !node_.IsMap()) return;
    std::vector<std::string> seen;
    for (const auto& entry : node_) {
        const int at = entry.first.Mark().line + 1;
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        // yaml-cpp takes the first of two, without a word.
        if (std::ranges::find(seen, key) != seen.end())
            problems_.push_back({file_, at, path_of(key), "found twice, allowed once"});
        seen.push_back(key);
        if (std::ranges::find(known_, std::string_view(key)) != known_.end()) continue;
        std::string what = "unknown key";
        if (const std::string meant = nearest(key, known_); !meant.empty())
            what += "; did you mean '" + meant + "'?";
        what += " Allowed here: ";
        for (std::size_t i = 0; i < known_.size(); ++i)
            what += (i > 0 ? ", " : "") + std::string(known_[i]);
        problems_.push_back({file_, at, path_of(key), what});
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

void Section::problem(std::string_view key, std::string what) {
    problems_.push_back({file_, line_of(key), path_of(key), std::move(what)});
}

void Section::needed(std::string_view key) {
    if (!has(key)) problem(key, "missing, needed here");
}

std::optional<YAML::Node> Section::find(std::string_view key) {
    if (std::ranges::find(known_, key) == known_.end()) known_.push_back(key);
    if (!node_.IsMap()) return std::nullopt;
    const YAML::Node found = std::as_const(node_)[std::string(key)];
    if (!found.IsDefined() || found.IsNull()) return std::nullopt;
    return found;
}

bool Section::has(std::string_view key) { return find(key).has_value(); }

std::optional<std::string> Section::scalar(std::string_view key, std::string_view wanted) {
    const auto found = find(key);
    if (!found) return std::nullopt;
    if (found->IsScalar() && !found->Scalar().empty()) return found->Scalar();
    problem(key, "found " + (found->IsScalar() ? "an empty text" : std::string(kind_of(*found))) +
                     ", wanted " + std::string(wanted));
    return std::nullopt;
}

void Section::text(std::string_view key, std::string& into) {
    if (auto found = scalar(key, "a text")) into = std::move(*found);
}

void Section::one_of(std::string_view key, std::string& into, const std::vector<std::string_view>& allowed) {
    std::string list;
    for (const std::string_view one : allowed)
        list += (list.empty() ? "" : ", ") + std::string(one);
    const auto found = scalar(key, "one of: " + list);
    if (!found) return;
    if (std::ranges::find(allowed, std::string_view(*found)) == allowed.end())
        return problem(key, "found " + quoted(*found) + ", allowed: " + list);
    into = *found;
}

void Section::flag(std::string_view key, bool& into) {
    const auto found = scalar(key, "true or false");
    if (!found) return;
    if (*found != "true" && *found != "false")
        return problem(key, "found " + quoted(*found) + ", allowed: true, false");
    into = *found == "true";
}

void Section::whole(std::string_view key, std::uint64_t& into, std::uint64_t low, std::uint64_t high) {
    const std::string range = "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    const auto found = scalar(key, range);
    if (!found) return;
    std::uint64_t value = 0;
    const char* end = found->data() + found->size();
    const auto [stop, error] = std::from_chars(found->data(), end, value);
    if (error != std::errc{} || stop != end || value < low || value > high)
        return problem(key, "found " + quoted(*found) + ", allowed: " + range);
    into = value;
}

void Section::span(std::string_view key, nanoseconds& into, nanoseconds low, nanoseconds high) {
    const std::string range = "a span from " + to_text(low) + " to " + to_text(high);
    const auto found = scalar(key, range + ", such as 200ms, 5s, 10m");
    if (!found) return;
    const auto value = to_span(*found);
    if (!value || *value < low || *value > high)
        return problem(key, "found " + quoted(*found) + ", allowed: " + range + " (units us, ms, s, m, h)");
    into = *value;
}

std::vector<YAML::Node> Section::list(std::string_view key) {
    const auto found = find(key);
    if (!found) return {};
    if (!found->IsSequence()) {
        problem(key, "found " + std::string(kind_of(*found)) + ", wanted a list");
        return {};
    }
    return {found->begin(), found->end()};
}

std::vector<std::pair<std::string, int>> Section::texts(std::string_view key) {
    std::vector<std::pair<std::string, int>> out;
    for (const YAML::Node& one : list(key)) {
        if (one.IsScalar() && !one.Scalar().empty()) {
            out.emplace_back(one.Scalar(), one.Mark().line + 1);
        } else {
            problems_.push_back({file_, one.Mark().line + 1, path_of(key),
                                 "found " + std::string(kind_of(one)) + " in a list of texts"});
        }
    }
    return out;
}

Section Section::below(std::string_view key) {
    return Section(file_, path_of(key), find(key).value_or(YAML::Node()), problems_);
}

} // namespace willowrill::operator_config
