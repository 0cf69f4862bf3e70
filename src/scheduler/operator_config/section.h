// Reads one mapping of the operators' file key by key. Problems are collected rather than thrown, so that a
// single run reports all of them. A key of the file that no caller has requested is a problem, too.
#pragma once

#include "scheduler/operator_config/problem.h"

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::operator_config {

class Section {
  public:
    // `path` is the path of the mapping's own key, empty for the top level. `problems` must outlive the
    // section.
    Section(std::string file, std::string path, const YAML::Node& node, std::vector<Problem>& problems);
    // Reports duplicate keys and the keys that were never requested.
    ~Section();
    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;

    bool has(std::string_view key);
    // The read functions leave `output` unchanged if the key is absent. If its value is invalid they add a
    // problem and leave `output` unchanged as well.
    void read_string(std::string_view key, std::string& output);
    void read_choice(std::string_view key, std::string& output, const std::vector<std::string_view>& allowed);
    void read_bool(std::string_view key, bool& output);
    // An integer within [min_value, max_value].
    void read_integer(std::string_view key, std::uint64_t& output, std::uint64_t min_value,
                      std::uint64_t max_value);
    // A duration such as `200ms`, `5s`, `10m` or `1h`, within [min_value, max_value].
    void read_duration(std::string_view key, std::chrono::nanoseconds& output,
                       std::chrono::nanoseconds min_value, std::chrono::nanoseconds max_value);
    // Returns the strings of a list, each with its line number.
    std::vector<std::pair<std::string, int>> read_strings(std::string_view key);
    // Returns the mapping below a key. If the key is absent, so is every key of the returned section.
    Section subsection(std::string_view key);
    std::vector<YAML::Node> read_list(std::string_view key);
    std::string path_of(std::string_view key) const;
    int line_of(std::string_view key) const; // the line of the section if the key is absent
    int line() const;

    void add_problem(std::string_view key, std::string message); // located at the key
    void require(std::string_view key);                          // adds a problem if the key is absent

  private:
    std::optional<YAML::Node> find(std::string_view key);
    std::optional<std::string> find_scalar(std::string_view key, std::string_view expected);

    std::string file_, path_;
    YAML::Node node_;
    std::vector<Problem>& problems_;
    std::vector<std::string_view> requested_keys_; // views of string literals
};

// Formats a duration in the largest unit that gives an integer: 2 s as `2s`, 1500 ns as `1500ns`.
std::string format_duration(std::chrono::nanoseconds duration);
// Parses a non-negative integer followed by one of the units us, ms, s, m, h.
std::optional<std::chrono::nanoseconds> parse_duration(std::string_view text);

} // namespace willowrill::operator_config
