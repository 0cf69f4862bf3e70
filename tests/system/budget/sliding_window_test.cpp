// Events within a window of time.
#include "system/budget/sliding_window.h"

#include <criterion/criterion.h>

using namespace willowrill::budget;

Test(sliding_window, an_event_counts_until_the_window_has_passed) {
    SlidingWindow window(Time(100));
    cr_assert_eq(window.count(Time(0)), 0U);
    window.record(Time(10));
    window.record(Time(60));
    cr_assert_eq(window.count(Time(110)), 2U);
    cr_assert_eq(window.count(Time(111)), 1U);
    cr_assert_not(window.empty_at(Time(160)));
    cr_assert(window.empty_at(Time(161)));
    cr_assert_eq(window.count(Time(161)), 0U);
}
