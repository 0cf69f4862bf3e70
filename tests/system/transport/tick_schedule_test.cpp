// On which ticks work of longer periods falls.
#include "system/transport/tick_schedule.h"

#include <criterion/criterion.h>

#include <vector>

using namespace std::chrono_literals;
using willowrill::transport::TickSchedule;

Test(tick_schedule, work_falls_on_every_multiple_of_its_period) {
    TickSchedule schedule(50ms);
    std::vector<int> due;
    for (int tick = 1; tick <= 12; ++tick) {
        schedule.advance();
        if (schedule.is_due(200ms)) due.push_back(tick);
    }
    cr_assert(due == (std::vector<int>{4, 8, 12}));
}

Test(tick_schedule, work_of_the_ticks_own_period_is_always_due) {
    TickSchedule schedule(50ms);
    for (int tick = 0; tick < 5; ++tick) {
        schedule.advance();
        cr_assert(schedule.is_due(50ms));
    }
}
