#include "system/discovery/read_plan.h"

#include <algorithm>

namespace willowrill::discovery {

void ReadPlan::on_full_page(std::size_t instances) {
    if (instances > 0) page_size_ = instances;
}

// An empty list takes one page, too.
std::size_t ReadPlan::page_count(std::size_t instances) const {
    if (!page_size_) return 1;
    return std::max<std::size_t>(1, (instances + *page_size_ - 1) / *page_size_);
}

ReadPlan::Strategy ReadPlan::next(std::size_t zones) const {
    std::size_t per_zone_calls = 0, total_instances = 0;
    for (const auto& [zone, instances] : zone_instance_counts_) {
        per_zone_calls += page_count(instances);
        total_instances += instances;
    }
    per_zone_calls = std::max(per_zone_calls, zones); // some zones may not have been read yet
    const std::size_t combined_calls = page_count(total_instances);
    const bool use_combined_read = combined_calls < per_zone_calls && combined_calls <= max_pages_at_once;
    return use_combined_read ? Strategy::all_at_once : Strategy::each_zone;
}

} // namespace willowrill::discovery
