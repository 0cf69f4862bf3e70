// The memory of requests under way.
#include "system/budget/byte_budget.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <optional>

using willowrill::budget::ByteBudget;

Test(byte_budget, reservations_share_the_budget_and_give_back_what_they_hold) {
    const auto budget = std::make_shared<ByteBudget>(100);
    std::optional<ByteBudget::Reservation> first(budget);
    ByteBudget::Reservation second(budget);
    cr_assert(first->grow_to(60));
    cr_assert_not(second.grow_to(41));
    cr_assert(second.grow_to(40));
    cr_assert_eq(budget->reserved(), 100U);
    first.reset();
    cr_assert_eq(budget->reserved(), 40U);
    cr_assert(second.grow_to(100));
}

Test(byte_budget, a_reservation_never_shrinks) {
    const auto budget = std::make_shared<ByteBudget>(100);
    ByteBudget::Reservation reservation(budget);
    cr_assert(reservation.grow_to(60));
    cr_assert(reservation.grow_to(10));
    cr_assert_eq(budget->reserved(), 60U);
}

Test(byte_budget, sizes_beyond_all_bounds_are_refused) {
    const auto budget = std::make_shared<ByteBudget>(100);
    ByteBudget::Reservation reservation(budget);
    cr_assert(reservation.grow_to(1));
    cr_assert_not(reservation.grow_to(std::numeric_limits<std::size_t>::max()));
    cr_assert_eq(budget->reserved(), 1U);
}

Test(byte_budget, a_reservation_gives_back_what_it_holds_beyond) {
    const auto budget = std::make_shared<ByteBudget>(100);
    ByteBudget::Reservation reservation(budget);
    cr_assert(reservation.grow_to(60));
    reservation.shrink_to(80);
    cr_assert_eq(budget->reserved(), 60U);
    reservation.shrink_to(10);
    cr_assert_eq(budget->reserved(), 10U);
    cr_assert(reservation.grow_to(100));
}
