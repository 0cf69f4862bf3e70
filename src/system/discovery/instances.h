// The platform's list of workers: parses its pages and stores the list of each zone. A zone's list is read by
// one owner at a time, which holds a fencing token for it; lists read under an older token are rejected. Free
// of I/O.
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
    Milliseconds cold_remaining{0}; // remaining cold-start time at the reading
    bool operator==(const Instance&) const = default;
};

struct Page {
    std::vector<Instance> instances;
    std::optional<std::string> next_token; // empty on the last page
};

// Parses one page. Instances without an id, service or address are skipped; a malformed page is an error.
errors::Result<Page> parse_page(const std::string& body);

// Increases with each change of owner; ordered by epoch, then by number within the epoch.
struct FencingToken {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    auto operator<=>(const FencingToken&) const = default;
};

// The list of one zone as read by one owner.
struct ZoneList {
    std::string zone;
    FencingToken token;
    std::uint64_t serial = 0; // number of the reading by this owner
    std::vector<Instance> instances;
};

// Whether two lists are equal apart from remaining cold times that have decreased with the passing of time.
// `elapsed`: time between the two readings.
bool same_content(const std::vector<Instance>& before, const std::vector<Instance>& after,
                  Milliseconds elapsed);

// The newest list of each zone.
class Catalogue {
  public:
    // Stores the list if it is newer than the stored one of its zone, by token and then by serial. Returns
    // whether it was stored.
    bool update(const ZoneList& list);
    const std::map<std::string, ZoneList>& zones() const { return zones_; }

  private:
    std::map<std::string, ZoneList> zones_;
};

} // namespace willowrill::discovery
