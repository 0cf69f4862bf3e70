// Decides whether a member that reads the platform's lists of all zones requests each zone separately or all
// zones at once: short lists of many zones fit in fewer pages together. Learns the platform's page size from
// pages that have a successor. Free of I/O; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace willowrill::discovery {

class ReadPlan {
  public:
    enum class Strategy { each_zone, all_at_once };

    // The pages of one reading are requested one after the other; more than this number would take too long.
    static constexpr std::size_t max_pages_at_once = 8;

    // Reports the number of instances on a page that has a successor.
    void on_full_page(std::size_t instances);
    // Reports the number of instances in a zone's list, however it was read.
    void on_zone_read(const std::string& zone, std::size_t instances) {
        zone_instance_counts_[zone] = instances;
    }

    // Returns the strategy for the next reading of `zones` zones: the one with fewer calls by the last known
    // sizes. With several zones and no known sizes, all zones are read at once.
    Strategy next(std::size_t zones) const;

  private:
    std::size_t page_count(std::size_t instances) const;

    std::optional<std::size_t> page_size_; // empty as long as every reading has fitted in one page
    std::map<std::string, std::size_t>
        zone_instance_counts_; // at most one entry for each zone in the settings
};

} // namespace willowrill::discovery
