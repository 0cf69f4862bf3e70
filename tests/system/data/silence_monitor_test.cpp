// Tests when a worker that owes a response counts as silent.
#include "system/data/silence_monitor.h"

#include <criterion/criterion.h>

using namespace willowrill::data;
using willowrill::routing::Time;

namespace {

constexpr Time began{1000};
constexpr Time timeout{900};

} // namespace

Test(silence_monitor, a_worker_is_silent_after_its_timeout_and_not_before) {
    SilenceMonitor monitor;
    monitor.start(began, timeout);
    cr_assert_eq(monitor.due()->count(), 1900);
    cr_assert_not(monitor.expire(Time(1899)));
    cr_assert(monitor.expire(Time(1900)));
    cr_assert(monitor.is_silent());
    cr_assert_not(monitor.expire(Time(1901)), "it is said once");
    cr_assert_not(monitor.due().has_value());
}

Test(silence_monitor, activity_begins_the_timeout_anew) {
    SilenceMonitor monitor;
    monitor.start(began, timeout);
    cr_assert_not(monitor.note_activity(Time(1800)));
    cr_assert_not(monitor.expire(Time(1900)));
    cr_assert(monitor.expire(Time(2700)));
}

Test(silence_monitor, a_silence_ends_with_the_first_activity) {
    SilenceMonitor monitor;
    monitor.start(began, timeout);
    cr_assert(monitor.expire(Time(1900)));
    cr_assert(monitor.note_activity(Time(2000)));
    cr_assert_not(monitor.is_silent());
    cr_assert_not(monitor.note_activity(Time(2100)));
    cr_assert_eq(monitor.due()->count(), 3000);
}

Test(silence_monitor, silence_does_not_matter_until_it_is_watched) {
    SilenceMonitor monitor;
    cr_assert_not(monitor.expire(Time(100000)));
    monitor.start(began, timeout);
    monitor.stop();
    cr_assert_not(monitor.due().has_value());
    cr_assert_not(monitor.expire(Time(100000)));
    cr_assert_not(monitor.note_activity(Time(100000)));
}
