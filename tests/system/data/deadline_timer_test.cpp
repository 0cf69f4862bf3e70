// A deadline timer never calls back into an owner that has cancelled or destroyed it.
#include "system/data/deadline_timer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace willowrill;
using namespace willowrill::data;

namespace {

constexpr std::chrono::milliseconds now{0};

} // namespace

Test(deadline_timer, calls_back_once) {
    asio::io_context loop;
    DeadlineTimer timer(loop);
    int calls = 0;
    timer.start(now, [&] { ++calls; });
    loop.run();
    cr_assert_eq(calls, 1);
}

Test(deadline_timer, a_time_that_has_passed_is_now) {
    asio::io_context loop;
    DeadlineTimer timer(loop);
    int calls = 0;
    timer.start(std::chrono::milliseconds(-5), [&] { ++calls; });
    loop.run();
    cr_assert_eq(calls, 1);
}

Test(deadline_timer, does_not_call_back_once_cancelled) {
    asio::io_context loop;
    DeadlineTimer timer(loop);
    int calls = 0;
    timer.start(now, [&] { ++calls; });
    timer.cancel();
    loop.run();
    cr_assert_eq(calls, 0);
}

Test(deadline_timer, does_not_call_back_once_destroyed) {
    asio::io_context loop;
    int calls = 0;
    std::optional<DeadlineTimer> timer(loop);
    timer->start(now, [&] { ++calls; });
    timer.reset();
    loop.run();
    cr_assert_eq(calls, 0);
}

// Both have expired when the loop runs: the handler of the second is in the queue when the first cancels it.
Test(deadline_timer, does_not_call_back_where_it_has_expired_before_it_was_cancelled) {
    asio::io_context loop;
    DeadlineTimer first(loop);
    DeadlineTimer second(loop);
    int calls = 0;
    first.start(std::chrono::milliseconds(-2), [&] {
        ++calls;
        second.cancel();
    });
    second.start(std::chrono::milliseconds(-1), [&] {
        ++calls;
        first.cancel();
    });
    loop.run();
    cr_assert_eq(calls, 1);
}

Test(deadline_timer, a_new_start_replaces_the_old_one) {
    asio::io_context loop;
    DeadlineTimer timer(loop);
    int first_calls = 0;
    int second_calls = 0;
    timer.start(now, [&] { ++first_calls; });
    timer.start(now, [&] { ++second_calls; });
    loop.run();
    cr_assert_eq(first_calls, 0);
    cr_assert_eq(second_calls, 1);
}

Test(deadline_timer, may_be_started_anew_by_its_callback) {
    asio::io_context loop;
    DeadlineTimer timer(loop);
    int calls = 0;
    timer.start(now, [&] {
        ++calls;
        timer.start(now, [&] { ++calls; });
    });
    loop.run();
    cr_assert_eq(calls, 2);
}

Test(deadline_timer, may_be_destroyed_by_its_callback) {
    asio::io_context loop;
    std::optional<DeadlineTimer> timer(loop);
    int calls = 0;
    timer->start(now, [&] {
        timer.reset();
        ++calls;
    });
    loop.run();
    cr_assert_eq(calls, 1);
}
