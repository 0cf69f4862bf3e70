// Whether one member that reads the platform's lists of all zones asks for each zone alone, or for all at
// once: short lists of many zones fit in fewer pages together. Learns the platform's page size from pages
// that had a next one. Pure; one thread.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace willowrill::discovery {

class ReadPlan {
  public:
    enum class Strategy { each_zone, all_at_once };

    // Pages of one reading are asked for one after the other: more than so many would take too long.
    static constexpr std::size_t max_pages_at_once = 8;

    // A page had this many instances, and another one behind it.
    void on_full_page(std::size_t instances);
    // A zone's list, read alone or with the others, has this many.
    void on_zone_read(const std::string& zone, std::size_t instances) { zone_instances_[zone] = instances; }

    // How to read next, for the member that reads all of these zones. The one that takes fewer calls, by the
    // newest sizes known; before anything is known, all at once.
    Strategy next(std::size_t zones) const;

  private:
    std::size_t pages_of(std::size_t instances) const;

    std::optional<std::size_t> page_size_;              // nothing while each reading fitted in one page
    std::map<std::string, std::size_t> zone_instances_; // bounded by the zones of the settings
};

} // namespace willowrill::discovery
