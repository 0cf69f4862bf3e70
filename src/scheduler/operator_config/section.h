// A mapping of the operators' file, read key by key. Problems are gathered rather than thrown, so that one
// look at the file shows all of them; a key that nobody has asked for is one of them.
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
    Section(std::string file, std::string path, const YAML::Node& node, std::vector<Problem>& problems);
    // Complains of the keys that were never asked for.
    ~Section();
    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;

    bool has(std::string_view key);
    // Each of these leaves `into` alone where the key is absent, and says what is wrong where it is of no
    // use.
    void text(std::string_view key, std::string& into);
    void one_of(std::string_view key, std::string& into, const std::vector<std::string_view>& allowed);
    void flag(std::string_view key, bool& into);
    // Whole numbers within [low, high].
    void whole(std::string_view key, std::uint64_t& into, std::uint64_t low, std::uint64_t high);
    // A span such as `200ms`, `5s`, `10m`, `1h`, within [low, high].
    void span(std::string_view key, std::chrono::nanoseconds& into, std::chrono::nanoseconds low,
              std::chrono::nanoseconds high);
    std::vector<std::pair<std::string, int>> texts(std::string_view key); // a list of texts, with their lines
    // The mappings below a key; an absent key gives an absent one, in which every key is absent.
    Section below(std::string_view key);
    std::vector<YAML::Node> list(std::string_view key);
    std::string path_of(std::string_view key) const;
    int line_of(std::string_view key) const; // that of the section where the key is absent
    int line() const;

    void problem(std::string_view key, std::string what); // at that key
    void needed(std::string_view key);                    // a problem where the key is absent

  private:
    std::optional<YAML::Node> find(std::string_view key);
    std::optional<std::string> scalar(std::string_view key, std::string_view wanted);

    std::string file_, path_;
    YAML::Node node_;
    std::vector<Problem>& problems_;
    std::vector<std::string_view> known_; // what was asked for; callers pass literals
};

// `1500` ns as `1500ns`, 2 s as `2s`: the largest unit that gives a whole number.
std::string to_text(std::chrono::nanoseconds span);
std::optional<std::chrono::nanoseconds> to_span(std::string_view text);

} // namespace willowrill::operator_config
