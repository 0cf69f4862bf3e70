// What a scheduler knows of one worker.
#include "routing/routing_scene.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::routing;

Test(worker, an_older_report_does_not_replace_a_newer_one) {
    Scene scene;
    Worker& worker = scene.add("a", "north-a");
    worker.apply_report(report(900, 5));
    worker.apply_report(report(800, 1));
    cr_assert_eq(worker.load_report->active, 5U);
}
