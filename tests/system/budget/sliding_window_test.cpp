// Tests the sliding window that counts events.
#include "system/budget/sliding_window.h"

#include <criterion/criterion.h>

using namespace willowrill::budget;

Test(sliding_window, an_event_counts_until_it_is_older_than_the_window) {
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

Test(sliding_window, one_event_of_a_time_can_be_removed) {
    SlidingWindow window(Time(100));
    for (const Time time : {Time(10), Time(20), Time(20), Time(30)})
        window.record(time);
    window.remove(Time(20));
    cr_assert_eq(window.count(Time(30)), 3U);
    window.remove(Time(25)); // there is none
    cr_assert_eq(window.count(Time(30)), 3U);
    cr_assert_eq(window.count(Time(111)), 2U);
    window.remove(Time(10)); // it is out of the window
    cr_assert_eq(window.count(Time(111)), 2U);
}
