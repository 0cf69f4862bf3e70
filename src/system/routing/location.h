// Where this scheduler runs, and which region each zone belongs to. Pure.
#pragma once

#include <map>
#include <string>

namespace willowrill::routing {

struct Location {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions; // of each zone, by the zone's name

    // A zone that is not known counts as a region of its own.
    const std::string& region_of(const std::string& other_zone) const {
        const auto found = regions.find(other_zone);
        return found == regions.end() ? other_zone : found->second;
    }
};

} // namespace willowrill::routing
