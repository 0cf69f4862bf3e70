// The location of this scheduler and the mapping of zones to regions.
#pragma once

#include <map>
#include <string>

namespace willowrill::routing {

struct Location {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_by_zone;

    // Returns the region of `other_zone`. An unknown zone is treated as a region of its own.
    const std::string& region_of(const std::string& other_zone) const {
        const auto found = region_by_zone.find(other_zone);
        return found == region_by_zone.end() ? other_zone : found->second;
    }
};

} // namespace willowrill::routing
