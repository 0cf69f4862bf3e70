// Which workers a scheduler probes.
#include "data/load_report_scene.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::data;

Test(probe_assignment, only_workers_of_home_services_are_probed) {
    asio::io_context loop;
    LoadReportScene scene(loop, "n1");
    scene.assignment.set_members({scheduler_lease("n1", "hall-a", "north", 1)});
    const routing::Worker& worker = scene.add_worker("i1", "hall-a", "127.0.0.1:1");
    cr_assert_not(scene.assignment.contains(worker));
    scene.assignment.add_home_service(service_name);
    cr_assert(scene.assignment.contains(worker));
    scene.assignment.remove_home_service(service_name);
    cr_assert_not(scene.assignment.contains(worker));
}

Test(probe_assignment, a_zone_without_schedulers_is_probed_from_its_region) {
    asio::io_context loop;
    LoadReportScene scene(loop, "n1");
    scene.assignment.add_home_service(service_name);
    const routing::Worker& worker = scene.add_worker("i1", "hall-b", "127.0.0.1:1");
    scene.assignment.set_members({scheduler_lease("n1", "hall-a", "north", 1)});
    cr_assert(scene.assignment.contains(worker));
    scene.assignment.set_members(
        {scheduler_lease("n1", "hall-a", "north", 1), scheduler_lease("n2", "hall-b", "north", 1)});
    cr_assert_not(scene.assignment.contains(worker));
}
