// Tests the state that a scheduler keeps about a worker.
#include "routing/selector_fixture.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::routing;

Test(worker, an_older_report_does_not_replace_a_newer_one) {
    SelectorFixture fixture;
    Worker& worker = fixture.add_worker("a", "north-a");
    worker.apply_report(make_report(900, 5));
    worker.apply_report(make_report(800, 1));
    cr_assert_eq(worker.load_report->active, 5U);
}
