// Selection of the strategy that reads the lists of all zones with the fewest calls.
#include "system/discovery/read_plan.h"

#include <criterion/criterion.h>

#include <string>

using willowrill::discovery::ReadPlan;
using Strategy = ReadPlan::Strategy;

namespace {

ReadPlan with_zones(int zones, std::size_t instances_per_zone) {
    ReadPlan plan;
    for (int i = 0; i < zones; ++i)
        plan.on_zone_read("z" + std::to_string(i), instances_per_zone);
    return plan;
}

} // namespace

Test(read_plan, without_known_sizes_all_zones_are_read_at_once) {
    cr_assert(ReadPlan().next(3) == Strategy::all_at_once);
    cr_assert(ReadPlan().next(1) == Strategy::each_zone, "a single zone takes one call either way");
}

Test(read_plan, short_lists_fit_in_fewer_pages_together) {
    ReadPlan plan = with_zones(6, 11);
    plan.on_full_page(50);
    cr_assert(plan.next(6) == Strategy::all_at_once, "2 pages instead of 6");
}

Test(read_plan, long_lists_are_read_zone_by_zone) {
    ReadPlan plan = with_zones(6, 50);
    plan.on_full_page(50);
    cr_assert(plan.next(6) == Strategy::each_zone, "6 pages either way");
    ReadPlan longer = with_zones(6, 70);
    longer.on_full_page(50);
    cr_assert(longer.next(6) == Strategy::each_zone, "9 pages in a row would take too long");
}

Test(read_plan, a_changed_page_size_is_taken_into_account) {
    ReadPlan plan = with_zones(6, 11);
    plan.on_full_page(10);
    cr_assert(plan.next(6) == Strategy::all_at_once, "7 pages instead of 12");
    plan.on_full_page(0);
    cr_assert(plan.next(6) == Strategy::all_at_once, "an empty page does not change the page size");
    plan.on_full_page(5);
    cr_assert(plan.next(6) == Strategy::each_zone);
}
