// The platform's list of workers: its pages read, and kept by zone. A zone's list is read by one owner at a
// time, who holds a fencing token for it: what was read under an older token is not taken in. Pure.
#pragma once

#include "system/errors/error.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::discovery {

using Milliseconds = std::chrono::milliseconds;

enum class InstanceState { in_service, draining };

struct Instance {
    std::string id;
    std::string service;
    std::string address; // HOST:PORT
    std::string zone;
    std::size_t capacity = 1;
    InstanceState state = InstanceState::in_service;
    Milliseconds cold_remaining{0}; // as of the reading
    bool operator==(const Instance&) const = default;
};

struct Page {
    std::vector<Instance> instances;
    std::optional<std::string> next_token; // token of the next page
};

// Instances that make no sense are left out; a page that cannot be read at all is an error.
errors::Result<Page> parse_page(const std::string& body);

// Grows with each change of owner: by epoch, then by number within it.
struct FencingToken {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    auto operator<=>(const FencingToken&) const = default;
};

// One zone's list as one owner read it.
struct ZoneList {
    std::string zone;
    FencingToken token;
    std::uint64_t serial = 0; // counts the owner's readings
    std::vector<Instance> instances;
};

// Whether two lists say the same, apart from cold times that just run down. `elapsed`: between the two
// readings.
bool same_content(const std::vector<Instance>& before, const std::vector<Instance>& after,
                  Milliseconds elapsed);

// The newest list of each zone.
class Catalogue {
  public:
    // Says whether the list was taken in: not older than what is held, by token and serial.
    bool update(const ZoneList& list);
    const std::map<std::string, ZoneList>& zones() const { return zones_; }

  private:
    std::map<std::string, ZoneList> zones_;
};

} // namespace willowrill::discovery
