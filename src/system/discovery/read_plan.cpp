#include "system/discovery/read_plan.h"

#include <algorithm>

namespace willowrill::discovery {

void ReadPlan::on_full_page(std::size_t instances) {
    if (instances > 0) page_size_ = instances;
}

// An empty list takes a page too.
std::size_t ReadPlan::pages_of(std::size_t instances) const {
    if (!page_size_) return 1;
    return std::max<std::size_t>(1, (instances + *page_size_ - 1) / *page_size_);
}

ReadPlan::Strategy ReadPlan::next(std::size_t zones) const {
    std::size_t calls_by_zone = 0, instances = 0;
    for (const auto& [zone, count] : zone_instances_) {
        calls_by_zone += pages_of(count);
        instances += count;
    }
    calls_by_zone = std::max(calls_by_zone, zones); // where some were never read
    const std::size_t calls_at_once = pages_of(instances);
    const bool at_once = calls_at_once < calls_by_zone && calls_at_once <= max_pages_at_once;
    return at_once ? Strategy::all_at_once : Strategy::each_zone;
}

} // namespace willowrill::discovery
